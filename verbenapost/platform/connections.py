"""Pools of HTTP connections, replaced once a call gets no answer in time."""

import asyncio
from typing import Final, final

import aiohttp

from verbenapost.transport.answerlimits import (
    DEFAULT_ANSWER_BYTES,
    DEFAULT_ANSWERS_BYTES,
    read_limited,
)
from verbenapost.transport.bodies import ByteBudget
from verbenapost.transport.serverconnections import ServerConnector

#: Seconds for which an idle connection is kept, since a new one costs more.
IDLE_SECONDS: Final = 60.0

#: Seconds to connect; a VM without power doesn't refuse a connection.
CONNECT_SECONDS: Final = 1.0


@final
class ConnectionPool:
    """Connections that are kept for further calls.

    :param answer_bytes: largest body of an answer.
    :param budget: memory that all answers being read share.
    :ivar used_at: seconds of the event loop's clock at which the last call
        began or ended.
    """

    def __init__(self, answer_bytes: int, budget: ByteBudget) -> None:
        self.used_at = _read_clock()
        self._budget = budget
        self._answer_bytes = answer_bytes
        self._session = aiohttp.ClientSession(
            connector=ServerConnector(
                limit=0, keepalive_timeout=IDLE_SECONDS, use_dns_cache=False
            ),
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_SECONDS),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Accept-Encoding'),
        )
        self._running = 0
        self._retired = False

    @property
    def idle(self) -> bool:
        """Whether no call has used the pool for :data:`IDLE_SECONDS`."""
        return not self._running and _read_clock() - self.used_at > IDLE_SECONDS

    async def exchange(
        self,
        method: str,
        url: str,
        payload: bytes | None,
        headers: dict[str, str],
    ) -> tuple[int, bytes]:
        """Send a request and return the status and the body of its answer.

        :param method: HTTP method.
        :param url: URL of the request.
        :param payload: body of the request, or ``None``.
        :param headers: headers of the request.
        :raises aiohttp.ClientError: when there is no complete answer within the
            limit.
        """
        self._running += 1
        self.used_at = _read_clock()
        try:
            async with self._session.request(
                method, url, data=payload, headers=headers
            ) as response:
                body = await read_limited(
                    response, self._answer_bytes, self._budget
                )
                return response.status, body
        finally:
            self._running -= 1
            self.used_at = _read_clock()
            if self._retired:
                await self.retire()

    async def retire(self) -> None:
        """Close all connections once the last running call has ended."""
        self._retired = True
        if not self._running:
            await self.close()

    async def close(self) -> None:
        """Close all connections, also those of running calls."""
        await self._session.close()


@final
class ConnectionPools:
    """Finds the pool for the calls to a server.

    Explanation
    ===========

    Connections may go silent without a reset, while new ones work. A call that
    gets no answer in time shows only that its own connection may be one of
    them, but the idle ones to that server may be as old. Such a server gets a
    pool of its own in place of the pool that it had, so that no further call
    uses an older connection. Calls that are still running go on.

    :param answer_bytes: largest body of an answer.
    :param total_bytes: bytes of all answers that are being read.
    """

    def __init__(
        self,
        answer_bytes: int = DEFAULT_ANSWER_BYTES,
        total_bytes: int = DEFAULT_ANSWERS_BYTES,
    ) -> None:
        self._answer_bytes = answer_bytes
        self._budget = ByteBudget(total_bytes)
        self._shared: ConnectionPool | None = None
        self._own: dict[str, ConnectionPool] = {}

    def find(self, address: str) -> ConnectionPool:
        """Return the pool for calls to a server.

        :param address: ``IP:port`` of the server.
        """
        if self._shared is None:
            # A session can only be created while the event loop runs.
            self._shared = self._make_pool()
        return self._own.get(address, self._shared)

    async def replace(self, address: str, pool: ConnectionPool) -> None:
        """Use new connections for all further calls to a server.

        :param address: ``IP:port`` of the server.
        :param pool: pool of the call that got no answer; nothing is done if
            the server's pool has been replaced since the call began.
        """
        await self._drop_idle()
        if self.find(address) is not pool:
            return
        self._own[address] = self._make_pool()
        if pool is not self._shared:
            await pool.retire()

    async def close(self) -> None:
        """Close all connections."""
        pools = list(self._own.values())
        if self._shared is not None:
            pools.append(self._shared)
        self._own.clear()
        self._shared = None
        for pool in pools:
            await pool.close()

    def _make_pool(self) -> ConnectionPool:
        return ConnectionPool(self._answer_bytes, self._budget)

    async def _drop_idle(self) -> None:
        """Return servers to the shared pool, whose old connections are closed.

        A connection of the shared pool to such a server has been idle for as
        long as the server's own pool exists.
        """
        for address, pool in list(self._own.items()):
            if pool.idle:
                self._own.pop(address)
                await pool.close()


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
