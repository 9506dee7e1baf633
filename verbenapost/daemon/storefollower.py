"""Task that keeps a local copy of a part of the store up to date."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from result import Ok, Result

from verbenapost.daemon.logs import make_logger
from verbenapost.protocol.errors import Failure

#: Shortest and longest base delay before a retry, in seconds.
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 2.0


class Follower(Protocol):
    """Local copy of a part of the store."""

    async def load(self) -> Result[Any, Failure]:
        """Read the whole part once."""

    async def follow(self) -> Result[Any, Failure]:
        """Wait once for changes and apply them."""


async def follow_store(name: str, follower: Follower) -> None:
    """Load the copy once, then follow changes until cancelled.

    :param name: name of the part in the log.
    :param follower: copy to keep up to date.
    """
    await _retry(name, follower.load)
    while True:
        await _retry(name, follower.follow)


async def _retry(
    name: str,
    call: Callable[[], Awaitable[Result[Any, Failure]]],
) -> None:
    log = make_logger(name)
    pause = MIN_PAUSE_SECONDS
    while True:
        answer = await call()
        if isinstance(answer, Ok):
            return
        log.warning('store read failed', detail=answer.err().detail)
        await asyncio.sleep(pause * (1 + random.random()))  # noqa: S311
        pause = min(MAX_PAUSE_SECONDS, pause * 2)
