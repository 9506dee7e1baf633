"""Stand-in for the store inside one process, for tests and benchmarks."""

import asyncio
import functools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from standins.faults import CallOutcome, StoreFaults
from standins.storecore import StoreCore
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import Entry, Listing, WatchBatch

#: Seconds after which the caller of a hung call times out.
DEFAULT_TIMEOUT = 1.0

_UNAVAILABLE: Result[Any, Failure] = Err(Failure(ErrorKind.STORE_UNAVAILABLE))
_UNKNOWN: Result[Any, Failure] = Err(Failure(ErrorKind.STORE_UNKNOWN))

#: Seconds by which a timer of the event loop may fire early.
TIMER_SLACK_SECONDS = 1e-6

Operation = Callable[[], Result[Any, Failure]]


async def wait_for_events(
    core: StoreCore,
    prefix: str,
    after: int,
    wait: float,
    now: Callable[[], float],
) -> WatchBatch:
    """Wait until a watch has events, is truncated or times out."""
    deadline = now() + wait
    changed = asyncio.Event()
    with core.subscribe(changed.set):
        while True:
            changed.clear()
            batch = core.read_events(prefix, after, now())
            remaining = deadline - now()
            if (
                batch.events
                or batch.truncated
                or remaining <= TIMER_SLACK_SECONDS
            ):
                return batch
            await _wait_for_change(changed, core, remaining, now())


async def _wait_for_change(
    changed: asyncio.Event,
    core: StoreCore,
    remaining: float,
    current_time: float,
) -> None:
    expiry = core.find_next_expiry()
    if expiry is not None:
        remaining = min(remaining, max(0, expiry - current_time))
    try:
        await asyncio.wait_for(changed.wait(), remaining)
    except TimeoutError:
        return


class MemoryStore:
    """A ``StorePort`` on a core that several clients may share.

    Explanation
    ===========

    A hung write takes effect at a random later time, possibly long after its
    caller has timed out, as a request in the socket of a frozen server does.
    All random draws are derived from the seed.

    :param core: state that several clients may share.
    :param now: clock that returns seconds.
    :param seed: seed of the random faults.
    :param timeout: seconds after which the caller of a hung call times out.
    """

    def __init__(
        self,
        core: StoreCore,
        now: Callable[[], float],
        seed: int = 0,
        timeout: float = DEFAULT_TIMEOUT,
    ) -> None:
        self.core = core
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()
        self._now = now
        self._rng = random.Random(seed)
        self._timeout = timeout

    async def get(self, key: str) -> Result[Entry | None, Failure]:
        """Read one key."""
        return await self._read('get', key, functools.partial(self._get, key))

    async def list_prefix(self, prefix: str) -> Result[Listing, Failure]:
        """Read all keys that start with the prefix."""
        operation = functools.partial(self._list, prefix)
        return await self._read('list', prefix, operation)

    async def swap(
        self,
        key: str,
        expected: int,
        value: bytes,
        lease: str = '',
    ) -> Result[int, Failure]:
        """Write the key when its revision is the expected one."""
        return await self._write(
            'swap',
            key,
            lambda: self.core.swap(
                key, expected, value, lease, now=self._now()
            ),
        )

    async def delete(self, key: str, expected: int) -> Result[int, Failure]:
        """Delete the key when its revision is the expected one."""
        return await self._write(
            'delete',
            key,
            lambda: self.core.delete(key, expected, self._now()),
        )

    async def grant_lease(self, ttl: float) -> Result[str, Failure]:
        """Create a lease."""
        return await self._write(
            'grant_lease',
            '',
            lambda: Ok(self.core.grant_lease(ttl, self._now())),
        )

    async def renew_lease(self, lease: str) -> Result[None, Failure]:
        """Renew a lease."""
        return await self._write(
            'renew_lease',
            '',
            lambda: self.core.renew_lease(lease, self._now()),
        )

    async def revoke_lease(self, lease: str) -> Result[None, Failure]:
        """End a lease."""
        return await self._write(
            'revoke_lease', '', lambda: self.core.revoke_lease(lease)
        )

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[WatchBatch, Failure]:
        """Wait for changes after a revision."""
        admitted = await self._read('watch', prefix, lambda: Ok(None))
        if isinstance(admitted, Err):
            return admitted
        batch = await wait_for_events(self.core, prefix, after, wait, self._now)
        return Ok(batch)

    def _get(self, key: str) -> Result[Entry | None, Failure]:
        if self.faults.draw_stale(key, self._rng):
            return Ok(self.core.get_stale(key))
        return Ok(self.core.get(key, self._now()))

    def _list(self, prefix: str) -> Result[Listing, Failure]:
        if self.faults.draw_stale(prefix, self._rng):
            return Ok(self.core.list_stale(prefix))
        return Ok(self.core.list_prefix(prefix, self._now()))

    async def _read(
        self, kind: str, key: str, operation: Operation
    ) -> Result[Any, Failure]:
        outcome = await self._begin_call(kind, key)
        if outcome is CallOutcome.REFUSED:
            return _UNAVAILABLE
        if outcome is CallOutcome.ANSWERED:
            return operation()
        await asyncio.sleep(self._timeout)
        return _UNAVAILABLE

    async def _write(
        self, kind: str, key: str, operation: Operation
    ) -> Result[Any, Failure]:
        outcome = await self._begin_call(kind, key)
        if outcome is CallOutcome.REFUSED:
            return _UNAVAILABLE
        if outcome is CallOutcome.ANSWERED:
            return operation()
        if outcome is CallOutcome.HUNG:
            delay = self.faults.hang_seconds * self._rng.random()
            asyncio.get_running_loop().call_later(delay, operation)
        else:
            operation()
        await asyncio.sleep(self._timeout)
        return _UNKNOWN

    async def _begin_call(self, kind: str, key: str) -> CallOutcome:
        self.calls[kind] += 1
        await asyncio.sleep(self.faults.draw_latency(self._rng))
        return self.faults.draw_outcome(key, self._rng)
