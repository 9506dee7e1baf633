"""Writes whose answers may be lost, and reads that may be stale."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable

from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import (
    NO_REVISION,
    Entry,
    Listing,
    StorePort,
    WatchBatch,
)

#: Seconds before the first repeat of an undecided write, at most.
FIRST_BACKOFF = 0.05

#: Seconds before any repeat of an undecided write, at most.
MAX_BACKOFF = 2.0

#: Keys whose newest revision is remembered.
MAX_REMEMBERED_KEYS = 10_000


class Backoff:
    """Growing waits with jitter.

    :param chance: source of jitter.
    """

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._limit = FIRST_BACKOFF

    def draw(self) -> float:
        """Return the seconds to wait before the next try."""
        limit = self._limit
        self._limit = min(MAX_BACKOFF, limit * 2)
        return limit * (1 + self._chance.random()) / 2


class SettledWriter:
    """Swaps whose lost answers are settled by looking for the own mark.

    Explanation
    ===========

    After ``STORE_UNKNOWN`` the key is read. Three things may be seen:

    * the own mark: the write took effect;
    * another revision without the mark: it did not, or was replaced since;
      either way the expected revision is gone and the write can no longer
      take effect (``CONFLICT``);
    * the expected revision: the write may still be on its way. The very same
      swap is sent again. At most one of the two can take effect, since both
      expect one revision.

    A key that is created (expected revision 0) and may vanish again gives no
    such guarantee: the late write may create it anew. Use it for keys that
    are never deleted.

    See Also
    ========

    verbenapost.protocol.store.StorePort

    :param store: store to write to.
    :param now: clock that returns monotonic seconds.
    :param chance: source of jitter.
    """

    def __init__(
        self,
        store: StorePort,
        now: Callable[[], float],
        chance: random.Random,
    ) -> None:
        self._store = store
        self._now = now
        self._chance = chance

    async def settle_swap(
        self,
        key: str,
        expected: int,
        value: bytes,
        has_mark: Callable[[bytes], bool],
        deadline: float,
    ) -> Result[int, Failure]:
        """Swap a key and find out whether it took effect.

        :param key: key to write.
        :param expected: revision that the key must have.
        :param value: bytes to write; they carry the writer's mark.
        :param has_mark: tells whether a value carries the mark.
        :param deadline: monotonic seconds after which to give up.
        :returns: the new revision; ``CONFLICT`` when it can not take effect
            any more; ``STORE_UNAVAILABLE`` when no try can have; else
            ``STORE_UNKNOWN`` at the deadline.
        """
        backoff = Backoff(self._chance)
        outcome = await self._store.swap(key, expected, value)
        if not _is_unknown(outcome):
            return outcome
        while self._now() < deadline:
            found = await self._find_mark(key, expected, has_mark)
            if found is not None:
                return found
            again = await self._store.swap(key, expected, value)
            if isinstance(again, Ok):
                return again
            await asyncio.sleep(backoff.draw())
        return outcome

    async def _find_mark(
        self, key: str, expected: int, has_mark: Callable[[bytes], bool]
    ) -> Result[int, Failure] | None:
        reading = await self._store.get(key)
        if isinstance(reading, Err):
            return None
        entry = reading.ok_value
        if entry is not None and has_mark(entry.value):
            return Ok(entry.revision)
        revision = entry.revision if entry else NO_REVISION
        if revision > expected:
            return Err(Failure(ErrorKind.CONFLICT, f'{key} has changed'))
        return None


class MonotonicReads:
    """A ``StorePort`` that ignores entries older than those seen before.

    Explanation
    ===========

    A stale read is reported as ``STORE_UNAVAILABLE``. A missing key is
    accepted, since leases delete keys.

    :param store: store to read from.
    :param capacity: keys whose newest revision is remembered.
    """

    def __init__(
        self, store: StorePort, capacity: int = MAX_REMEMBERED_KEYS
    ) -> None:
        self._store = store
        self._capacity = capacity
        self._seen: OrderedDict[str, int] = OrderedDict()

    async def get(self, key: str) -> Result[Entry | None, Failure]:
        """Read one key unless the answer is stale."""
        reading = await self._store.get(key)
        if isinstance(reading, Ok) and reading.ok_value is not None:
            return self._check(reading.ok_value)
        return reading

    async def list_prefix(self, prefix: str) -> Result[Listing, Failure]:
        """Read all keys under a prefix unless one of them is stale."""
        reading = await self._store.list_prefix(prefix)
        if isinstance(reading, Err):
            return reading
        for entry in reading.ok_value.entries:
            checked = self._check(entry)
            if isinstance(checked, Err):
                return checked
        return reading

    async def swap(
        self,
        key: str,
        expected: int,
        value: bytes,
        lease: str = '',
    ) -> Result[int, Failure]:
        """Write and remember the new revision."""
        outcome = await self._store.swap(key, expected, value, lease)
        if isinstance(outcome, Ok):
            self._remember(key, outcome.ok_value)
        return outcome

    async def delete(self, key: str, expected: int) -> Result[int, Failure]:
        """Delete the key."""
        return await self._store.delete(key, expected)

    async def grant_lease(self, ttl: float) -> Result[str, Failure]:
        """Create a lease."""
        return await self._store.grant_lease(ttl)

    async def renew_lease(self, lease: str) -> Result[None, Failure]:
        """Renew a lease."""
        return await self._store.renew_lease(lease)

    async def revoke_lease(self, lease: str) -> Result[None, Failure]:
        """End a lease."""
        return await self._store.revoke_lease(lease)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[WatchBatch, Failure]:
        """Wait for changes."""
        return await self._store.watch(prefix, after, wait)

    def _check(self, entry: Entry) -> Result[Entry | None, Failure]:
        newest = self._seen.get(entry.key, NO_REVISION)
        if entry.revision < newest:
            detail = f'stale read of {entry.key}'
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
        self._remember(entry.key, entry.revision)
        return Ok(entry)

    def _remember(self, key: str, revision: int) -> None:
        self._seen[key] = revision
        self._seen.move_to_end(key)
        if len(self._seen) > self._capacity:
            self._seen.popitem(last=False)


def _is_unknown(outcome: Result[int, Failure]) -> bool:
    if isinstance(outcome, Ok):
        return False
    return outcome.err_value.kind is ErrorKind.STORE_UNKNOWN
