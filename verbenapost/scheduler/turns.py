"""Order in which callers' requests are served.

Load pattern: many clients send requests that cost much, with large bodies, and
are refused in the end. A caller with an ordinary request comes between them.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from verbenapost.daemon.timers import read_clock
from verbenapost.scheduler.answers import (
    UNAVAILABLE_RETRY_SECONDS,
    EntryAnswer,
    EntryRequest,
    Status,
    refuse,
)
from verbenapost.transport.bodies import ByteBudget

#: Bytes above which a body counts as a large one.
LARGE_BODY_BYTES: Final = 16_384

#: Requests with large bodies that are served at one time.
LARGE_AT_ONCE: Final = 4

Serve = Callable[[EntryRequest], Awaitable[EntryAnswer]]


class RequestTurns:
    """Serves requests a limited number at a time, in order of arrival.

    Explanation
    ===========

    Requests with large bodies have a queue of their own, so that ordinary ones
    don't wait behind them. While large bodies already take up the memory for
    bodies, a further one is refused at once.

    :param served_at_once: requests that are served at one time.
    :param budget: memory that all bodies share.
    """

    def __init__(self, served_at_once: int, budget: ByteBudget) -> None:
        self._budget = budget
        self._all = asyncio.Semaphore(served_at_once)
        self._large = asyncio.Semaphore(LARGE_AT_ONCE)

    async def serve(self, request: EntryRequest, serve: Serve) -> EntryAnswer:
        """Return the answer to a request, or a refusal without a turn.

        Nothing is done for a client that has left meanwhile.

        :param request: the request.
        :param serve: returns the answer.
        """
        if len(request.body or b'') <= LARGE_BODY_BYTES:
            return await self._serve_within(self._all, request, serve)
        if self._large.locked() and self._budget.is_scarce:
            return refuse_busy()

        async def serve_large(large: EntryRequest) -> EntryAnswer:
            return await self._serve_within(self._all, large, serve)

        return await self._serve_within(self._large, request, serve_large)

    async def _serve_within(
        self, turns: asyncio.Semaphore, request: EntryRequest, serve: Serve
    ) -> EntryAnswer:
        if not await _acquire(turns, request.deadline):
            return refuse_busy()
        try:
            if request.is_abandoned():
                return refuse_busy()
            return await serve(request)
        finally:
            turns.release()


class PacedWork:
    """Does costly work one piece at a time, and pauses as long as each took.

    So it takes a half of the processor at most.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def begin(self) -> AsyncIterator[None]:
        """Wait for earlier work and its pause."""
        async with self._lock:
            began = read_clock()
            try:
                yield
            finally:
                await asyncio.sleep(read_clock() - began)


def refuse_busy() -> EntryAnswer:
    """Refuse a request of which nothing was done."""
    return refuse(
        Status.UNAVAILABLE,
        'too many requests; not run',
        UNAVAILABLE_RETRY_SECONDS,
    )


async def _acquire(turns: asyncio.Semaphore, deadline: float) -> bool:
    """Return whether there was a turn before the caller's deadline."""
    if not turns.locked():
        return await turns.acquire()
    try:
        async with asyncio.timeout(deadline - read_clock()):
            return await turns.acquire()
    except TimeoutError:
        return False
