"""A short seeded soak of the platform's daemon, over real processes."""

from pathlib import Path

from examples.histories.fleetnemesis import FAULTS
from examples.histories.fleetsoak import run_soak

ROOT = Path(__file__).resolve().parents[3]

SECONDS = 20


class TestFleetSoak:
    """Two runs of one subtask after lost and late orders (issue 35, TWICE)."""

    async def test_rules_hold(self, tmp_path):
        found, counts = await run_soak(
            4, SECONDS, tuple(FAULTS), ROOT, tmp_path, tenants=False
        )
        assert counts['accepted'] > 10
        assert sum(counts[kind] for kind in FAULTS) > 5
        assert found == []
