"""Limits on what the clients of a listener make a daemon hold in memory."""

import asyncio
import dataclasses
import resource
from typing import Final, Protocol, final

from verbenapost.transport.connectionlimits import ConnectionLimits
from verbenapost.transport.refusals import Refusals

#: Seconds between two checks for connections without progress.
SWEEP_SECONDS: Final = 1.0

#: Share of the descriptors of the process that clients' connections may take.
#: The rest is for the connections to workers, to the store and to peers.
DESCRIPTOR_SHARE: Final = 0.5

#: Descriptors that are counted on when there is no limit.
MAX_DESCRIPTORS: Final = 65_536

#: Descriptors for each connection that one listener accepts in one iteration
#: of the event loop. A refused connection is closed some iterations later, so
#: that more would use up the descriptors.
ACCEPT_DESCRIPTORS: Final = 64

#: Most connections when the limit is derived from the descriptors.
MAX_DERIVED_CONNECTIONS: Final = 4096

#: Seconds that a connection is idle at least before it is closed in favour of
#: a new one.
MIN_IDLE_SECONDS: Final = 1.0


class GuardedConnection(Protocol):
    """Connection that the guard may close.

    :ivar held_bytes: bytes that the connection keeps in memory.
    """

    held_bytes: int

    def measure_unread(self) -> int:
        """Return the bytes of responses that the client has not read."""

    def close_unread(self) -> None:
        """Close the connection and drop what the client has not read."""

    def check_progress(self, now: float) -> None:
        """Close the connection if it has exceeded a time limit."""

    def measure_idle(self, now: float) -> float | None:
        """Return the seconds since the last request, ``None`` while it runs."""

    def close_idle(self) -> None:
        """Close the connection in favour of a new one."""

    def release_memory(self) -> None:
        """Refuse the connection and release what it holds."""


@final
@dataclasses.dataclass(slots=True)
class Guard:
    """Limits, connections and refusals of one listener.

    :param listener: name of the listener in logs and metrics.
    :param limits: limits of its connections.
    :param refusals: counts of refused connections, shared by all listeners.
    :ivar held_bytes: bytes of heads and waiting requests.
    :ivar connections: open connections.
    :ivar max_connections: limit of the open connections.
    :ivar max_held_bytes: limit of the held bytes.
    """

    listener: str
    limits: ConnectionLimits
    refusals: Refusals
    held_bytes: int = 0
    connections: set[GuardedConnection] = dataclasses.field(default_factory=set)
    max_connections: int = dataclasses.field(init=False)
    max_held_bytes: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Derive the limits that are not set."""
        derived = count_connections(self.limits.descriptors)
        self.max_connections = self.limits.connections or derived
        # Each client within the platform's limits may be sending its head.
        heads = self.max_connections * self.limits.header_line_bytes
        self.max_held_bytes = self.limits.held_bytes or heads

    @property
    def accepted_at_once(self) -> int:
        """Connections that the listener accepts before it closes others."""
        allowed = count_descriptors(self.limits.descriptors)
        return max(1, allowed // ACCEPT_DESCRIPTORS)

    def admit(self, connection: GuardedConnection, now: float) -> bool:
        """Add a connection if there is room for it.

        The connection that has been idle for longest is closed if the limit
        is reached.

        :param connection: the new connection.
        :param now: monotonic seconds.
        :returns: whether the connection was added.
        """
        if len(self.connections) >= self.max_connections:
            self._close_idle(now)
        if len(self.connections) >= self.max_connections:
            return False
        self.connections.add(connection)
        return True

    def hold(self, change: int) -> None:
        """Count bytes that a connection holds.

        Above the limit the connection that holds most is refused, so that
        clients with short heads are still served.

        :param change: bytes; negative when they are released.
        """
        self.held_bytes += change
        if change > 0 and self.held_bytes > self.max_held_bytes:
            largest = max(self.connections, key=_read_held)
            largest.release_memory()

    async def run(self) -> None:
        """Close connections that exceed a time limit, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            for connection in list(self.connections):
                connection.check_progress(loop.time())
            self.limit_unread()

    def limit_unread(self) -> None:
        """Close the connections with the most unread bytes above the limit."""
        total = sum(map(_read_unread, self.connections))
        if total <= self.limits.unread_total_bytes:
            return
        for connection in sorted(
            self.connections, key=_read_unread, reverse=True
        ):
            total -= connection.measure_unread()
            connection.close_unread()
            if total <= self.limits.unread_total_bytes:
                return

    def _close_idle(self, now: float) -> None:
        longest, found = MIN_IDLE_SECONDS, None
        for connection in self.connections:
            idle = connection.measure_idle(now)
            if idle is not None and idle >= longest:
                longest, found = idle, connection
        if found is not None:
            self.connections.discard(found)
            found.close_idle()


def _read_unread(connection: GuardedConnection) -> int:
    return connection.measure_unread()


def _read_held(connection: GuardedConnection) -> int:
    return connection.held_bytes


def count_connections(descriptors: int) -> int:
    """Return the connections of clients that the descriptors allow.

    :param descriptors: limit besides that of the process, 0 when unknown.
    """
    allowed = int(count_descriptors(descriptors) * DESCRIPTOR_SHARE)
    return max(1, min(allowed, MAX_DERIVED_CONNECTIONS))


def count_descriptors(descriptors: int) -> int:
    """Return the descriptors that the process may open.

    :param descriptors: limit besides that of the process, 0 when unknown.
    """
    allowed = [descriptors or MAX_DESCRIPTORS]
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY:
        allowed.append(soft)
    return min(allowed)
