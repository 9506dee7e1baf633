"""Stored budget records."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import final

from result import Ok, Result

from verbenapost.coordination.pools.marked_writer import MarkedWriter
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.store import NO_REVISION, Entry
from verbenapost.state.budgets import (
    BUDGET_PREFIX,
    BudgetRecord,
    OutageGrant,
    pack_budget,
    unpack_budget,
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class BudgetEntry:
    """A budget record with the revision at which it was read."""

    service: str
    record: BudgetRecord
    revision: int


@final
class BudgetStore:
    """Reads budget records and replaces them by compare-and-swap.

    :param writer: store client that marks the values of this instance.
    """

    def __init__(self, writer: MarkedWriter) -> None:
        self._writer = writer

    @property
    def instance(self) -> str:
        """Return the identity of this process start."""
        return self._writer.instance

    async def read_all(self) -> Result[Mapping[str, BudgetRecord], Failure]:
        """Read the budget records of all services."""
        listing = await self._writer.store.list_prefix(BUDGET_PREFIX)
        return listing.map(lambda found: _parse_all(found.entries))

    async def read(self, service: str) -> Result[BudgetEntry, Failure]:
        """Read the record of a service; a missing record reads as empty."""
        answer = await self._writer.store.get(BUDGET_PREFIX + service)
        return answer.map(lambda entry: _parse_entry(service, entry))

    async def replace_grants(
        self,
        entry: BudgetEntry,
        grants: Iterable[OutageGrant],
    ) -> Result[None, Failure]:
        """Replace the grants of a record that is unchanged since the read."""
        after = tuple(grants)
        if after == entry.record.grants:
            return Ok(None)
        record = dataclasses.replace(entry.record, grants=after)
        return await self._write(entry, record)

    async def replace_stop(
        self,
        entry: BudgetEntry,
        *,
        stopped: bool,
    ) -> Result[None, Failure]:
        """Set the stop flag of a record that is unchanged since the read."""
        if entry.record.stopped == stopped:
            return Ok(None)
        record = dataclasses.replace(entry.record, stopped=stopped)
        return await self._write(entry, record)

    async def _write(
        self,
        entry: BudgetEntry,
        record: BudgetRecord,
    ) -> Result[None, Failure]:
        marked = dataclasses.replace(record, writer=self._writer.issue_mark())
        written = await self._writer.write(
            BUDGET_PREFIX + entry.service,
            entry.revision,
            pack_budget(marked),
        )
        return written.map(lambda _: None)


def _parse_entry(service: str, entry: Entry | None) -> BudgetEntry:
    if entry is None:
        return BudgetEntry(service, BudgetRecord(), NO_REVISION)
    return BudgetEntry(service, unpack_budget(entry.value), entry.revision)


def _parse_all(entries: Iterable[Entry]) -> dict[str, BudgetRecord]:
    return {
        entry.key.removeprefix(BUDGET_PREFIX): unpack_budget(entry.value)
        for entry in entries
    }
