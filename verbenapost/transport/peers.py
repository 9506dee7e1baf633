"""Authenticated connections between two daemons, accepted and dialled."""

import asyncio
import dataclasses
import random
import secrets
from collections.abc import Callable
from typing import Any

from verbenapost.protocol import codec
from verbenapost.protocol.handshake import (
    NONCE_BYTES,
    Challenge,
    Hello,
    Welcome,
    check_proof,
    make_proof,
)
from verbenapost.transport.listeners import set_receive_buffer
from verbenapost.transport.streams import MessageStream

#: Timeout of connecting and of the handshake, in seconds.
HANDSHAKE_TIMEOUT = 3.0

#: Bytes of a peer's messages before the end of the handshake; they are a few
#: hundred.
HANDSHAKE_BYTES = 4_096

#: Size of the receive buffer of a stream whose peer has proved its name, in
#: bytes. Before that, a stream has one of :data:`HANDSHAKE_BYTES`.
RECEIVE_BYTES = 131_072

#: Shortest and longest delay between two connection attempts, in seconds,
#: before jitter, which at most doubles the delay.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0

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


class PeerStream(MessageStream):
    """One connection between two daemons, accepted or dialled.

    :param identity: identity of this daemon.
    :param deliver: handler of the messages after the handshake; it gets the
        name of the peer and the message.
    :ivar peer: name of the peer, empty before the end of the handshake.
    :ivar peer_incarnation: incarnation of the peer, empty before the end of the
        handshake.
    :ivar ready: future of the peer's name; cancelled when the connection
        ends during the handshake.
    """

    def __init__(self, identity: Identity, deliver: Deliver) -> None:
        super().__init__()
        self.peer = ''
        self.peer_incarnation = ''
        self.ready = asyncio.get_running_loop().create_future()
        self._identity = identity
        self._deliver = deliver
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._handshake_timer: asyncio.TimerHandle | None = None
        self._handshake_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the handshake."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._handshake_timer = loop.call_later(HANDSHAKE_TIMEOUT, self.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the futures that wait for the connection."""
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        if not self.ready.done():
            self.ready.cancel()
        super().connection_lost(exc)

    def _receive(self, message: Any) -> None:
        if self.peer:
            self._deliver(self.peer, message)
        else:
            self._handshake(message)

    def _handshake(self, message: Any) -> None:
        raise codec.CodecError('unexpected message before the handshake')

    def _prove(self, nonce: bytes) -> bytes:
        """Return this daemon's proof for the challenge of the peer."""
        own_identity = self._identity
        return make_proof(
            own_identity.key,
            nonce,
            own_identity.name,
            own_identity.incarnation,
        )

    def _check(self, answer: Hello | Welcome) -> None:
        """Refuse a peer whose proof does not fit this daemon's challenge."""
        if not check_proof(
            answer.proof,
            self._identity.key,
            self._nonce,
            answer.name,
            answer.incarnation,
        ):
            raise codec.CodecError('wrong proof')

    def _accept(self, name: str, incarnation: str) -> None:
        self.peer = name
        self.peer_incarnation = incarnation
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        if not self.ready.done():
            self.ready.set_result(name)


class AcceptedStream(PeerStream):
    """Accepted connection, on which this daemon sends the challenge.

    :ivar client: IP number of the other side.
    """

    def __init__(self, identity: Identity, deliver: Deliver) -> None:
        super().__init__(identity, deliver)
        self.client = ''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the challenge."""
        super().connection_made(transport)
        address = transport.get_extra_info('peername')
        self.client = address[0] if address else ''
        self.send(Challenge(self._nonce))

    def data_received(self, chunk: bytes) -> None:
        """Refuse a peer that sends much before it has proved its name."""
        if not self.peer:
            self._handshake_bytes += len(chunk)
            if self._handshake_bytes > HANDSHAKE_BYTES:
                self.abort()
                return
        super().data_received(chunk)

    def _handshake(self, message: Any) -> None:
        if not isinstance(message, Hello):
            raise codec.CodecError('expected hello')
        self._check(message)
        own_identity = self._identity
        self.send(
            Welcome(
                own_identity.name,
                own_identity.incarnation,
                self._prove(message.nonce),
            )
        )
        self._accept(message.name, message.incarnation)
        self._raise_receive_buffer()

    def _raise_receive_buffer(self) -> None:
        if self._transport is None:
            return
        opened = self._transport.get_extra_info('socket')
        if opened is not None:
            set_receive_buffer(opened, RECEIVE_BYTES)


class DialledStream(PeerStream):
    """Dialled connection, on which this daemon answers the challenge."""

    def _handshake(self, message: Any) -> None:
        if isinstance(message, Challenge):
            own_identity = self._identity
            self.send(
                Hello(
                    own_identity.name,
                    own_identity.incarnation,
                    self._nonce,
                    self._prove(message.nonce),
                )
            )
            return
        if not isinstance(message, Welcome):
            raise codec.CodecError('expected welcome')
        self._check(message)
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
