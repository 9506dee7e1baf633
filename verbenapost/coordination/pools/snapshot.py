"""What a keeper reads from the store for one round."""

import dataclasses
from collections.abc import Mapping
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.pools.budget_store import BudgetStore
from verbenapost.coordination.pools.records import Fleet, VmRecords
from verbenapost.coordination.pools.swap import MarkedWriter
from verbenapost.coordination.pools.wave_store import WaveStore
from verbenapost.protocol.errors import Failure
from verbenapost.state.budgets import BudgetRecord, Grant
from verbenapost.state.waves import WaveRecord


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """VM records, budgets and wave, read one after the other.

    Plans may rest on it, since every write that follows is checked again.
    """

    fleet: Fleet
    budgets: Mapping[str, BudgetRecord]
    wave: WaveRecord

    def list_grants(self) -> list[Grant]:
        """Return the granted outages of all services."""
        return [
            grant for record in self.budgets.values() for grant in record.grants
        ]


@final
class SnapshotReader:
    """Reads a snapshot, and reads it again only after writes.

    :param writer: store client whose writes make a snapshot outdated.
    :param records: VM records.
    :param budgets: budget records.
    :param waves: record of the wave.
    """

    def __init__(
        self,
        writer: MarkedWriter,
        records: VmRecords,
        budgets: BudgetStore,
        waves: WaveStore,
    ) -> None:
        self._writer = writer
        self._records = records
        self._budgets = budgets
        self._waves = waves
        self._last: Snapshot | None = None
        self._read_at = 0

    def forget(self) -> None:
        """Let the next reading go to the store."""
        self._last = None

    async def read(self) -> Result[Snapshot, Failure]:
        """Return the last snapshot, or a new one after a write."""
        mark = self._writer.sequence
        if self._last is not None and self._read_at == mark:
            return Ok(self._last)
        budgets = await self._budgets.read_all()
        if isinstance(budgets, Err):
            return budgets
        wave = await self._waves.read()
        if isinstance(wave, Err):
            return wave
        fleet = await self._records.read_fleet()
        if isinstance(fleet, Err):
            return fleet
        self._last = Snapshot(
            fleet.ok_value,
            budgets.ok_value,
            wave.ok_value.record,
        )
        self._read_at = mark
        return Ok(self._last)
