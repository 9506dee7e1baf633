"""One daemon: its parts, how they are connected, start and stop."""

import asyncio
import contextlib
import secrets
from collections.abc import Coroutine
from typing import Any

from verbenapost.coordination.askers import SlotAsker
from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.ownership import pick_owner
from verbenapost.coordination.timers import TimerService
from verbenapost.coordination.writes import MonotonicReads
from verbenapost.daemon.assembly import (
    make_app,
    make_configuration,
    make_network,
    make_store,
    make_targets,
)
from verbenapost.daemon.claims import ClaimHost, KeyClaimer
from verbenapost.daemon.following import follow_store
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.metrics import Metrics, sample_loop_lag
from verbenapost.daemon.queues import QueueHost
from verbenapost.daemon.routing import MessageRouter
from verbenapost.daemon.serving import EntryParts, EntryServer
from verbenapost.daemon.settings import Settings
from verbenapost.daemon.slots import SlotDesk
from verbenapost.daemon.teams import CallerTeams
from verbenapost.daemon.timers import read_clock, run_timers
from verbenapost.daemon.web import WebServer
from verbenapost.state.configuration import ConfigurationView

#: Random bytes that name one start of the process.
START_BYTES = 6

#: Seconds between two ticks of queues and asks.
QUEUE_PERIOD = 0.05

#: Seconds between two looks at who is connected.
MEMBER_PERIOD = 0.2

#: Seconds between two looks at whether requests still run at shutdown.
DRAIN_POLL = 0.05


class Daemon:
    """Everything that runs on one entry VM.

    :param settings: checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.start_id = secrets.token_hex(START_BYTES)
        self.metrics = Metrics()
        self.router = MessageRouter()
        self.timers = TimerService()
        self._log = make_logger('daemon')
        self._tasks: list[asyncio.Task[None]] = []
        self._members: frozenset[str] = frozenset()
        self._build_network()
        self._build_store()
        self._build_queues()
        self._build_claims()
        self._build_entry()

    @property
    def ready(self) -> bool:
        """Whether the balancer may send new requests."""
        loaded = self.configuration.view.revision and self.directory.position
        leaving = self.entry.closing or not self.entry.accepting
        return bool(loaded) and not leaving

    def find_owner(self, role: str) -> str | None:
        """Return the member that owns a role."""
        return pick_owner(role, self._members)

    def find_queue_owner(self, service: str) -> str | None:
        """Return the owner of a service's queue."""
        return self.find_owner(f'queue/{service}')

    async def start(self) -> None:
        """Listen, follow the store and serve."""
        await self.targets.start()
        listen = self.settings.peers_listen
        await self.network.start(listen.address, listen.port)
        self._subscribe_timers()
        self._spawn(run_timers(self.timers))
        self._spawn(sample_loop_lag(self.metrics))
        self._spawn(
            follow_store('configuration', self.configuration, _ignore),
        )
        self._spawn(follow_store('vms', self.directory, _ignore))
        await self.web.start()
        self._log.info('started', name=self.settings.name)

    async def stop(self) -> None:
        """Leave without cutting a request."""
        shutdown = self.settings.shutdown
        self.entry.closing = True
        self._log.info('leaving', grace=shutdown.balancer_grace)
        await asyncio.sleep(shutdown.balancer_grace)
        self.entry.accepting = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(shutdown.drain):
                await self._drain()
        await self.web.stop()
        self.claims.close_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.network.stop()
        await self.targets.stop()
        await self.store.close()
        self._log.info('stopped')

    def _build_network(self) -> None:
        self.network = make_network(
            self.settings,
            self.start_id,
            self.router.deliver,
        )

    def _build_store(self) -> None:
        self.store = make_store(self.settings)
        reads = MonotonicReads(self.store)
        self.configuration = make_configuration(reads, self.start_id)
        self.directory = VmDirectory(reads)
        self.configuration.subscribe(self._adopt_view)
        self.directory.subscribe(self._configure_queues)

    def _build_queues(self) -> None:
        name = self.settings.name
        asker = SlotAsker(name, self.find_queue_owner)
        self.desk = SlotDesk(asker, self.network.send, read_clock)
        self.desk.register_routes(self.router)
        self.queues = QueueHost(
            name,
            self.network.send,
            self.find_queue_owner,
            read_clock,
            self.metrics,
        )
        self.queues.register_routes(self.router)

    def _build_claims(self) -> None:
        send = self.network.send
        self.claimer = KeyClaimer(send, self.find_owner, self.metrics)
        self.claimer.register_routes(self.router)
        self.claims = ClaimHost(
            self.settings.name,
            self.start_id,
            self.store,
            send,
            self.find_owner,
        )
        self.claims.register_routes(self.router)

    def _build_entry(self) -> None:
        self.targets = make_targets(self.settings)
        self.entry = EntryServer(
            EntryParts(
                name=self.settings.name,
                start=self.start_id,
                desk=self.desk,
                targets=self.targets,
                teams=CallerTeams(self.settings.callers),
                claimer=self.claimer,
                metrics=self.metrics,
                clock=read_clock,
            ),
        )
        self.app = make_app(self.settings, self.entry, self)
        self.web = WebServer(self.app, self.settings)

    def _subscribe_timers(self) -> None:
        now = read_clock()
        subscribe = self.timers.subscribe
        subscribe('queues', QUEUE_PERIOD, self._tick_queues, now=now)
        subscribe('members', MEMBER_PERIOD, self._tick_members, now=now)

    def _tick_queues(self, _tick: Any) -> None:
        self.queues.tick()
        self.desk.tick()
        self.claims.tick()

    def _tick_members(self, _tick: Any) -> None:
        members = self.network.connected | {self.settings.name}
        if members != self._members:
            self._members = members
            self._log.info('members', names=sorted(members))
            self.claims.settle()
            self.metrics.duties.put(self.claims.shards, 'claim_owner')
            self._settle_queues()

    def _adopt_view(self, view: ConfigurationView) -> None:
        self.entry.view = view
        self._settle_queues()

    def _settle_queues(self) -> None:
        services = self.configuration.view.services
        self.queues.settle(services, self._members)
        self._configure_queues()
        self.desk.report(services)

    def _configure_queues(self) -> None:
        self.queues.configure(self.configuration.view, self.directory)

    async def _drain(self) -> None:
        while self.app.running:
            await asyncio.sleep(DRAIN_POLL)

    def _spawn(self, task: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(task))


def _ignore() -> None:
    """Nobody listens yet."""
