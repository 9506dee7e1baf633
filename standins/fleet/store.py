"""Simulated metadata store with transactions, leases, watches and faults."""

import asyncio
import dataclasses
import random
from collections import Counter

from result import Err, Ok

from verbenapost.protocol.orders import (
    CallFault,
    CallFaultKind,
    ChangeBatch,
    ItemPage,
    KeyChange,
    KeyValue,
    TransactionConflict,
)

#: Seconds after which a call without an answer fails.
TIMEOUT_SECONDS = 1.0

#: The same for a probe.
PROBE_SECONDS = 0.5

#: Seconds before its time at which the event loop runs a timer; the virtual
#: time stands still meanwhile, so that no wait may be shorter.
CLOCK_RESOLUTION = 1e-9


@dataclasses.dataclass
class FleetStoreFaults:
    """Faults of the calls of one daemon, or of all daemons.

    :param latency: seconds before each answer.
    :param down: whether calls are refused.
    :param silent: whether calls get no answer and have no effect.
    :param lose: probability that a write takes effect and its answer is lost.
    :param late: probability that a write takes effect seconds later and gets
        no answer.
    """

    latency: float = 0.004
    down: bool = False
    silent: bool = False
    lose: float = 0
    late: float = 0


class FleetStoreCore:
    """Keys, leases and history, shared by the clients of all daemons.

    :ivar observers: called with each change of a key.
    """

    def __init__(self, now, seed=0):
        self.now = now
        self.rng = random.Random(seed)
        self.faults = FleetStoreFaults()
        self.items = {}
        self.leases = {}
        self.history = []
        self.observers = []
        self.compacted_revision = 0
        self.revision = 1
        self.calls = Counter()
        self._lease_by_key = {}
        self._changed = asyncio.Event()

    def write(self, key, value, lease=0):
        """Write a key for an operator or a worker, without faults."""
        self.revision += 1
        self._put(key, value, lease)

    def remove(self, key):
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            self._drop(key)

    def compact(self):
        """Discard the history; a watch of an earlier revision then fails."""
        self.history.clear()
        self.compacted_revision = self.revision

    def expire(self):
        """End the leases that have expired and remove their keys."""
        expired = [
            lease_id
            for lease_id, end in self.leases.items()
            if end < self.now()
        ]
        for lease in expired:
            self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and return whether the lease existed."""
        if self.leases.pop(lease, None) is None:
            return False
        keys = [
            key
            for key, key_lease in self._lease_by_key.items()
            if key_lease == lease
        ]
        for key in keys:
            self.remove(key)
        return True

    def apply(self, transaction):
        """Apply a transaction, or return why it is refused."""
        self.expire()
        conflicting = [
            row
            for row in transaction.expected
            if self._read_revision(row.key) != row.revision
        ]
        if conflicting:
            found = [
                self.items[row.key]
                for row in transaction.expected
                if row.key in self.items
            ]
            return Err(TransactionConflict(found))
        if any(
            row.lease and row.lease not in self.leases
            for row in transaction.writes
        ):
            return Err(CallFault(CallFaultKind.NOT_FOUND))
        self.revision += 1
        for row in transaction.writes:
            self._put(row.key, row.value, row.lease)
        for key in transaction.removed:
            self._drop(key)
        return Ok(self.revision)

    async def wait_change(self, seconds):
        """Wait for the next change, at most for some seconds."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _read_revision(self, key):
        item = self.items.get(key)
        return 0 if item is None else item.revision

    def _put(self, key, value, lease):
        self.items[key] = KeyValue(key, value, self.revision, lease)
        self._lease_by_key.pop(key, None)
        if lease:
            self._lease_by_key[key] = lease
        self._record_change(KeyChange(key, value, self.revision))

    def _drop(self, key):
        if self.items.pop(key, None) is not None:
            self._lease_by_key.pop(key, None)
            self._record_change(KeyChange(key, None, self.revision))

    def _record_change(self, change):
        self.history.append(change)
        for observe in self.observers:
            observe(change)
        self._changed.set()
        self._changed = asyncio.Event()


class FleetStore:
    """Store client of one daemon, with the scheduler's interface.

    :param observer: observes each call.
    """

    def __init__(self, core, observer):
        self.core = core
        self.observer = observer
        self.faults = FleetStoreFaults()
        self.calls = Counter()

    async def read_key(self, key):
        """Read a key."""
        fault = await self._call('read')
        return fault or Ok(self.core.items.get(key))

    async def read_range(self, prefix):
        """Read the keys under a prefix."""
        fault = await self._call('range')
        if fault:
            return fault
        found = [
            item
            for key, item in sorted(self.core.items.items())
            if key.startswith(prefix)
        ]
        return Ok(ItemPage(found, False, self.core.revision))  # noqa: FBT003

    async def watch(self, prefix, after, wait):
        """Wait for changes under a prefix."""
        fault = await self._call('watch')
        if fault:
            return fault
        deadline = self.core.now() + wait
        while True:
            if after < self.core.compacted_revision:
                return Err(CallFault(CallFaultKind.NOT_FOUND))
            found = [
                row
                for row in self.core.history
                if row.revision > after and row.key.startswith(prefix)
            ]
            remaining = deadline - self.core.now()
            if found or remaining <= CLOCK_RESOLUTION:
                return Ok(ChangeBatch(found, self.core.revision))
            await self.core.wait_change(remaining)
            self.core.expire()

    async def commit(self, transaction):
        """Commit a transaction."""
        fault = await self._call('commit')
        if fault:
            return fault
        draw = self.core.rng.random()
        late = max(self.faults.late, self.core.faults.late)
        lose = max(self.faults.lose, self.core.faults.lose)
        if draw < late:
            delay = self.core.rng.uniform(1, 6)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self.core.apply, transaction)
            return await self._lose_answer()
        answer = self.core.apply(transaction)
        if draw < late + lose:
            return await self._lose_answer()
        return answer

    async def grant_lease(self, ttl):
        """Create a lease."""
        fault = await self._call('grant')
        if fault:
            return fault
        lease = self.core.rng.getrandbits(40) + 1
        self.core.leases[lease] = self.core.now() + ttl
        self._ttl = ttl
        return Ok(lease)

    async def renew_lease(self, lease):
        """Renew a lease."""
        fault = await self._call('renew')
        if fault:
            return fault
        if lease not in self.core.leases:
            return Err(CallFault(CallFaultKind.NOT_FOUND))
        self.core.leases[lease] = self.core.now() + self._ttl
        return Ok(None)

    async def revoke_lease(self, lease):
        """End a lease."""
        fault = await self._call('revoke')
        if fault:
            return fault
        if not self.core.end_lease(lease):
            return Err(CallFault(CallFaultKind.NOT_FOUND))
        return Ok(None)

    async def probe(self):
        """Return whether the store answers."""
        return await self._call('probe', timeout=PROBE_SECONDS) is None

    async def _lose_answer(self):
        number = self.observer.begin(0)
        fault = await self._time_out()
        self.observer.end(number, answered=False)
        return fault

    async def _call(self, kind, wait=0, timeout=TIMEOUT_SECONDS):
        self.calls[kind] += 1
        self.core.calls[kind] += 1
        number = self.observer.begin(wait)
        fault = await self._find_fault(timeout)
        self.observer.end(number, answered=fault is None)
        return fault

    async def _find_fault(self, timeout):
        await asyncio.sleep(self.faults.latency + self.core.faults.latency)
        self.core.expire()
        if self.faults.silent or self.core.faults.silent:
            return await self._time_out(timeout)
        if self.faults.down or self.core.faults.down:
            return Err(CallFault(CallFaultKind.NOT_DONE, 'down'))
        return None

    async def _time_out(self, timeout=TIMEOUT_SECONDS):
        await asyncio.sleep(timeout)
        return Err(CallFault(CallFaultKind.UNKNOWN, 'no answer'))
