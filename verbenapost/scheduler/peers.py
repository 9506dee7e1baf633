"""Connections between the leader and the other daemons."""

import asyncio
import functools
from collections.abc import Callable, Mapping
from typing import Any, Final

from result import Err, Ok, Result

from verbenapost.daemon.timers import read_clock
from verbenapost.scheduler.channels import (
    HEARTBEAT_SECONDS,
    Channel,
    RequestHandler,
)
from verbenapost.scheduler.leadership import Leadership
from verbenapost.scheduler.tasks import TaskSet
from verbenapost.transport.handshakes import Handshakes
from verbenapost.transport.listeners import open_listener
from verbenapost.transport.peers import (
    HANDSHAKE_BYTES,
    AcceptedStream,
    Identity,
    PeerLink,
    PeerStream,
)

#: Connections that may wait to be accepted; all daemons connect to a new leader
#: at once.
BACKLOG: Final = 512

#: Seconds to wait for the leader before the entry goes on without its answer.
ASK_TIMEOUT: Final = 0.5

#: Seconds for which no request is sent to a leader that did not answer.
PAUSE_SECONDS: Final = 0.7

#: Seconds between two checks of the leader and of the connection to it.
POLL_SECONDS: Final = 0.1

#: Longest wait between two connection attempts, in seconds; short, since each
#: submission needs the leader.
RECONNECT_SECONDS: Final = 0.4


class PeerServer:
    """Accepts the connections of the other daemons.

    :param identity: identity of this daemon. Its key is the incarnation,
        which the other daemons read in the leader key of the store.
    :param answer: handler of the other daemons' requests.
    :param note_process: called with the name and the incarnation of each
        daemon that connects.
    :param handshakes: limit of the streams before their handshake.
    :param log: logger.
    """

    def __init__(
        self,
        identity: Identity,
        answer: RequestHandler,
        note_process: Callable[[str, str], None],
        handshakes: Handshakes,
        log: Any,
    ) -> None:
        self._handshakes = handshakes
        self._identity = identity
        self._answer = answer
        self._note_process = note_process
        self._log = log
        self._channels: dict[AcceptedStream, Channel] = {}
        self._tasks = TaskSet()
        self._relays: Mapping[str, Channel] = {}
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start to listen and to send heartbeats."""
        loop = asyncio.get_running_loop()
        opened = open_listener(host, port, HANDSHAKE_BYTES)
        self._server = await loop.create_server(
            self._accept, sock=opened, backlog=BACKLOG
        )
        self._tasks.keep(self._send_heartbeats)

    async def stop(self) -> None:
        """Close every connection."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._channels):
            stream.close()
        await self._tasks.close()

    def find_relays(self) -> Mapping[str, Channel]:
        """Return the channels of the daemons that relay calls, by name.

        The mapping is the same object until its contents change.
        """
        return self._relays

    def _accept(self) -> AcceptedStream:
        def deliver(_peer: str, message: Any) -> None:
            channel.receive(message)

        stream = AcceptedStream(self._identity, deliver)
        channel = Channel(stream.send, self._answer, self._tasks)
        self._channels[stream] = channel
        self._handshakes.add(stream)
        stream.closed.add_done_callback(lambda _ended: self._drop(stream))
        stream.ready.add_done_callback(lambda _ready: self._note(stream))
        return stream

    def _note(self, stream: AcceptedStream) -> None:
        if stream.peer:
            self._note_process(stream.peer, stream.peer_incarnation)

    def _drop(self, stream: AcceptedStream) -> None:
        channel = self._channels.pop(stream, None)
        if channel is not None:
            channel.close()
        self._update_relays()
        if stream.peer:
            self._log.info('daemon disconnected', daemon=stream.peer)

    def _update_relays(self) -> None:
        found = {
            stream.peer: channel
            for stream, channel in self._channels.items()
            if channel.relays and not channel.silent
        }
        if found != self._relays:
            self._relays = found

    async def _send_heartbeats(self) -> None:
        while True:
            self._update_relays()
            for stream, channel in list(self._channels.items()):
                if channel.silent:
                    stream.abort()
                elif stream.peer:
                    channel.send_heartbeat(relays=False)
            await asyncio.sleep(HEARTBEAT_SECONDS)


class LeaderClient:
    """Maintains a connection to the current leader and sends it requests.

    :param identity: identity of this daemon.
    :param find_leader: returns the current leadership, or ``None``.
    :param find_local_handler: returns this daemon's request handler while it
        leads.
    :param answer: handler of the leader's requests.
    :param log: logger.
    :ivar relays: whether this daemon relays calls for the leader.
    """

    def __init__(
        self,
        identity: Identity,
        find_leader: Callable[[], Leadership | None],
        find_local_handler: Callable[[], RequestHandler | None],
        answer: RequestHandler,
        log: Any,
    ) -> None:
        self.relays = True
        self._identity = identity
        self._find_leader = find_leader
        self._find_local = find_local_handler
        self._answer = answer
        self._log = log
        self._leader: Leadership | None = None
        self._link: PeerLink | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._stream: PeerStream | None = None
        self._channel: Channel | None = None
        self._tasks = TaskSet()
        self._paused_until: float = 0
        self._heartbeat_at: float = 0

    def start(self) -> None:
        """Start to follow the leadership."""
        self._tasks.keep(self._run)

    def stop_relaying(self) -> None:
        """Tell the leader to relay its calls through other daemons."""
        self.relays = False
        self._heartbeat_at = 0
        self._update()

    async def ask(self, message: Any) -> Result[Any, str]:
        """Return the leader's answer, or the reason why there is none.

        :param message: the request.
        """
        local = self._find_local()
        if local is not None:
            return Ok(local(message))
        channel = self._channel
        if channel is None:
            return Err('no connection to a leader')
        if read_clock() < self._paused_until:
            return Err('the leader did not answer recently')
        answer = await channel.ask(message, ASK_TIMEOUT)
        if isinstance(answer, Err):
            self._note_unanswered(answer.err_value.detail)
            return Err(answer.err_value.detail)
        return Ok(answer.ok_value)

    async def close(self) -> None:
        """Close the connection."""
        self._disconnect()
        await self._tasks.close()

    async def _run(self) -> None:
        while True:
            self._update()
            await asyncio.sleep(POLL_SECONDS)

    def _update(self) -> None:
        leader = self._find_leader()
        if (
            leader is not None
            and leader.incarnation == self._identity.incarnation
        ):
            leader = None
        if leader != self._leader:
            self._leader = leader
            self._disconnect()
            if leader is not None:
                self._connect(leader)
        self._check_stream()
        self._send_heartbeat()

    def _connect(self, leader: Leadership) -> None:
        host, _, port = leader.address.rpartition(':')
        link_identity = Identity(
            self._identity.name, self._identity.incarnation, leader.incarnation
        )
        link = PeerLink(link_identity, (host, int(port)), RECONNECT_SECONDS)
        self._link = link
        self._connecting = self._tasks.keep(
            functools.partial(link.run, self._deliver)
        )

    def _disconnect(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
        self._link = None
        self._check_stream()

    def _check_stream(self) -> None:
        """Handle a new, a lost or a silent connection."""
        stream = None if self._link is None else self._link.stream
        if stream is not self._stream:
            self._stream = stream
            self._change_channel(stream)
        if stream is not None and self._channel and self._channel.silent:
            self._log.warning('leader silent', leader=stream.peer)
            stream.abort()

    def _change_channel(self, stream: PeerStream | None) -> None:
        if self._channel is not None:
            self._channel.close()
        self._channel = None
        if stream is not None:
            self._channel = Channel(stream.send, self._answer, self._tasks)
            self._paused_until = 0
            self._heartbeat_at = 0
            self._log.info('leader connected', leader=stream.peer)

    def _send_heartbeat(self) -> None:
        now = read_clock()
        if (
            self._channel is not None
            and now - self._heartbeat_at >= HEARTBEAT_SECONDS
        ):
            self._heartbeat_at = now
            self._channel.send_heartbeat(relays=self.relays)

    def _deliver(self, _peer: str, message: Any) -> None:
        self._check_stream()
        if self._channel is not None:
            self._channel.receive(message)

    def _note_unanswered(self, detail: str) -> None:
        self._paused_until = read_clock() + PAUSE_SECONDS
        self._log.warning('leader has not answered', detail=detail)
