"""Connections between the leader and the other daemons."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Final

from result import Err, Ok, Result

from verbenapost.daemon.timers import read_clock
from verbenapost.scheduler.channels import (
    HEARTBEAT_SECONDS,
    Channel,
    RequestHandler,
)
from verbenapost.scheduler.election import Leadership
from verbenapost.scheduler.tasks import TaskSet
from verbenapost.transport.peers import (
    AcceptedStream,
    Identity,
    PeerLink,
    PeerStream,
)

#: Connections that may wait to be taken; all daemons dial a new leader at once.
BACKLOG: Final = 512

#: Seconds that the leader has for an answer before the entry helps itself.
ASK_TIMEOUT: Final = 0.5

#: Seconds for which a leader that did not answer is not asked again.
PAUSE_SECONDS: Final = 0.7

#: Seconds between two looks at who leads and at the connection to it.
POLL_SECONDS: Final = 0.1

#: Longest wait between two attempts to connect, in seconds; entries need the
#: leader for each submission.
RECONNECT_SECONDS: Final = 0.4


class PeerServer:
    """Takes the connections of the other daemons.

    :param identity: who this daemon is; its key is its own random text, which
        the others read in the leader's key of the store.
    :param answer: answers their requests.
    :param log: log of this part.
    """

    def __init__(
        self, identity: Identity, answer: RequestHandler, log: Any
    ) -> None:
        self._identity = identity
        self._answer = answer
        self._log = log
        self._channels: dict[AcceptedStream, Channel] = {}
        self._tasks = TaskSet()
        self._relays: Mapping[str, Channel] = {}
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen and begin to send heartbeats."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, backlog=BACKLOG
        )
        self._tasks.add(self._send_heartbeats())

    async def stop(self) -> None:
        """Close every connection."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._channels):
            stream.close()
        await self._tasks.close()

    def find_relays(self) -> Mapping[str, Channel]:
        """Return the daemons that carry calls, by name; the same object
        until they change.
        """
        return self._relays

    def _accept(self) -> AcceptedStream:
        def deliver(_peer: str, message: Any) -> None:
            channel.receive(message)

        stream = AcceptedStream(self._identity, deliver)
        channel = Channel(stream.send, self._answer, self._tasks)
        self._channels[stream] = channel
        stream.closed.add_done_callback(lambda _ended: self._drop(stream))
        return stream

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
    """Keeps a connection to whoever leads, and asks it.

    :param identity: who this daemon is.
    :param find_leader: returns who leads, or ``None``.
    :param find_local: returns the answerer of this daemon while it leads.
    :param answer: answers what the leader asks of this daemon.
    :param log: log of this part.
    """

    def __init__(
        self,
        identity: Identity,
        find_leader: Callable[[], Leadership | None],
        find_local: Callable[[], RequestHandler | None],
        answer: RequestHandler,
        log: Any,
    ) -> None:
        self.relays = True
        self._identity = identity
        self._find_leader = find_leader
        self._find_local = find_local
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
        """Begin to follow who leads."""
        self._tasks.add(self._run())

    def stop_relaying(self) -> None:
        """Ask the leader to send its calls by other daemons."""
        self.relays = False
        self._heartbeat_at = 0
        self._update()

    async def ask(self, message: Any) -> Result[Any, str]:
        """Return the leader's answer, or why there is none."""
        local = self._find_local()
        if local is not None:
            return Ok(local(message))
        channel = self._channel
        if channel is None:
            return Err('no connection to a leader')
        if read_clock() < self._paused_until:
            return Err('the leader was silent just now')
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
        if leader is not None and leader.incarnation == self._identity.start:
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
        mine = Identity(
            self._identity.name, self._identity.start, leader.incarnation
        )
        link = PeerLink(mine, (host, int(port)), RECONNECT_SECONDS)
        self._link = link
        self._connecting = self._tasks.add(link.run(self._deliver))

    def _disconnect(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
        self._link = None
        self._check_stream()

    def _check_stream(self) -> None:
        """Notice a new connection, a lost one and a silent one."""
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
