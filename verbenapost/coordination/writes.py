"""Writes with unknown outcomes, and protection against stale reads."""

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

#: Longest wait before the first retry of an undecided write, in seconds.
FIRST_BACKOFF = 0.05

#: Longest wait before any retry of an undecided write, in seconds.
MAX_BACKOFF = 2.0

#: Keys whose newest revision is kept.
MAX_REMEMBERED_KEYS = 10_000


class Backoff:
    """Exponential backoff with jitter.

    :param rng: source of jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._limit = FIRST_BACKOFF

    def draw_delay(self) -> float:
        """Return the seconds to wait before the next retry."""
        limit = self._limit
        self._limit = min(MAX_BACKOFF, limit * 2)
        return limit * (1 + self._rng.random()) / 2


class ResolvingWriter:
    """Swaps keys and resolves unknown outcomes by reading the key.

    Explanation
    ===========

    After ``STORE_UNKNOWN`` the key is read, and the caller's predicate decides
    whether the value includes the write, usually by an ID of the write in the
    value. There are three cases:

    * a value that includes the write: the write took effect;
    * another revision without the write: the write did not take effect, or
      was replaced since. In both cases the expected revision is superseded
      and the write can no longer take effect (``CONFLICT``);
    * the expected revision: the write may still be in flight. The same swap
      is sent again. At most one of the two can take effect, since both
      expect the same revision.

    There is no such guarantee for a key that is created (expected revision
    0) and may be deleted: a delayed write may create the key again. Use this
    class for keys that are never deleted.

    See Also
    ========

    verbenapost.protocol.store.StorePort

    :param store: store to write to.
    :param now: clock that returns monotonic seconds.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        store: StorePort,
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._now = now
        self._rng = rng

    async def resolve_swap(
        self,
        key: str,
        expected: int,
        value: bytes,
        includes_write: Callable[[bytes], bool],
        deadline: float,
    ) -> Result[int, Failure]:
        """Swap a key and determine whether the write took effect.

        :param key: key to write.
        :param expected: revision that the key must have.
        :param value: bytes to write.
        :param includes_write: returns whether a value is the result of this
            write or of later ones.
        :param deadline: monotonic time at which to give up, in seconds.
        :returns: the new revision; ``CONFLICT`` if the write can no longer
            take effect; ``STORE_UNAVAILABLE`` if no attempt can have taken
            effect; otherwise ``STORE_UNKNOWN`` at the deadline.
        """
        backoff = Backoff(self._rng)
        outcome = await self._store.swap(key, expected, value)
        if not _is_unknown(outcome):
            return outcome
        while self._now() < deadline:
            found = await self._find_write(key, expected, includes_write)
            if found is not None:
                return found
            repeated = await self._store.swap(key, expected, value)
            if isinstance(repeated, Ok):
                return repeated
            await asyncio.sleep(backoff.draw_delay())
        return outcome

    async def _find_write(
        self, key: str, expected: int, includes_write: Callable[[bytes], bool]
    ) -> Result[int, Failure] | None:
        reading = await self._store.get(key)
        if isinstance(reading, Err):
            return None
        entry = reading.ok_value
        if entry is not None and includes_write(entry.value):
            return Ok(entry.revision)
        revision = entry.revision if entry else NO_REVISION
        if revision > expected:
            return Err(Failure(ErrorKind.CONFLICT, f'{key} has changed'))
        return None


class MonotonicReads:
    """A ``StorePort`` that refuses entries older than those read before.

    Explanation
    ===========

    A stale read is reported as ``STORE_UNAVAILABLE``. A missing key is
    accepted, since leases delete keys.

    :param store: store to read from.
    :param capacity: number of keys whose newest revision is kept.
    """

    def __init__(
        self, store: StorePort, capacity: int = MAX_REMEMBERED_KEYS
    ) -> None:
        self._store = store
        self._capacity = capacity
        self._seen: OrderedDict[str, int] = OrderedDict()

    async def get(self, key: str) -> Result[Entry | None, Failure]:
        """Read one key; refuse a stale answer."""
        reading = await self._store.get(key)
        if isinstance(reading, Ok) and reading.ok_value is not None:
            return self._check(reading.ok_value)
        return reading

    async def list_prefix(self, prefix: str) -> Result[Listing, Failure]:
        """Read all keys under a prefix; refuse the listing if one is stale."""
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
        """Swap a key and record the new revision."""
        outcome = await self._store.swap(key, expected, value, lease)
        if isinstance(outcome, Ok):
            self._record_revision(key, outcome.ok_value)
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
        """Revoke a lease."""
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
        self._record_revision(entry.key, entry.revision)
        return Ok(entry)

    def _record_revision(self, key: str, revision: int) -> None:
        self._seen[key] = revision
        self._seen.move_to_end(key)
        if len(self._seen) > self._capacity:
            self._seen.popitem(last=False)


def _is_unknown(outcome: Result[int, Failure]) -> bool:
    if isinstance(outcome, Ok):
        return False
    return outcome.err_value.kind is ErrorKind.STORE_UNKNOWN
