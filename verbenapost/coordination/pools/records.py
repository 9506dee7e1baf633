"""Stored VM records and their valid changes."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.pools.marked_writer import MarkedWriter
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import NO_REVISION, Entry
from verbenapost.state.vms import (
    VM_PREFIX,
    VmRecord,
    VmState,
    pack_vm,
    unpack_vm,
)

#: Valid successor states of each state.
TRANSITIONS: Mapping[VmState, frozenset[VmState]] = {
    VmState.IN_SERVICE: frozenset((VmState.DRAINING, VmState.FAILED)),
    VmState.DRAINING: frozenset((VmState.IN_MAINTENANCE, VmState.FAILED)),
    VmState.IN_MAINTENANCE: frozenset((VmState.RETURNING, VmState.FAILED)),
    VmState.RETURNING: frozenset(
        (VmState.IN_SERVICE, VmState.DRAINING, VmState.FAILED)
    ),
    VmState.FAILED: frozenset((VmState.DRAINING,)),
}


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VmEntry:
    """A VM record with the revision at which it was read."""

    record: VmRecord
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """All VM records at one revision of the store."""

    entries: Mapping[str, VmEntry]
    revision: int

    def __iter__(self) -> Iterator[VmRecord]:
        """Iterate over the records in the order of VM names."""
        for name in sorted(self.entries):
            yield self.entries[name].record

    def list_pool(self, pool: str) -> list[VmRecord]:
        """Return the records of the VMs in a pool."""
        return [record for record in self if record.pool == pool]


def check_transition(before: VmRecord, after: VmRecord) -> str:
    """Return why a change is invalid, or an empty string.

    Examples
    ========

    >>> vm = VmRecord('cs-1', '', 'booking')
    >>> check_transition(vm, dataclasses.replace(vm, pool='weighing'))
    'the pool changes only after the reboot'
    """
    if after.name != before.name:
        return 'the name never changes'
    moved = after.state is not before.state
    if moved and after.state not in TRANSITIONS[before.state]:
        return f'{before.state} is not followed by {after.state}'
    if after.pool != before.pool:
        return _check_pool_change(before, after)
    return ''


def _check_pool_change(before: VmRecord, after: VmRecord) -> str:
    leaves = before.state is VmState.IN_MAINTENANCE
    if not leaves or after.state is not VmState.RETURNING:
        return 'the pool changes only after the reboot'
    if after.pool != before.next_pool:
        return f'the move is to {before.next_pool}'
    if after.epoch != before.epoch + 1:
        return 'the epoch grows by one'
    if after.boot <= before.boot:
        return 'the VM has not rebooted'
    return ''


@final
class VmRecords:
    """Reads and changes the VM records of a region.

    :param writer: store client that marks the values of this instance.
    """

    def __init__(self, writer: MarkedWriter) -> None:
        self._writer = writer
        self._seen = NO_REVISION

    async def read_fleet(self, at_least: int = 0) -> Result[Fleet, Failure]:
        """Read all records.

        :param at_least: minimum store revision of the result.
        :returns: the records, or ``STORE_UNAVAILABLE`` if the store answered
            with an older revision than ``at_least`` or than an earlier read.
        """
        listing = await self._writer.store.list_prefix(VM_PREFIX)
        if isinstance(listing, Err):
            return listing
        revision = listing.ok_value.revision
        if revision < max(at_least, self._seen):
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, 'stale reading'))
        self._seen = revision
        entries = [_parse_entry(entry) for entry in listing.ok_value.entries]
        named = {entry.record.name: entry for entry in entries}
        return Ok(Fleet(named, revision))

    async def create(self, record: VmRecord) -> Result[VmEntry, Failure]:
        """Write the record of a VM that has none."""
        return await self._write(record, NO_REVISION)

    async def write(
        self,
        entry: VmEntry,
        after: VmRecord,
    ) -> Result[VmEntry, Failure]:
        """Replace a record that is unchanged since it was read.

        :returns: the new entry, ``INVALID`` for an invalid change, or
            ``CONFLICT`` if the record has changed.
        """
        refusal = check_transition(entry.record, after)
        if refusal:
            return Err(Failure(ErrorKind.INVALID, refusal))
        return await self._write(after, entry.revision)

    async def delete(self, entry: VmEntry) -> Result[int, Failure]:
        """Delete the record of a VM that no longer exists."""
        key = VM_PREFIX + entry.record.name
        self._writer.issue_mark()
        return await self._writer.store.delete(key, entry.revision)

    async def _write(
        self,
        record: VmRecord,
        expected: int,
    ) -> Result[VmEntry, Failure]:
        marked = dataclasses.replace(record, writer=self._writer.issue_mark())
        written = await self._writer.write(
            VM_PREFIX + record.name,
            expected,
            pack_vm(marked),
        )
        return written.map(lambda revision: VmEntry(marked, revision))


def _parse_entry(entry: Entry) -> VmEntry:
    return VmEntry(unpack_vm(entry.value), entry.revision)
