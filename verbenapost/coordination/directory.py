"""A daemon's replica of the VM records."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import final

import pydantic
from result import Err, Ok, Result

from verbenapost.protocol.errors import Failure
from verbenapost.protocol.store import Entry, Listing, StorePort, WatchBatch
from verbenapost.state.vms import (
    VM_PREFIX,
    VmRecord,
    VmState,
    pack_vm,
    unpack_vm,
)

#: Seconds that one watch waits for changes. A lost answer is noticed only
#: after this time, and a VM that is leaving receives work until then.
WATCH_WAIT = 0.5

Subscriber = Callable[[], None]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KnownVm:
    """A VM record with the revision of its key."""

    record: VmRecord
    revision: int


@final
class VmDirectory:
    """Replicates the VM records of the store.

    A record is replaced only by one of a higher revision.

    :param store: the platform's store.
    """

    def __init__(self, store: StorePort) -> None:
        self._store = store
        self._vms: dict[str, KnownVm] = {}
        self._position = 0
        self._lost = False
        self._subscribers: list[Subscriber] = []

    @property
    def position(self) -> int:
        """Store revision up to which the records are complete."""
        return self._position

    @property
    def vms(self) -> Mapping[str, KnownVm]:
        """All known VMs by name."""
        return self._vms

    def subscribe(self, subscriber: Subscriber) -> None:
        """Register a subscriber that is called after each change."""
        self._subscribers.append(subscriber)

    def list_serving(self, pool: str) -> list[VmRecord]:
        """Return the records of the VMs in service in a pool."""
        return [
            known.record
            for _name, known in sorted(self._vms.items())
            if known.record.pool == pool
            and known.record.state is VmState.IN_SERVICE
        ]

    def make_listing(self) -> Listing:
        """Return all records, for a member that can't reach the store."""
        entries = [
            _make_entry(known) for _name, known in sorted(self._vms.items())
        ]
        return Listing(tuple(entries), self._position)

    def adopt(self, listing: Listing) -> None:
        """Adopt a complete listing, from the store or from a peer."""
        if listing.revision < self._position:
            return
        listed = {
            entry.key.removeprefix(VM_PREFIX) for entry in listing.entries
        }
        changed = self._adopt_entries(listing.entries)
        for name in set(self._vms) - listed:
            changed = True
            self._vms.pop(name)
        self._advance(listing.revision, changed=changed)

    async def load(self) -> Result[None, Failure]:
        """List all records and adopt them."""
        answer = await self._store.list_prefix(VM_PREFIX)
        if isinstance(answer, Err):
            return answer
        self.adopt(answer.ok_value)
        return Ok(None)

    async def follow(self, wait: float = WATCH_WAIT) -> Result[None, Failure]:
        """Wait once for changes and adopt them.

        After a lost answer the store answers at once, since a change may have
        been lost with it.

        :param wait: seconds to wait for a change.
        """
        answer = await self._store.watch(
            VM_PREFIX, self._position, 0 if self._lost else wait
        )
        self._lost = isinstance(answer, Err)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.truncated:
            return await self.load()
        self._adopt_batch(answer.ok_value)
        return Ok(None)

    def _adopt_batch(self, batch: WatchBatch) -> None:
        if batch.revision < self._position:
            return
        changed = self._adopt_entries(
            Entry(event.key, event.value, event.revision)
            for event in batch.events
            if event.value is not None
        )
        for event in batch.events:
            if event.value is None:
                changed |= self._remove(event.key, event.revision)
        self._advance(batch.revision, changed=changed)

    def _adopt_entries(self, entries: Iterable[Entry]) -> bool:
        changed = False
        for entry in entries:
            changed |= self._adopt_entry(entry)
        return changed

    def _adopt_entry(self, entry: Entry) -> bool:
        name = entry.key.removeprefix(VM_PREFIX)
        known = self._vms.get(name)
        if known is not None and known.revision >= entry.revision:
            return False
        try:
            record = unpack_vm(entry.value)
        except pydantic.ValidationError:
            # A newer version may write records that this one can't read.
            # The last readable record stays in use.
            return False
        self._vms[name] = KnownVm(record, entry.revision)
        return True

    def _remove(self, key: str, revision: int) -> bool:
        name = key.removeprefix(VM_PREFIX)
        known = self._vms.get(name)
        if known is None or known.revision >= revision:
            return False
        self._vms.pop(name)
        return True

    def _advance(self, position: int, *, changed: bool) -> None:
        self._position = max(self._position, position)
        if changed:
            for subscriber in self._subscribers:
                subscriber()


def _make_entry(known: KnownVm) -> Entry:
    key = f'{VM_PREFIX}{known.record.name}'
    return Entry(key, pack_vm(known.record), known.revision)
