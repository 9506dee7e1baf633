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

#: Timeout of connecting and of the handshake, in seconds.
HANDSHAKE_TIMEOUT = 3.0

#: Shortest and longest delay between two connection attempts, in seconds,
#: before jitter, which at most doubles the delay.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0

#: Bytes that may wait to be sent to one peer; further messages to that peer
#: are dropped.
MAX_BACKLOG_BYTES = 8 * 1024 * 1024

Deliver = Callable[[str, Any], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """What a daemon proves to its peers in the handshake.

    :param name: name in the settings.
    :param incarnation: random text made at each start of the process.
    :param key: secret key that both sides must have.
    """

    name: str
    incarnation: str
    key: str = dataclasses.field(repr=False)


class PeerStream(asyncio.Protocol):
    """One connection between two daemons, accepted or dialled.

    :param identity: identity of this daemon.
    :param deliver: handler of the messages after the handshake; it gets the
        name of the peer and the message.
    :ivar peer: name of the peer, empty before the end of the handshake.
    :ivar peer_incarnation: incarnation of the peer, empty before the end of the
        handshake.
    :ivar ready: future of the peer's name; cancelled when the connection
        ends during the handshake.
    :ivar closed: future that is done when the connection has ended.
    """

    def __init__(self, identity: Identity, deliver: Deliver) -> None:
        self.peer = ''
        self.peer_incarnation = ''
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
        self._handshake_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the handshake."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._handshake_timer = loop.call_later(HANDSHAKE_TIMEOUT, self.abort)

    def data_received(self, chunk: bytes) -> None:
        """Unpack and deliver each complete message."""
        self.bytes_in += len(chunk)
        try:
            self._unpack(chunk)
        except (codec.CodecError, msgpack.UnpackException, ValueError):
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the futures that wait for the connection."""
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        if not self.ready.done():
            self.ready.cancel()
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

    def _handshake(self, message: Any) -> None:
        raise codec.CodecError('unexpected message before the handshake')

    def _accept(self, name: str, incarnation: str) -> None:
        self.peer = name
        self.peer_incarnation = incarnation
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        if not self.ready.done():
            self.ready.set_result(name)

    def _unpack(self, chunk: bytes) -> None:
        self._unpacker.feed(chunk)
        for unpacked in self._unpacker:
            message = codec.decode(unpacked)
            if self.peer:
                self._deliver(self.peer, message)
            else:
                self._handshake(message)

    def _flush(self) -> None:
        encoded = self._outbox
        if not encoded or self._transport is None:
            return
        self._outbox = []
        packed = b''.join(encoded)
        self.bytes_out += len(packed)
        self._transport.write(packed)


class AcceptedStream(PeerStream):
    """Accepted connection, on which this daemon sends the challenge."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the challenge."""
        super().connection_made(transport)
        self.send(Challenge(self._nonce))

    def _handshake(self, message: Any) -> None:
        if not isinstance(message, Hello):
            raise codec.CodecError('expected hello')
        own_identity = self._identity
        if not check_proof(
            message.proof,
            own_identity.key,
            self._nonce,
            message.name,
            message.incarnation,
        ):
            raise codec.CodecError('wrong proof')
        proof = make_proof(
            own_identity.key,
            message.nonce,
            own_identity.name,
            own_identity.incarnation,
        )
        self.send(Welcome(own_identity.name, own_identity.incarnation, proof))
        self._accept(message.name, message.incarnation)


class DialledStream(PeerStream):
    """Dialled connection, on which this daemon answers the challenge."""

    def _handshake(self, message: Any) -> None:
        own_identity = self._identity
        if isinstance(message, Challenge):
            proof = make_proof(
                own_identity.key,
                message.nonce,
                own_identity.name,
                own_identity.incarnation,
            )
            self.send(
                Hello(
                    own_identity.name,
                    own_identity.incarnation,
                    self._nonce,
                    proof,
                )
            )
            return
        if not isinstance(message, Welcome):
            raise codec.CodecError('expected welcome')
        if not check_proof(
            message.proof,
            own_identity.key,
            self._nonce,
            message.name,
            message.incarnation,
        ):
            raise codec.CodecError('wrong proof')
        self._accept(message.name, message.incarnation)


class PeerLink:
    """Maintains one connection to one peer.

    :param identity: identity of this daemon.
    :param address: IP address and port of the peer.
    :param max_delay: longest delay between two connection attempts in
        seconds, before jitter.
    :ivar stream: current connection, or ``None``.
    """

    def __init__(
        self,
        identity: Identity,
        address: tuple[str, int],
        max_delay: float = MAX_RETRY_SECONDS,
    ) -> None:
        self.address = address
        self.stream: PeerStream | None = None
        self._identity = identity
        self._max_delay = max_delay
        self._closed_bytes_out = 0
        self._random = random.Random(identity.incarnation)  # noqa: S311

    @property
    def connected(self) -> bool:
        """Whether messages can be sent now."""
        return self.stream is not None

    @property
    def bytes_out(self) -> int:
        """Bytes written to the peer over all connections of this link."""
        current = 0 if self.stream is None else self.stream.bytes_out
        return self._closed_bytes_out + current

    def send(self, message: Any) -> bool:
        """Queue a message and return whether it was queued."""
        return self.stream is not None and self.stream.send(message)

    async def run(self, on_message: Deliver) -> None:
        """Connect, and reconnect after each loss, until cancelled.

        :param on_message: handler of the peer's messages.
        """
        delay = MIN_RETRY_SECONDS
        while True:
            if await self._connect_once(on_message):
                delay = MIN_RETRY_SECONDS
            await asyncio.sleep(delay * (1 + self._random.random()))
            delay = min(self._max_delay, delay * 2)

    async def _connect_once(self, on_message: Deliver) -> bool:
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
            # A failed handshake cancels ``stream.ready`` and not this task.
            if stream.closed.done():
                return False
            raise
        return await self._wait_closed(stream)

    async def _wait_closed(self, stream: PeerStream) -> bool:
        self.stream = stream
        try:
            await stream.closed
        finally:
            self.stream = None
            self._closed_bytes_out += stream.bytes_out
            stream.close()
        return True


class PeerNetwork:
    """All connections between one daemon and its peers.

    Explanation
    ===========

    Messages to a peer are sent over the connection that this daemon dialled;
    the peer answers over the connection that the peer dialled. Messages are
    lost when a connection breaks, and the protocols that use the network
    tolerate this. Messages to this daemon itself are delivered in the next
    iteration of the event loop.

    :param identity: identity of this daemon.
    :param addresses: IP address and port of each known peer, by name.
    :param deliver: handler of the messages; it gets the name of the sender
        and the message.
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
        """Names of the peers to which messages can be sent now."""
        links = self._links.items()
        return frozenset(name for name, link in links if link.connected)

    @property
    def bytes_out(self) -> int:
        """Bytes written to all current peers."""
        return sum(link.bytes_out for link in self._links.values())

    async def start(self, host: str, port: int) -> None:
        """Start to listen, and dial each known peer."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)
        for name, address in self._addresses.items():
            self.add_peer(name, address)

    def add_peer(self, name: str, address: tuple[str, int]) -> None:
        """Dial a peer; a known peer with a new address is dialled again."""
        existing = self._links.get(name)
        if name == self._identity.name:
            return
        if existing is not None and existing.address == address:
            return
        self.remove_peer(name)
        link = PeerLink(self._identity, address)
        self._links[name] = link
        self._tasks[name] = asyncio.create_task(link.run(self._deliver))

    def remove_peer(self, name: str) -> None:
        """Disconnect from a peer and stop dialling that peer."""
        self._links.pop(name, None)
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    def send(self, name: str, message: Any) -> bool:
        """Send a message to a peer or to this daemon itself.

        :returns: whether the message was queued.
        """
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
            self.remove_peer(name)
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
