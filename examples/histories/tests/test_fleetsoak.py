"""A short seeded soak of the platform's daemon, over real processes."""

from pathlib import Path

from examples.histories.fleetnemesis import FAULTS
from examples.histories.fleetsoak import run_soak
from examples.histories.tenantfaults import TENANT_FAULTS

ROOT = Path(__file__).resolve().parents[3]

SECONDS = 20

#: Faults of tenants, and those that a change of keys or caps has to survive.
TENANT_KINDS = (*sorted(TENANT_FAULTS), 'kill', 'cut', 'disturb_store')


class TestFleetSoak:
    """Two runs of one subtask after lost and late orders (issue 35, TWICE)."""

    async def test_rules_hold(self, tmp_path):
        found, counts = await run_soak(
            4, SECONDS, tuple(FAULTS), ROOT, tmp_path, tenants=False
        )
        assert counts['accepted'] > 10
        assert sum(counts[kind] for kind in FAULTS) > 5
        assert found == []


class TestTenants:
    """A daemon that ignores keys or caps, or applies versions late."""

    async def test_rules_on_tenants_hold(self, tmp_path):
        found, counts = await run_soak(
            5, SECONDS, TENANT_KINDS, ROOT, tmp_path, tenants=True
        )
        assert counts['accepted'] > 10
        assert counts['odd request 401'] > 5
        assert sum(counts[kind] for kind in TENANT_FAULTS) > 3
        assert found == []
