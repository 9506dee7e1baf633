"""Calls over connections that go silent without a reset."""

import asyncio
import contextlib

import pytest
from result import Ok

from verbenapost.platform import connections as connections_module
from verbenapost.platform.http import EncodedCall, HttpTransport
from verbenapost.protocol.orders import CallFaultKind

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'

#: Seconds after which a call without an answer fails here.
TIMEOUT = 0.2

#: Calls at the same time, each over a connection of its own.
BURST = 5


class Server:
    """Answers each request at once, unless it is held or silent.

    :ivar accepted: connections accepted so far.
    :ivar held: set while requests are answered.
    """

    def __init__(self):
        self.accepted = 0
        self.held = asyncio.Event()
        self.held.set()
        self.received = asyncio.Semaphore(0)
        self._silent = 0
        self._server = None
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self

    async def __aexit__(self, *_fault):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def address(self):
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def silence(self):
        """Let all connections accepted so far go silent for good."""
        self._silent = self.accepted

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self.accepted += 1
        number = self.accepted
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                self.received.release()
                await self.held.wait()
                if number > self._silent:
                    writer.write(ANSWER)
        writer.close()


@pytest.fixture
async def server():
    async with Server() as started:
        yield started


@pytest.fixture
async def transport():
    made = HttpTransport()
    yield made
    await made.close()


async def send(transport, server, timeout=TIMEOUT):
    call = EncodedCall('GET', server.address, '/', None, {}, timeout)
    return await transport.send(call)


async def open_connections(transport, server):
    """Leave :data:`BURST` idle connections to a server."""
    server.held.clear()
    calls = [
        asyncio.create_task(send(transport, server, 5)) for _ in range(BURST)
    ]
    for _ in range(BURST):
        await server.received.acquire()
    server.held.set()
    assert all(
        isinstance(answer, Ok) for answer in await asyncio.gather(*calls)
    )
    assert server.accepted == BURST


class TestSilentConnections:
    async def test_only_one_call_is_lost(self, transport, server):
        """Each call used up one of the silent connections (review/3)."""
        await open_connections(transport, server)
        server.silence()
        lost = await send(transport, server)
        assert lost.err_value.kind is CallFaultKind.UNKNOWN
        for _ in range(BURST):
            assert isinstance(await send(transport, server), Ok)
        assert server.accepted == BURST + 1

    async def test_they_may_go_silent_again(self, transport, server):
        for _ in range(BURST):
            await send(transport, server)
            server.silence()
            lost = await send(transport, server)
            assert lost.err_value.kind is CallFaultKind.UNKNOWN
        assert isinstance(await send(transport, server), Ok)

    async def test_running_calls_are_answered(self, transport, server):
        await send(transport, server)
        server.silence()
        await send(transport, server)
        server.held.clear()
        running = asyncio.create_task(send(transport, server, 5))
        await server.received.acquire()
        await server.received.acquire()
        await server.received.acquire()
        await send(transport, server)
        server.held.set()
        assert isinstance(await running, Ok)

    async def test_connections_to_other_servers_are_kept(
        self, transport, server
    ):
        async with Server() as other:
            await send(transport, other)
            await send(transport, server)
            server.silence()
            await send(transport, server)
            assert isinstance(await send(transport, other), Ok)
            assert other.accepted == 1

    async def test_unused_pools_are_dropped(
        self, transport, server, monkeypatch
    ):
        await send(transport, server)
        server.silence()
        await send(transport, server)
        monkeypatch.setattr(connections_module, 'IDLE_SECONDS', 0)
        async with Server() as other:
            await send(transport, other)
            other.silence()
            await send(transport, other)
            assert set(transport._pools._own) == {other.address}
