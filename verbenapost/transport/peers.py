"""Authenticated msgpack streams between daemons."""

import asyncio
import dataclasses
import random
import secrets
from collections.abc import Callable
from typing import Any

import msgpack

from verbenapost.protocol import codec
from verbenapost.protocol.handshake import (
    NONCE_BYTES,
    Challenge,
    Hello,
    Welcome,
    check_proof,
    make_proof,
)

#: Seconds that a peer has for the handshake.
HANDSHAKE_TIMEOUT = 3.0

#: Shortest and longest wait between two attempts to connect, in seconds.
RETRY_MIN = 0.1
RETRY_MAX = 2.0

#: Bytes that may wait for one peer before messages to it are dropped.
MAX_BACKLOG_BYTES = 8 * 1024 * 1024

Deliver = Callable[[str, Any], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this daemon is to its peers.

    :param name: name in the settings.
    :param start: random text made at each start of the process.
    :param key: key that all daemons share.
    """

    name: str
    start: str
    key: str = dataclasses.field(repr=False)


class PeerStream(asyncio.Protocol):
    """One connection between two daemons, in either direction."""

    def __init__(self, identity: Identity, deliver: Deliver) -> None:
        self.peer = ''
        self.peer_identity = ''
        self.closed = asyncio.get_running_loop().create_future()
        self.ready = asyncio.get_running_loop().create_future()
        self.bytes_in = 0
        self.bytes_out = 0
        self._identity = identity
        self._deliver = deliver
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._unpacker = codec.make_unpacker()
        self._transport: asyncio.Transport | None = None
        self._outbox: list[bytes] = []
        self._deadline: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake clock."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._deadline = loop.call_later(HANDSHAKE_TIMEOUT, self.abort)

    def data_received(self, chunk: bytes) -> None:
        """Unpack and deliver each whole message."""
        self.bytes_in += len(chunk)
        try:
            self._unpack(chunk)
        except (codec.CodecError, msgpack.UnpackException, ValueError):
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner that the stream has ended."""
        if self._deadline is not None:
            self._deadline.cancel()
        if not self.ready.done():
            self.ready.cancel()
        if not self.closed.done():
            self.closed.set_result(exc)

    def send(self, message: Any) -> bool:
        """Queue a message; ``False`` when the peer can not take it now."""
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
        """Close after what was queued has been written."""
        if self._transport is not None and not self._transport.is_closing():
            self._flush()
            self._transport.close()

    def abort(self) -> None:
        """Close at once; what is not written is lost."""
        if self._transport is not None:
            self._transport.abort()

    def _handshake(self, message: Any) -> None:
        raise codec.CodecError('no message may come here')

    def _accept(self, name: str, identity: str) -> None:
        self.peer = name
        self.peer_identity = identity
        if self._deadline is not None:
            self._deadline.cancel()
        if not self.ready.done():
            self.ready.set_result(name)

    def _unpack(self, chunk: bytes) -> None:
        self._unpacker.feed(chunk)
        for row in self._unpacker:
            message = codec.decode(row)
            if self.peer:
                self._deliver(self.peer, message)
            else:
                self._handshake(message)

    def _flush(self) -> None:
        rows = self._outbox
        if not rows or self._transport is None:
            return
        self._outbox = []
        packed = b''.join(rows)
        self.bytes_out += len(packed)
        self._transport.write(packed)


class AcceptedStream(PeerStream):
    """The accepting side: challenges first."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the challenge."""
        super().connection_made(transport)
        self.send(Challenge(self._nonce))

    def _handshake(self, message: Any) -> None:
        if not isinstance(message, Hello):
            raise codec.CodecError('expected hello')
        mine = self._identity
        if not check_proof(
            message.proof,
            mine.key,
            self._nonce,
            message.name,
            message.identity,
        ):
            raise codec.CodecError('wrong proof')
        proof = make_proof(mine.key, message.nonce, mine.name, mine.start)
        self.send(Welcome(mine.name, mine.start, proof))
        self._accept(message.name, message.identity)


class DialledStream(PeerStream):
    """The connecting side: answers the challenge."""

    def _handshake(self, message: Any) -> None:
        mine = self._identity
        if isinstance(message, Challenge):
            proof = make_proof(mine.key, message.nonce, mine.name, mine.start)
            self.send(Hello(mine.name, mine.start, self._nonce, proof))
            return
        if not isinstance(message, Welcome):
            raise codec.CodecError('expected welcome')
        if not check_proof(
            message.proof,
            mine.key,
            self._nonce,
            message.name,
            message.identity,
        ):
            raise codec.CodecError('wrong proof')
        self._accept(message.name, message.identity)


class PeerLink:
    """Task that keeps one connection to one peer.

    :param identity: who this daemon is.
    :param address: IP number and port of the peer.
    :param longest_pause: longest wait between two attempts in seconds.
    """

    def __init__(
        self,
        identity: Identity,
        address: tuple[str, int],
        longest_pause: float = RETRY_MAX,
    ) -> None:
        self.address = address
        self.stream: PeerStream | None = None
        self._identity = identity
        self._longest_pause = longest_pause
        self._bytes_before = 0
        self._random = random.Random(identity.start)  # noqa: S311

    @property
    def connected(self) -> bool:
        """Whether messages can be sent now."""
        return self.stream is not None

    @property
    def bytes_out(self) -> int:
        """Bytes written to the peer since the start."""
        now = 0 if self.stream is None else self.stream.bytes_out
        return self._bytes_before + now

    def send(self, message: Any) -> bool:
        """Send a message; ``False`` when there is no connection."""
        return self.stream is not None and self.stream.send(message)

    async def run(self, on_message: Deliver) -> None:
        """Connect again and again until cancelled."""
        pause = RETRY_MIN
        while True:
            if await self._serve_once(on_message):
                pause = RETRY_MIN
            await asyncio.sleep(pause * (1 + self._random.random()))
            pause = min(self._longest_pause, pause * 2)

    async def _serve_once(self, on_message: Deliver) -> bool:
        stream = DialledStream(self._identity, on_message)
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(
                loop.create_connection(lambda: stream, *self.address),
                HANDSHAKE_TIMEOUT,
            )
            await stream.ready
        except (OSError, TimeoutError):
            return False
        except asyncio.CancelledError:
            stream.close()
            # A failed handshake cancels the future and not this task.
            if stream.closed.done():
                return False
            raise
        return await self._hold(stream)

    async def _hold(self, stream: PeerStream) -> bool:
        self.stream = stream
        try:
            await stream.closed
        finally:
            self.stream = None
            self._bytes_before += stream.bytes_out
            stream.close()
        return True


class PeerNetwork:
    """All peer streams of one daemon.

    Explanation
    ===========

    Messages to a peer go over the connection that this daemon dialled; the
    peer answers over its own. A message is lost when a connection breaks,
    and the protocols above allow for that. Messages to this daemon itself
    are delivered in the next iteration of the event loop.
    """

    def __init__(
        self,
        identity: Identity,
        addresses: dict[str, tuple[str, int]],
        deliver: Deliver,
    ) -> None:
        self._identity = identity
        self._deliver = deliver
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._accepted: set[AcceptedStream] = set()
        self._server: asyncio.Server | None = None
        self._addresses = dict(addresses)

    @property
    def connected(self) -> frozenset[str]:
        """Names of the peers that can be sent to."""
        links = self._links.items()
        return frozenset(name for name, link in links if link.connected)

    @property
    def bytes_out(self) -> int:
        """Bytes written on all dialled connections."""
        return sum(link.bytes_out for link in self._links.values())

    async def start(self, host: str, port: int) -> None:
        """Listen, and dial each known peer."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)
        for name, address in self._addresses.items():
            self.add_peer(name, address)

    def add_peer(self, name: str, address: tuple[str, int]) -> None:
        """Dial a peer; a known peer with a new address is dialled again."""
        known = self._links.get(name)
        if name == self._identity.name:
            return
        if known is not None and known.address == address:
            return
        self.drop_peer(name)
        link = PeerLink(self._identity, address)
        self._links[name] = link
        self._tasks[name] = asyncio.create_task(link.run(self._deliver))

    def drop_peer(self, name: str) -> None:
        """Stop dialling a peer."""
        self._links.pop(name, None)
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    def send(self, name: str, message: Any) -> bool:
        """Send to a peer or to this daemon; ``False`` when it can't be."""
        if name == self._identity.name:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, name, message)
            return True
        link = self._links.get(name)
        return link is not None and link.send(message)

    async def stop(self) -> None:
        """Close every connection."""
        if self._server is not None:
            self._server.close()
        for name in list(self._tasks):
            self.drop_peer(name)
        for stream in list(self._accepted):
            stream.close()
        await asyncio.sleep(0)

    def _accept(self) -> AcceptedStream:
        stream = AcceptedStream(self._identity, self._deliver)
        self._accepted.add(stream)
        stream.closed.add_done_callback(
            lambda _ended: self._accepted.discard(stream),
        )
        return stream
