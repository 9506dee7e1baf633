"""Stand-in for the platform's load balancer."""

import asyncio
import itertools
import time
from collections.abc import Mapping
from typing import Self

import aiohttp

#: Seconds between two readiness probes of a daemon.
PROBE_SECONDS = 0.1

#: Longest wait for the answer to a probe in seconds.
PROBE_TIMEOUT = 0.5

#: Longest wait for a connection in seconds.
CONNECT_SECONDS = 1.0


class Balancer:
    """Chooses ready daemons round-robin and keeps connections to them.

    Explanation
    ===========

    The session never retries a request by itself. The caller of
    :meth:`pick` may try the next daemon only when no connection was made.

    :param urls: URL of each daemon, by name.
    :ivar probe_starts: start of the last successful probe of each daemon, in
        Unix seconds.
    """

    def __init__(self, urls: Mapping[str, str]) -> None:
        self.urls = dict(urls)
        self.probe_starts: dict[str, float] = {}
        self._ready: set[str] = set()
        self._counter = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Probe every daemon once, then start the periodic probes."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_SECONDS),
        )
        # A retry of a request that may have been sent would be a second
        # request.
        self._session._retry_connection = False  # noqa: SLF001
        for name in self.urls:
            await self._probe(name)
            self._tasks.append(asyncio.create_task(self._probe_forever(name)))
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop the probes and close every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.session.close()

    @property
    def session(self) -> aiohttp.ClientSession:
        """Session with the persistent connections."""
        assert self._session is not None  # noqa: S101
        return self._session

    @property
    def ready(self) -> list[str]:
        """Daemons that were ready at their last probe."""
        return sorted(self._ready)

    def pick(self) -> str | None:
        """Return the next ready daemon, if there is one."""
        names = self.ready
        return names[next(self._counter) % len(names)] if names else None

    def drop(self, name: str) -> None:
        """Exclude a daemon until its next successful probe."""
        self._ready.discard(name)

    async def _probe_forever(self, name: str) -> None:
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            await self._probe(name)

    async def _probe(self, name: str) -> None:
        started_at = time.time()
        try:
            async with (
                asyncio.timeout(PROBE_TIMEOUT),
                self.session.get(f'{self.urls[name]}/-/ready') as answer,
            ):
                is_ready = answer.status == 200
        except (aiohttp.ClientError, OSError):
            is_ready = False
        if is_ready:
            self._ready.add(name)
            self.probe_starts[name] = started_at
        else:
            self.drop(name)
