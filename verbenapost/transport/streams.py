"""Streams of msgpack messages over one connection."""

import abc
import asyncio
from typing import Any

import msgpack

from verbenapost.protocol import codec

#: Bytes that may wait to be sent over one connection; further messages are
#: dropped.
MAX_BACKLOG_BYTES = 8 * 1024 * 1024


class MessageStream(asyncio.Protocol, abc.ABC):
    """One connection that carries messages in both directions.

    Messages that are queued in one iteration of the event loop are written
    together.

    :ivar closed: future that is done when the connection has ended.
    :ivar bytes_out: bytes written to the connection.
    """

    def __init__(self) -> None:
        self.closed = asyncio.get_running_loop().create_future()
        self.bytes_out = 0
        self._unpacker = codec.make_unpacker()
        self._transport: asyncio.Transport | None = None
        self._outbox: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection for the messages to come."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport

    def data_received(self, chunk: bytes) -> None:
        """Unpack and handle each complete message."""
        try:
            self._unpack(chunk)
        except (codec.CodecError, msgpack.UnpackException, ValueError):
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the future that waits for the end of the connection."""
        if not self.closed.done():
            self.closed.set_result(exc)

    def send(self, message: Any) -> bool:
        """Queue a message.

        :returns: whether it was queued; ``False`` without an open connection
            or with a full backlog.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            return False
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outbox.append(codec.encode(message))
        return True

    def close(self) -> None:
        """Close the connection once all queued messages are written."""
        if self._transport is not None and not self._transport.is_closing():
            self._flush()
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once; unwritten messages are lost."""
        if self._transport is not None:
            self._transport.abort()

    @abc.abstractmethod
    def _receive(self, message: Any) -> None:
        """Handle a message of the other side."""

    def _unpack(self, chunk: bytes) -> None:
        self._unpacker.feed(chunk)
        for unpacked in self._unpacker:
            self._receive(codec.decode(unpacked))

    def _flush(self) -> None:
        encoded = self._outbox
        if not encoded or self._transport is None:
            return
        self._outbox = []
        packed = b''.join(encoded)
        self.bytes_out += len(packed)
        self._transport.write(packed)
