"""Clients that exceed the limits of a listener, each in one way."""

import asyncio
import contextlib
import dataclasses
import itertools
import struct
from collections.abc import Callable, Iterable, Iterator

#: Bytes that a client hands to its socket at a time.
CHUNK_BYTES = 65_536

#: Seconds without progress of its writes after which a client stops sending.
#: It ends the clients whose requests the daemon no longer reads.
QUIET_SECONDS = 3.0

#: Seconds between two bytes of a client that sends slowly.
SLOW_SECONDS = 0.2

_START = b'POST /plan/0123456789abcdef HTTP/1.1\r\nHost: host\r\n'
_CHUNKED_START = b'%bTransfer-Encoding: chunked\r\n\r\n' % _START


@dataclasses.dataclass(frozen=True, slots=True)
class ClientGroup:
    """Clients that send the same bytes at the same time.

    :param make_bytes: returns what one client sends, without end.
    :param clients: number of connections.
    :param client_bytes: bytes that each client sends at most.
    """

    make_bytes: Callable[[], Iterable[bytes]]
    clients: int
    client_bytes: int


def _send_head() -> Iterator[bytes]:
    yield b'%bX-Long: ' % _START
    yield from itertools.repeat(b'a' * CHUNK_BYTES)


def _send_header_lines() -> Iterator[bytes]:
    yield _START
    yield from itertools.repeat(b'X-More: a\r\n' * 5000)


def _send_empty_lines() -> Iterator[bytes]:
    return itertools.repeat(b'\r\n' * (CHUNK_BYTES // 2))


def _send_trailers() -> Iterator[bytes]:
    yield b'%b2\r\n{}\r\n0\r\n' % _CHUNKED_START
    yield from itertools.repeat(b'X-More: a\r\n' * 5000)


def _send_requests() -> Iterator[bytes]:
    request = b'GET /plan/0123456789abcdef HTTP/1.1\r\nHost: host\r\n\r\n'
    return itertools.repeat(request * 1000)


def _send_path(path: bytes) -> Iterator[bytes]:
    request = b'GET %b HTTP/1.1\r\nHost: host\r\n\r\n' % path
    return itertools.repeat(request * 1000)


def _send_probes() -> Iterator[bytes]:
    return _send_path(b'/-/ready')


def _send_scrapes() -> Iterator[bytes]:
    return _send_path(b'/metrics')


def _send_own_scrapes() -> Iterator[bytes]:
    return _send_path(b'/-/metrics')


def _send_operations() -> Iterator[bytes]:
    return _send_path(b'/-/members')


def _send_body() -> Iterator[bytes]:
    yield _CHUNKED_START
    chunk = b'a' * CHUNK_BYTES
    yield from itertools.repeat(b'%x\r\n%b\r\n' % (len(chunk), chunk))


def _send_slow_head() -> Iterator[bytes]:
    yield _START


def _send_part_of_head() -> Iterator[bytes]:
    yield _START
    line = b'X-More: %b\r\n' % (b'a' * 1000)
    yield line * 30


def _send_large_head() -> Iterator[bytes]:
    yield b'%bContent-Length: 2\r\n' % _START
    line = b'X-More: %b\r\n' % (b'a' * 1000)
    yield b'%b\r\n' % (line * 30)


def _send_start_of_body() -> Iterator[bytes]:
    yield b'%bContent-Length: 250000\r\n\r\n{' % _START


def _send_part_of_body() -> Iterator[bytes]:
    yield b'%bContent-Length: 250000\r\n\r\n' % _START
    yield b'{"spec":"%b' % (b'a' * 200_000)


def _send_jobs(steps: int) -> Iterator[bytes]:
    step = b'{"count":1,"cpu":1000,"mem_mb":1}'
    body = b'{"spec":"","steps":[%b]}' % b','.join(
        itertools.repeat(step, steps)
    )
    request = b'%bContent-Length: %d\r\n\r\n%b' % (_START, len(body), body)
    return itertools.repeat(request)


def _send_refused_jobs() -> Iterator[bytes]:
    # More steps than a job may have.
    return _send_jobs(500)


def _send_large_refused_jobs() -> Iterator[bytes]:
    # A body of 165 kB, inside the limit.
    return _send_jobs(5000)


def _send_peer_message() -> Iterator[bytes]:
    # Start of a msgpack byte string of almost 4 MiB.
    yield struct.pack('>BI', 0xC6, 4_000_000)
    yield from itertools.repeat(b'a' * CHUNK_BYTES)


#: Groups of clients by what they send. A group sends 40 MB or less.
CLIENT_GROUPS = {
    'head': ClientGroup(_send_head, 8, 5_000_000),
    'header_lines': ClientGroup(_send_header_lines, 8, 5_000_000),
    'empty_lines': ClientGroup(_send_empty_lines, 8, 5_000_000),
    'trailers': ClientGroup(_send_trailers, 8, 5_000_000),
    'requests': ClientGroup(_send_requests, 8, 1_000_000),
    'probes': ClientGroup(_send_probes, 64, 400_000),
    'scrapes': ClientGroup(_send_scrapes, 64, 400_000),
    'own_scrapes': ClientGroup(_send_own_scrapes, 64, 400_000),
    'operations': ClientGroup(_send_operations, 64, 400_000),
    'body': ClientGroup(_send_body, 8, 5_000_000),
    'slow_heads': ClientGroup(_send_slow_head, 100, 1000),
    'parts_of_heads': ClientGroup(_send_part_of_head, 1000, 40_000),
    'connections': ClientGroup(_send_slow_head, 300, 1000),
    'slow_bodies': ClientGroup(_send_start_of_body, 200, 1000),
    'peer_message': ClientGroup(_send_peer_message, 12, 3_300_000),
    'unread_requests': ClientGroup(_send_requests, 700, 400_000),
    'large_heads': ClientGroup(_send_large_head, 700, 40_000),
    'large_refused_jobs': ClientGroup(_send_large_refused_jobs, 100, 2_000_000),
    'parts_of_bodies': ClientGroup(_send_part_of_body, 300, 210_000),
}

#: Groups that send at the same time.
MIXED_GROUPS = (
    ClientGroup(_send_requests, 175, 400_000),
    ClientGroup(_send_part_of_head, 175, 40_000),
    ClientGroup(_send_part_of_body, 175, 210_000),
    ClientGroup(_send_refused_jobs, 175, 400_000),
)


async def open_clients(
    group: ClientGroup, host: str, port: int
) -> list['Client']:
    """Let the clients of a group send, and keep their connections open.

    :param group: the clients to open.
    :param host: IP number of the listener.
    :param port: port of the listener.
    :returns: the clients, which the caller has to close.
    """
    clients = [Client() for _ in range(group.clients)]
    await asyncio.gather(
        *(client.send(group, host, port) for client in clients)
    )
    return clients


async def send_slowly(clients: list['Client']) -> None:
    """Send a byte over each connection a few times a second, until cancelled.

    :param clients: clients with an unfinished body.
    """
    while True:
        for client in clients:
            client.send_byte()
        await asyncio.sleep(SLOW_SECONDS)


class Client:
    """One connection that sends without reading answers."""

    def __init__(self) -> None:
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, group: ClientGroup, host: str, port: int) -> None:
        """Send until the end of the bytes, a refusal or a stop of progress."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(QUIET_SECONDS):
                # The limit keeps the answers unread.
                opened = await asyncio.open_connection(host, port, limit=1)
                self._writer = opened[1]
            await self._send_chunks(self._writer, group)

    def send_byte(self) -> None:
        """Send one byte."""
        if self._writer is not None and not self._writer.is_closing():
            self._writer.write(b'a')

    def close(self) -> None:
        """Close the connection at once."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def _send_chunks(
        self, writer: asyncio.StreamWriter, group: ClientGroup
    ) -> None:
        sent = 0
        for chunk in group.make_bytes():
            if sent >= group.client_bytes or writer.is_closing():
                return
            writer.write(chunk)
            sent += len(chunk)
            async with asyncio.timeout(QUIET_SECONDS):
                await writer.drain()
