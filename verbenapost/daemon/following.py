"""Tasks that follow a part of the store."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from result import Ok, Result

from verbenapost.daemon.logs import make_logger
from verbenapost.protocol.errors import Failure

#: Shortest and longest pause after a failure, in seconds.
PAUSE_MIN = 0.1
PAUSE_MAX = 2.0


class Follower(Protocol):
    """A copy of a part of the store."""

    async def load(self) -> Result[Any, Failure]:
        """Read everything once."""

    async def follow(self) -> Result[Any, Failure]:
        """Wait once for changes."""


async def follow_store(name: str, follower: Follower) -> None:
    """Load once, then follow until cancelled.

    :param name: name of the part, for the log.
    :param follower: the copy.
    """
    await _insist(name, follower.load)
    while True:
        await _insist(name, follower.follow)


async def _insist(
    name: str,
    call: Callable[[], Awaitable[Result[Any, Failure]]],
) -> None:
    log = make_logger(name)
    pause = PAUSE_MIN
    while True:
        answer = await call()
        if isinstance(answer, Ok):
            return
        log.warning('the store does not answer', detail=answer.err().detail)
        await asyncio.sleep(pause * (1 + random.random()))  # noqa: S311
        pause = min(PAUSE_MAX, pause * 2)
