"""Servers whose answers exceed the limits, each in one way."""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Final, final

from examples.ports import LOOPBACK

#: Bytes that a server sends over one connection at most, and over all.
CONNECTION_BYTES: Final = 16_000_000
TOTAL_BYTES: Final = 48_000_000

#: Seconds between the first part of what a server sends and the rest.
PAUSE_SECONDS: Final = 0.2

_ANSWER: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
_CHUNKED: Final = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


def _send_unsolicited() -> Iterator[bytes]:
    yield _ANSWER
    yield from itertools.repeat(_ANSWER * 1000)


def _send_informational() -> Iterator[bytes]:
    return itertools.repeat(b'HTTP/1.1 100 Continue\r\n\r\n' * 1000)


def _send_head() -> Iterator[bytes]:
    yield b'HTTP/1.1 200 OK\r\nX-Long: '
    yield from itertools.repeat(b'a' * 65_536)


def _send_header_lines() -> Iterator[bytes]:
    yield b'HTTP/1.1 200 OK\r\n'
    yield from itertools.repeat(b'X-More: a\r\n' * 5000)


def _send_body() -> Iterator[bytes]:
    yield _CHUNKED
    chunk = b'a' * 65_536
    yield from itertools.repeat(b'%x\r\n%b\r\n' % (len(chunk), chunk))


def _send_trailers() -> Iterator[bytes]:
    yield b'%b2\r\n{}\r\n0\r\n' % _CHUNKED
    yield from itertools.repeat(b'X-More: a\r\n' * 5000)


def _send_values() -> Iterator[bytes]:
    # Each value takes three bytes here and twenty times as many once decoded.
    values = b','.join(itertools.repeat(b'[]', 5_000_000))
    body = b'{"items":[%b]}' % values
    yield b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    yield body


#: What a server sends for each request, by kind.
ANSWERS: Final[dict[str, Callable[[], Iterable[bytes]]]] = {
    'unsolicited': _send_unsolicited,
    'informational': _send_informational,
    'head': _send_head,
    'header_lines': _send_header_lines,
    'body': _send_body,
    'trailers': _send_trailers,
    'values': _send_values,
}


@final
@dataclasses.dataclass(slots=True)
class EndlessServer:
    """Server that sends one kind of answer for each request.

    :param kind: kind of answer, see :data:`ANSWERS`.
    :ivar sent_bytes: bytes that it has sent over all connections.
    :ivar requests: requests that it was sent.
    """

    kind: str
    sent_bytes: int = 0
    requests: int = 0
    _server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> str:
        """Listen, and return the address as ``IP:port``."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        bound = self._server.sockets[0].getsockname()[1]
        return f'{LOOPBACK}:{bound}'

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            await self._send(writer)
            # The connection stays open until the other side closes it.
            await reader.read()
        writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        sent = 0
        for chunk in ANSWERS[self.kind]():
            if sent >= CONNECTION_BYTES or self.sent_bytes >= TOTAL_BYTES:
                return
            writer.write(chunk)
            if not sent:
                # An answer that is complete by now leaves an idle connection.
                await asyncio.sleep(PAUSE_SECONDS)
            sent += len(chunk)
            self.sent_bytes += len(chunk)
            await writer.drain()
