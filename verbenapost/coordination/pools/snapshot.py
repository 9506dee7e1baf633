"""Stored records that a keeper reads for its decisions."""

import dataclasses
from collections.abc import Mapping
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.pools.budget_store import BudgetStore
from verbenapost.coordination.pools.marked_writer import MarkedWriter
from verbenapost.coordination.pools.records import Fleet, VmRecords
from verbenapost.coordination.pools.wave_store import WaveStore
from verbenapost.protocol.errors import Failure
from verbenapost.state.budgets import BudgetRecord, OutageGrant
from verbenapost.state.waves import WaveRecord


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """VM records, budget records and wave, read one after the other.

    The parts may differ in revision. Plans may still use a snapshot, because
    every write that follows is checked again.
    """

    fleet: Fleet
    budgets: Mapping[str, BudgetRecord]
    wave: WaveRecord

    def list_grants(self) -> list[OutageGrant]:
        """Return the granted outages of all services."""
        return [
            grant for record in self.budgets.values() for grant in record.grants
        ]


@final
class SnapshotReader:
    """Reads and caches a snapshot until the next write.

    :param writer: store client whose writes invalidate the snapshot.
    :param records: VM records.
    :param budgets: budget records.
    :param waves: wave record.
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
        self._read_mark = 0

    def invalidate(self) -> None:
        """Drop the cached snapshot, so that the next read uses the store."""
        self._last = None

    async def read(self) -> Result[Snapshot, Failure]:
        """Return the cached snapshot, or a new snapshot after a write."""
        mark = self._writer.sequence
        if self._last is not None and self._read_mark == mark:
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
        self._read_mark = mark
        return Ok(self._last)
