"""Small stand-in for the platform's balancer."""

import asyncio
import itertools
import time
from collections.abc import Mapping
from typing import Self

import aiohttp

#: Seconds between two readiness probes of a daemon.
PROBE_SECONDS = 0.1

#: Longest wait for the answer to a probe, in seconds.
PROBE_TIMEOUT = 0.5

#: Longest wait for a connection, in seconds.
CONNECT_SECONDS = 1.0


class Balancer:
    """Chooses among ready daemons in turn and keeps connections to them.

    Explanation
    ===========

    The session never repeats a request by itself. The caller of
    :meth:`pick` may try the next daemon only when no connection was made.

    :param urls: URL of each daemon, by name.
    :ivar probed: Unix seconds at which the last good probe of each began.
    """

    def __init__(self, urls: Mapping[str, str]) -> None:
        self.urls = dict(urls)
        self.probed: dict[str, float] = {}
        self._ready: set[str] = set()
        self._turn = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Start to probe."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_SECONDS),
        )
        # A repeat of a request that may have been sent is a second request.
        self._session._retry_connection = False  # noqa: SLF001
        for name in self.urls:
            await self._probe(name)
            self._tasks.append(asyncio.create_task(self._watch(name)))
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Close every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.session.close()

    @property
    def session(self) -> aiohttp.ClientSession:
        """Session with the kept connections."""
        assert self._session is not None  # noqa: S101
        return self._session

    @property
    def ready(self) -> list[str]:
        """Daemons that were ready at their last probe."""
        return sorted(self._ready)

    def pick(self) -> str | None:
        """Return the next ready daemon, if there is one."""
        names = self.ready
        return names[next(self._turn) % len(names)] if names else None

    def drop(self, name: str) -> None:
        """Send nothing to a daemon until its next good probe."""
        self._ready.discard(name)

    async def _watch(self, name: str) -> None:
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            await self._probe(name)

    async def _probe(self, name: str) -> None:
        begun = time.time()
        try:
            async with (
                asyncio.timeout(PROBE_TIMEOUT),
                self.session.get(f'{self.urls[name]}/-/ready') as answer,
            ):
                good = answer.status == 200
        except (aiohttp.ClientError, OSError):
            good = False
        if good:
            self._ready.add(name)
            self.probed[name] = begun
        else:
            self.drop(name)
