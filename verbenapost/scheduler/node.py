"""A daemon on the platform: its core, peer connections and HTTP servers."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.timers import read_clock
from verbenapost.daemon.web import WebAddress, WebServer
from verbenapost.platform.http import HttpTransport
from verbenapost.scheduler.applications import CallerApp, MetricsApp, ProbeApp
from verbenapost.scheduler.assembly import make_ports
from verbenapost.scheduler.channels import Channel
from verbenapost.scheduler.core import Core
from verbenapost.scheduler.entry import Entry
from verbenapost.scheduler.peers import LeaderClient, PeerServer
from verbenapost.scheduler.relays import RelayHandler, RelayTransport
from verbenapost.scheduler.settings import SchedulerSettings
from verbenapost.scheduler.storetransport import StoreTransport
from verbenapost.transport.connectionlimits import ConnectionLimits
from verbenapost.transport.guard import Guard, count_connections
from verbenapost.transport.handshakes import Handshakes
from verbenapost.transport.memoryplan import (
    MemoryPlan,
    find_memory,
    plan_memory,
)
from verbenapost.transport.peers import Identity
from verbenapost.transport.refusals import Refusals

#: Connections that may wait to be accepted.
BACKLOG: Final = 512

#: Seconds for which the platform may still send connections after a shutdown
#: has begun: it probes once per second and stops after two failures.
LEAVE_SECONDS: Final = 3.0

#: Seconds between two checks for running requests.
DRAIN_POLL: Final = 0.05

#: Seconds before the platform's grace limit at which a shutdown ends even if
#: requests are running.
GRACE_MARGIN: Final = 0.5


def _count_nothing() -> int:
    return 0


class Node:
    """Creates, starts and stops the components of one daemon.

    :param settings: settings of the daemon.
    :param count_dropped: returns the number of dropped log lines.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        count_dropped: Callable[[], int] = _count_nothing,
    ) -> None:
        self._count_dropped = count_dropped
        self._settings = settings
        self._log = make_logger('daemon')
        self._plan = _plan_memory(find_memory(settings.connection_limits))
        self._limits = self._plan.limits
        self._refusals = Refusals(make_logger('clients'), read_clock)
        self._http = HttpTransport(
            self._limits.answer_bytes, self._limits.answers_total_bytes
        )
        self._relays = RelayTransport(
            self._http, self._find_relays, settings.processor.cores
        )
        self._store_transport = StoreTransport(
            self._http,
            settings.store.address,
            self._find_relays,
            make_logger('store'),
        )
        self._ports = make_ports(
            settings, self._http, self._relays, self._store_transport
        )
        self._core = Core(self._ports)
        incarnation = self._ports.election.incarnation
        identity = Identity(settings.daemon, incarnation, incarnation)
        self._peer_server = PeerServer(
            identity,
            self._core.answer_peer,
            self._ports.election.note_process,
            Handshakes(self._limits.handshakes, self._refusals),
            make_logger('peers'),
        )
        self._peers = LeaderClient(
            identity,
            self._core.find_leader,
            self._core.find_local_handler,
            RelayHandler(self._http).answer,
            make_logger('peers'),
        )
        entry = Entry(
            self._ports.configuration,
            self._ports.store,
            self._peers,
            self._ports.outage_detector,
            make_logger('entry'),
        )
        self._app = CallerApp(
            entry,
            self._ports.metrics,
            self._limits.bodies_total_bytes,
            self._limits.running_requests,
        )
        self._ports.metrics.add_source(self._update_metrics)
        self._servers = self._make_servers()

    def is_ready(self) -> bool:
        """Return whether the daemon accepts new connections."""
        known = self._ports.configuration.current is not None
        return known and not self._app.closing

    async def start(self) -> None:
        """Start the servers and follow the store."""
        self._log_plan()
        for server in self._servers:
            await server.start()
        await self._peer_server.start(
            self._settings.address, self._settings.peer_port
        )
        self._core.start()
        self._peers.start()
        self._log.info('started', address=self._settings.address)

    async def stop(self) -> None:
        """Hand over the leadership, finish running requests and close."""
        self._log.info('stop begins', running=self._app.running)
        began = read_clock()
        self._app.closing = True
        self._peers.stop_relaying()
        await self._core.resign()
        grace = self._settings.bounds.grace_s - GRACE_MARGIN
        while read_clock() - began < grace:
            may_leave = read_clock() - began > LEAVE_SECONDS
            if may_leave and not self._app.running:
                break
            await asyncio.sleep(DRAIN_POLL)
        for server in self._servers:
            await server.stop()
        await self._core.close()
        await self._peers.close()
        await self._peer_server.stop()
        await self._store_transport.close()
        await self._http.close()
        self._log.info('stopped', seconds=round(read_clock() - began, 2))

    def _find_relays(self) -> Mapping[str, Channel]:
        return self._peer_server.find_relays()

    def _update_metrics(self) -> None:
        for name, number in self._ports.store.calls.items():
            kind, _, outcome = name.partition(' ')
            labels = {'kind': kind, 'outcome': outcome}
            self._ports.metrics.store_calls.set(labels, number)
        for (listener, reason), count in self._refusals.counts.items():
            labels = {'listener': listener, 'reason': reason}
            self._ports.metrics.refused_connections.set(labels, count)
        self._ports.metrics.log_lines_dropped.set({}, self._count_dropped())

    def _make_servers(self) -> tuple[WebServer, ...]:
        listen = self._settings.listen
        internal = self._settings.internal_address
        services = self._plan.services
        waiting = self._limits.service_connections
        return (
            WebServer(
                ProbeApp(self.is_ready),
                _parse(listen.probes, waiting),
                Guard('probes', services, self._refusals),
            ),
            WebServer(
                MetricsApp(self._ports.metrics.render),
                _parse(internal, waiting),
                Guard('metrics', services, self._refusals),
            ),
            WebServer(
                self._app,
                _parse(listen.callers, min(BACKLOG, self._plan.backlog)),
                Guard('callers', self._plan.callers, self._refusals),
            ),
        )

    def _log_plan(self) -> None:
        """Log what the limits amount to, and whether they fit the memory."""
        memory, total = self._limits.memory_bytes, self._plan.total_bytes
        note = self._log.info
        if memory and total > memory:
            note = self._log.error
        note('memory planned', memory=memory, total=total, **self._plan.parts)


def _plan_memory(limits: ConnectionLimits) -> MemoryPlan:
    allowed = count_connections(limits.descriptors)
    return plan_memory(limits, limits.connections or allowed)


def _parse(address: str, backlog: int) -> WebAddress:
    host, _, port = address.rpartition(':')
    return WebAddress(host, int(port), backlog)
