"""Division of a process's memory between the limits of its connections.

Load pattern: clients, peers and servers without a key make the process hold as
much as each limit allows, all at the same time.
"""

import dataclasses
import os
from typing import Final, final

from verbenapost.transport.connectionlimits import ConnectionLimits
from verbenapost.transport.listeners import SYSTEM_FACTOR
from verbenapost.transport.peers import HANDSHAKE_BYTES

#: Bytes of the objects of one open connection, with a small head.
CONNECTION_BYTES: Final = 8192

#: Bytes of the objects of one request while it is served, with those of a call
#: to the store for it.
REQUEST_BYTES: Final = 32_768

#: How many times its size a body occupies: as received, decoded and encoded
#: for the store.
BODY_FACTOR: Final = 3

#: Connections that wait to be accepted, for each open one of the limit.
BACKLOG_SHARE: Final = 0.25

#: Listeners for probes and for metrics.
SERVICE_LISTENERS: Final = 2

#: Connections of peers that wait to be accepted; all daemons connect to a new
#: leader at once.
PEER_BACKLOG: Final = 512

#: Bytes that a daemon occupies for its own work at most, as the leader of some
#: hundred VMs, and the least and largest share of the memory for it.
OWN_BYTES: Final = 134_217_728
LEAST_OWN_SHARE: Final = 0.5
LARGEST_OWN_SHARE: Final = 0.7

# Shares of the memory that the daemon's own work leaves; they add up to one.
_CONNECTIONS: Final = 0.25
_RUNNING: Final = 0.05
_SERVICES: Final = 0.08
_HANDSHAKES: Final = 0.12
_HELD: Final = 0.12
_UNREAD: Final = 0.08
_BODIES: Final = 0.1
_ANSWERS: Final = 0.1
_LARGEST_ANSWER: Final = 0.05

#: Part of the held and unread bytes that each listener for probes or metrics
#: gets.
SERVICE_SHARE: Final = 0.15


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MemoryPlan:
    """Limits that fit the memory together, and what they amount to.

    :param limits: the limits.
    :param own_bytes: bytes that are left for the daemon's own work.
    """

    limits: ConnectionLimits
    own_bytes: int

    @property
    def backlog(self) -> int:
        """Connections of callers that may wait to be accepted."""
        return max(1, int((self.limits.connections or 1) * BACKLOG_SHARE))

    @property
    def callers(self) -> ConnectionLimits:
        """Limits of the listener for callers."""
        rest = 1 - SERVICE_LISTENERS * SERVICE_SHARE
        return self._share_memory(rest)

    @property
    def services(self) -> ConnectionLimits:
        """Limits of a listener for probes or metrics."""
        limits = self._share_memory(SERVICE_SHARE)
        return dataclasses.replace(
            limits, connections=limits.service_connections
        )

    @property
    def total_bytes(self) -> int:
        """Bytes that all limits allow together, with the daemon's own work."""
        return self.own_bytes + sum(self.parts.values())

    @property
    def parts(self) -> dict[str, int]:
        """Bytes that each group of limits allows, by its name."""
        limits = self.limits
        received = SYSTEM_FACTOR * limits.receive_bytes
        connection = _measure_connection(limits)
        callers = limits.connections or 0
        services = SERVICE_LISTENERS * limits.service_connections
        handshake = SYSTEM_FACTOR * HANDSHAKE_BYTES
        return {
            'connections': callers * connection + self.backlog * received,
            'running': limits.running_requests * REQUEST_BYTES,
            'services': services * (connection + received),
            'handshakes': limits.handshakes * _HANDSHAKE_COST
            + PEER_BACKLOG * handshake,
            'held': limits.held_bytes or 0,
            'unread': limits.unread_total_bytes,
            'bodies': limits.bodies_total_bytes * BODY_FACTOR,
            'answers': limits.answers_total_bytes + 2 * limits.answer_bytes,
        }

    def _share_memory(self, share: float) -> ConnectionLimits:
        """Return the limits with a listener's part of what they share."""
        limits = self.limits
        if not limits.memory_bytes:
            return limits
        return dataclasses.replace(
            limits,
            held_bytes=int((limits.held_bytes or 0) * share),
            unread_total_bytes=int(limits.unread_total_bytes * share),
        )


def plan_memory(limits: ConnectionLimits, connections: int) -> MemoryPlan:
    """Return limits that fit the memory together.

    A limit stays as it is where its share of the memory allows more.

    Examples
    ========

    >>> limits = ConnectionLimits(memory_bytes=200_000_000)
    >>> plan = plan_memory(limits, connections=2050)
    >>> plan.total_bytes <= limits.memory_bytes
    True
    >>> plan.limits.connections < 2050
    True

    :param limits: limits of the settings.
    :param connections: callers' connections that the descriptors allow.
    """
    memory = limits.memory_bytes
    if not memory:
        return MemoryPlan(_fill_in(limits, connections), 0)
    own = _reserve_own(memory)
    shared = memory - own
    fitted = _fit(limits, shared, connections)
    return MemoryPlan(fitted, own)


def find_memory(limits: ConnectionLimits) -> ConnectionLimits:
    """Return limits with the memory of the machine if none is set.

    :param limits: limits of the settings.
    """
    if limits.memory_bytes:
        return limits
    machine = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
    return dataclasses.replace(limits, memory_bytes=machine)


def _reserve_own(memory: int) -> int:
    least = int(memory * LEAST_OWN_SHARE)
    largest = int(memory * LARGEST_OWN_SHARE)
    return max(least, min(largest, OWN_BYTES))


def _fill_in(limits: ConnectionLimits, connections: int) -> ConnectionLimits:
    """Return the limits with those that follow from others."""
    # Each client within the platform's limits may be sending its head.
    heads = connections * limits.header_line_bytes
    return dataclasses.replace(
        limits,
        connections=connections,
        held_bytes=limits.held_bytes or heads,
    )


def _fit(
    limits: ConnectionLimits, shared: int, connections: int
) -> ConnectionLimits:
    received = SYSTEM_FACTOR * limits.receive_bytes
    connection = _measure_connection(limits)
    filled = _fill_in(limits, connections)
    peers = int(shared * _HANDSHAKES) - _PEER_BACKLOG_COST
    waiting = int(received * BACKLOG_SHARE)
    services = SERVICE_LISTENERS * (connection + received)
    return dataclasses.replace(
        filled,
        connections=_lower(
            connections, shared * _CONNECTIONS / (connection + waiting)
        ),
        running_requests=_lower(
            limits.running_requests, shared * _RUNNING / REQUEST_BYTES
        ),
        service_connections=_lower(
            limits.service_connections, shared * _SERVICES / services
        ),
        handshakes=_lower(limits.handshakes, peers / _HANDSHAKE_COST),
        held_bytes=_lower(filled.held_bytes or 1, shared * _HELD),
        unread_total_bytes=_lower(limits.unread_total_bytes, shared * _UNREAD),
        bodies_total_bytes=_lower(
            limits.bodies_total_bytes, shared * _BODIES / BODY_FACTOR
        ),
        answers_total_bytes=_lower(
            limits.answers_total_bytes, shared * _ANSWERS
        ),
        answer_bytes=_lower(limits.answer_bytes, shared * _LARGEST_ANSWER),
    )


def _lower(limit: int, allowed: float) -> int:
    return max(1, min(limit, int(allowed)))


def _measure_connection(limits: ConnectionLimits) -> int:
    received = SYSTEM_FACTOR * limits.receive_bytes
    return received + CONNECTION_BYTES + limits.unread_bytes


_HANDSHAKE_COST: Final = (
    SYSTEM_FACTOR * HANDSHAKE_BYTES + HANDSHAKE_BYTES + CONNECTION_BYTES
)
_PEER_BACKLOG_COST: Final = PEER_BACKLOG * SYSTEM_FACTOR * HANDSHAKE_BYTES
