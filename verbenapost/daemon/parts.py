"""All parts of a daemon, created from its settings and connected."""

import time

from verbenapost.coordination.jobs.owner import OwnerPorts
from verbenapost.coordination.slotclient import SlotClient
from verbenapost.daemon.assembly import (
    make_record_store,
    make_targets,
)
from verbenapost.daemon.baseparts import BaseParts
from verbenapost.daemon.claims import ClaimHost, KeyClaimer
from verbenapost.daemon.entryparts import EntryParts
from verbenapost.daemon.fleet import KeeperHost
from verbenapost.daemon.jobs import JobHost, JobRequestHandler
from verbenapost.daemon.leaving import LeavingWatch
from verbenapost.daemon.queues import QueueHost
from verbenapost.daemon.serving import EntryServer
from verbenapost.daemon.settings import Settings
from verbenapost.daemon.slots import AsyncSlotClient
from verbenapost.daemon.teams import CallerTeams
from verbenapost.daemon.timers import read_clock
from verbenapost.state.vms import VmState
from verbenapost.transport.platformclient import HttpPlatformClient
from verbenapost.transport.tasks import HttpTaskClient


class Parts(BaseParts):
    """Creates and connects all parts of one daemon.

    :param settings: checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self._make_keeper()
        self._make_queues()
        self._make_claims()
        self._make_jobs()
        self._make_entry()

    async def close(self) -> None:
        """Close all streams and connections."""
        await self.targets.stop()
        await super().close()

    def _make_keeper(self) -> None:
        platform = HttpPlatformClient(
            self.session,
            self.settings.vm_list.url,
            answer_bytes=self.settings.connection_limits.answer_bytes,
        )
        self.keeper = KeeperHost(
            self.reads,
            platform,
            self.incarnation,
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
        client = SlotClient(self.settings.name, find_owner)
        self.slot_client = AsyncSlotClient(
            client, self.network.send, read_clock
        )
        self.slot_client.register_handlers(self.router)
        self.queues = QueueHost(
            self.settings.name,
            self.network.send,
            find_owner,
            read_clock,
            self.metrics,
        )
        self.queues.register_handlers(self.router)

    def _make_claims(self) -> None:
        send = self.network.send
        find_owner = self.roster.find_owner
        self.claimer = KeyClaimer(send, find_owner, self.metrics)
        self.claimer.register_handlers(self.router)
        self.claims = ClaimHost(
            self.settings.name,
            self.incarnation,
            self.store,
            send,
            find_owner,
        )
        self.claims.register_handlers(self.router)

    def _make_jobs(self) -> None:
        record_store = make_record_store(self.reads, self.incarnation)
        ports = OwnerPorts(
            self.reads,
            HttpTaskClient(
                self.session, self.settings.connection_limits.answer_bytes
            ),
            record_store,
            read_clock,
            time.time,
        )
        self.jobs = JobHost(
            self.settings.name,
            self.incarnation,
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
                incarnation=self.incarnation,
                slot_client=self.slot_client,
                targets=self.targets,
                teams=CallerTeams(self.settings.callers),
                claimer=self.claimer,
                metrics=self.metrics,
                clock=read_clock,
                is_leaving=self._is_leaving,
                jobs=JobRequestHandler(
                    self.jobs.record_store,
                    self.claimer,
                    self.configuration,
                ),
            ),
        )
        self.entry.accepts_work = self.members.accepts_work

    def _is_leaving(self, target: str) -> bool:
        if self.queues.is_leaving(target):
            return True
        known = self.directory.vms.get(target)
        if known is None:
            return False
        return known.record.state is not VmState.IN_SERVICE
