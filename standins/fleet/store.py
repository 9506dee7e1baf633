"""Metadata store with transactions, leases, watches and faults."""

import asyncio
import dataclasses
import random
from collections import Counter

from result import Err, Ok

from verbenapost.protocol.orders import (
    CallFault,
    Change,
    ChangeBatch,
    Conflict,
    Fault,
    Item,
    ItemPage,
)


@dataclasses.dataclass
class StoreFaults:
    """What goes wrong with the calls of one daemon, or of all.

    :param latency: seconds before each answer.
    :param down: whether calls are refused.
    :param silent: whether calls get no answer and have no effect.
    :param lose: share of the writes that are made but not answered.
    :param late: share of the writes that are made seconds later and not
        answered.
    """

    latency: float = 0.004
    down: bool = False
    silent: bool = False
    lose: float = 0
    late: float = 0


class StoreCore:
    """Keys, leases and history; shared by the clients of all daemons."""

    def __init__(self, now, seed=0):
        self.now = now
        self.chance = random.Random(seed)
        self.faults = StoreFaults()
        self.items = {}
        self.leases = {}
        self.history = []
        self.first = 0
        self.revision = 1
        self.calls = Counter()
        self._bound = {}
        self._changed = asyncio.Event()

    def write(self, key, value, lease=0):
        """Write a key, as the operator or a worker does."""
        self.revision += 1
        self._put(key, value, lease)

    def remove(self, key):
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            self._drop(key)

    def compact(self):
        """Forget the history."""
        self.history.clear()
        self.first = self.revision

    def expire(self):
        """Remove the keys of leases that have ended."""
        ended = [row for row, end in self.leases.items() if end < self.now()]
        for lease in ended:
            self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease; return whether it was there."""
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, row in self._bound.items() if row == lease]
        for key in keys:
            self.remove(key)
        return True

    def apply(self, transaction):
        """Carry a transaction out, or return what speaks against it."""
        self.expire()
        wrong = [
            row
            for row in transaction.expected
            if self._read_revision(row.key) != row.revision
        ]
        if wrong:
            found = [
                self.items[row.key]
                for row in transaction.expected
                if row.key in self.items
            ]
            return Err(Conflict(found))
        if any(
            row.lease and row.lease not in self.leases
            for row in transaction.writes
        ):
            return Err(CallFault(Fault.NOT_FOUND))
        self.revision += 1
        for row in transaction.writes:
            self._put(row.key, row.value, row.lease)
        for key in transaction.removed:
            self._drop(key)
        return Ok(self.revision)

    async def wait_change(self, seconds):
        """Wait for the next change."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _read_revision(self, key):
        item = self.items.get(key)
        return 0 if item is None else item.revision

    def _put(self, key, value, lease):
        self.items[key] = Item(key, value, self.revision)
        self._bound.pop(key, None)
        if lease:
            self._bound[key] = lease
        self._note(Change(key, value, self.revision))

    def _drop(self, key):
        if self.items.pop(key, None) is not None:
            self._bound.pop(key, None)
            self._note(Change(key, None, self.revision))

    def _note(self, change):
        self.history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()


class FleetStore:
    """The store as one daemon reaches it; speaks the scheduler's port.

    :param observe: is told of each call whether the store has dealt with it.
    """

    def __init__(self, core, observe):
        self.core = core
        self.observe = observe
        self.faults = StoreFaults()
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
        until = self.core.now() + wait
        while True:
            if after < self.core.first:
                return Err(CallFault(Fault.NOT_FOUND))
            found = [
                row
                for row in self.core.history
                if row.revision > after and row.key.startswith(prefix)
            ]
            left = until - self.core.now()
            if found or left <= 0:
                return Ok(ChangeBatch(found, self.core.revision))
            await self.core.wait_change(left)
            self.core.expire()

    async def commit(self, transaction):
        """Carry a transaction out."""
        fault = await self._call('commit')
        if fault:
            return fault
        draw = self.core.chance.random()
        late = max(self.faults.late, self.core.faults.late)
        lose = max(self.faults.lose, self.core.faults.lose)
        if draw < late:
            delay = self.core.chance.uniform(1, 6)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self.core.apply, transaction)
            return await self._time_out()
        answer = self.core.apply(transaction)
        if draw < late + lose:
            return await self._time_out()
        return answer

    async def grant_lease(self, ttl):
        """Create a lease."""
        fault = await self._call('grant')
        if fault:
            return fault
        lease = self.core.chance.getrandbits(40) + 1
        self.core.leases[lease] = self.core.now() + ttl
        self._ttl = ttl
        return Ok(lease)

    async def renew_lease(self, lease):
        """Renew a lease."""
        fault = await self._call('renew')
        if fault:
            return fault
        if lease not in self.core.leases:
            return Err(CallFault(Fault.NOT_FOUND))
        self.core.leases[lease] = self.core.now() + self._ttl
        return Ok(None)

    async def revoke_lease(self, lease):
        """End a lease."""
        fault = await self._call('revoke')
        if fault:
            return fault
        if not self.core.end_lease(lease):
            return Err(CallFault(Fault.NOT_FOUND))
        return Ok(None)

    async def _call(self, kind):
        self.calls[kind] += 1
        self.core.calls[kind] += 1
        await asyncio.sleep(self.faults.latency + self.core.faults.latency)
        self.core.expire()
        if self.faults.silent or self.core.faults.silent:
            return await self._time_out()
        if self.faults.down or self.core.faults.down:
            self.observe(False)  # noqa: FBT003
            return Err(CallFault(Fault.NOT_DONE, 'down'))
        self.observe(True)  # noqa: FBT003
        return None

    async def _time_out(self):
        await asyncio.sleep(1)
        self.observe(False)  # noqa: FBT003
        return Err(CallFault(Fault.UNKNOWN, 'no answer'))
