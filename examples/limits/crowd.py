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

_START = b'POST /plan/0123456789abcdef HTTP/1.1\r\nHost: host\r\n'
_CHUNKED_START = b'%bTransfer-Encoding: chunked\r\n\r\n' % _START


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that send the same bytes at one time.

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


def _send_peer_message() -> Iterator[bytes]:
    # Start of a msgpack byte string of almost 4 MiB.
    yield struct.pack('>BI', 0xC6, 4_000_000)
    yield from itertools.repeat(b'a' * CHUNK_BYTES)


#: Crowds by what they send. A crowd sends 40 MB or less.
CROWDS = {
    'head': Crowd(_send_head, 8, 5_000_000),
    'header_lines': Crowd(_send_header_lines, 8, 5_000_000),
    'empty_lines': Crowd(_send_empty_lines, 8, 5_000_000),
    'trailers': Crowd(_send_trailers, 8, 5_000_000),
    'requests': Crowd(_send_requests, 8, 1_000_000),
    'body': Crowd(_send_body, 8, 5_000_000),
    'slow_heads': Crowd(_send_slow_head, 100, 1000),
    'parts_of_heads': Crowd(_send_part_of_head, 1000, 40_000),
    'connections': Crowd(_send_slow_head, 300, 1000),
    'peer_message': Crowd(_send_peer_message, 12, 3_300_000),
}


async def open_crowd(crowd: Crowd, host: str, port: int) -> list['Client']:
    """Let the clients of a crowd send, and keep their connections open.

    :param crowd: the crowd.
    :param host: IP number of the listener.
    :param port: port of the listener.
    :returns: the clients, which the caller has to close.
    """
    clients = [Client() for _ in range(crowd.clients)]
    await asyncio.gather(
        *(client.send(crowd, host, port) for client in clients)
    )
    return clients


class Client:
    """One connection that sends without reading answers."""

    def __init__(self) -> None:
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, crowd: Crowd, host: str, port: int) -> None:
        """Send until the end of the bytes, a refusal or a stop of progress."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(QUIET_SECONDS):
                # The limit keeps the answers unread.
                opened = await asyncio.open_connection(host, port, limit=1)
                self._writer = opened[1]
            await self._send_chunks(self._writer, crowd)

    def close(self) -> None:
        """Close the connection at once."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def _send_chunks(
        self, writer: asyncio.StreamWriter, crowd: Crowd
    ) -> None:
        sent = 0
        for chunk in crowd.make_bytes():
            if sent >= crowd.client_bytes or writer.is_closing():
                return
            writer.write(chunk)
            sent += len(chunk)
            async with asyncio.timeout(QUIET_SECONDS):
                await writer.drain()
