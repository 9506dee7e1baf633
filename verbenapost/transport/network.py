"""All connections between one daemon and its peers."""

import asyncio
from typing import Any

from verbenapost.transport.handshakes import Handshakes
from verbenapost.transport.listeners import open_listener
from verbenapost.transport.peers import (
    HANDSHAKE_BYTES,
    AcceptedStream,
    Deliver,
    Identity,
    PeerLink,
)


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
    :param handshakes: limit of the accepted streams before their handshake.
    """

    def __init__(
        self,
        identity: Identity,
        addresses: dict[str, tuple[str, int]],
        deliver: Deliver,
        handshakes: Handshakes,
    ) -> None:
        self._handshakes = handshakes
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
        opened = open_listener(host, port, HANDSHAKE_BYTES)
        self._server = await loop.create_server(self._accept, sock=opened)
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
        self._handshakes.add(stream)
        stream.closed.add_done_callback(
            lambda _ended: self._accepted.discard(stream),
        )
        return stream
