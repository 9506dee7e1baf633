"""The parts of a daemon, made from its settings and joined."""

import secrets
import time

import aiohttp

from verbenapost.coordination.applied import AppliedTable
from verbenapost.coordination.askers import SlotAsker
from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.jobs.owner import OwnerPorts
from verbenapost.coordination.roster import Roster
from verbenapost.coordination.timers import TimerService
from verbenapost.coordination.writes import MonotonicReads
from verbenapost.daemon.assembly import (
    make_configuration,
    make_ledger,
    make_network,
    make_store,
    make_targets,
)
from verbenapost.daemon.claims import ClaimHost, KeyClaimer
from verbenapost.daemon.fleet import KeeperHost
from verbenapost.daemon.jobs import JobEntrance, JobHost
from verbenapost.daemon.leaving import LeavingWatch
from verbenapost.daemon.metrics import Metrics
from verbenapost.daemon.queues import QueueHost
from verbenapost.daemon.routing import MessageRouter
from verbenapost.daemon.serving import EntryParts, EntryServer
from verbenapost.daemon.settings import Settings
from verbenapost.daemon.slots import SlotDesk
from verbenapost.daemon.teams import CallerTeams
from verbenapost.daemon.timers import read_clock
from verbenapost.state.vms import VmState
from verbenapost.transport.platform import HttpPlatform
from verbenapost.transport.tasks import HttpTasks

#: Random bytes that name one start of the process.
START_BYTES = 6


class Parts:
    """Everything that a daemon is made of.

    Made inside the running event loop.

    :param settings: checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.start_id = secrets.token_hex(START_BYTES)
        self.metrics = Metrics()
        self.router = MessageRouter()
        self.timers = TimerService()
        self.roster = Roster(settings.name)
        self.applied = AppliedTable()
        self.network = make_network(
            settings,
            self.start_id,
            self.router.deliver,
        )
        self._make_views()
        self._make_keeper()
        self._make_queues()
        self._make_claims()
        self._make_jobs()
        self._make_entry()

    async def close(self) -> None:
        """Close every socket."""
        await self.network.stop()
        await self.targets.stop()
        await self._session.close()
        await self.store.close()

    def _make_views(self) -> None:
        self.store = make_store(self.settings)
        self.reads = MonotonicReads(self.store)
        self.configuration = make_configuration(self.reads, self.start_id)
        self.directory = VmDirectory(self.reads)

    def _make_keeper(self) -> None:
        self._session = aiohttp.ClientSession()
        platform = HttpPlatform(self._session, self.settings.vm_list.url)
        self.keeper = KeeperHost(
            self.reads,
            platform,
            self.start_id,
            self.configuration,
            self.directory,
            self.applied,
        )
        self.leaving = LeavingWatch(
            platform,
            self.network.send,
            self.keeper.wake,
        )

    def _make_queues(self) -> None:
        find_owner = self.roster.find_queue_owner
        asker = SlotAsker(self.settings.name, find_owner)
        self.desk = SlotDesk(asker, self.network.send, read_clock)
        self.desk.register_routes(self.router)
        self.queues = QueueHost(
            self.settings.name,
            self.network.send,
            find_owner,
            read_clock,
            self.metrics,
        )
        self.queues.register_routes(self.router)

    def _make_claims(self) -> None:
        send = self.network.send
        find_owner = self.roster.find_owner
        self.claimer = KeyClaimer(send, find_owner, self.metrics)
        self.claimer.register_routes(self.router)
        self.claims = ClaimHost(
            self.settings.name,
            self.start_id,
            self.store,
            send,
            find_owner,
        )
        self.claims.register_routes(self.router)

    def _make_jobs(self) -> None:
        ledger = make_ledger(self.reads, self.start_id)
        ports = OwnerPorts(
            self.reads,
            HttpTasks(self._session),
            ledger,
            read_clock,
            time.time,
        )
        self.jobs = JobHost(
            self.settings.name,
            self.start_id,
            ports,
            self.configuration,
            self.directory,
            self.roster.find_owner,
        )

    def _make_entry(self) -> None:
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
                is_leaving=self._is_leaving,
                jobs=JobEntrance(
                    self.jobs.ledger,
                    self.claimer,
                    self.configuration,
                ),
            ),
        )

    def _is_leaving(self, target: str) -> bool:
        if self.queues.is_leaving(target):
            return True
        known = self.directory.vms.get(target)
        if known is None:
            return False
        return known.record.state is not VmState.IN_SERVICE
