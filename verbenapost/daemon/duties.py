"""Duties of a daemon, as members and configuration change."""

from typing import Any

from verbenapost.coordination.ownership import rank_members
from verbenapost.daemon.leaving import READERS, LeavingNames
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.parts import Parts
from verbenapost.daemon.targetlists import list_all_targets
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.views import AppliedViews, LeavingVms
from verbenapost.state.configuration import ConfigurationView

#: Seconds between two ticks of queues and asks.
QUEUE_PERIOD = 0.05

#: Seconds between two looks at who is connected.
MEMBER_PERIOD = 0.2


class Duties:
    """Takes duties over and gives them up.

    :param parts: parts of the daemon.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._log = make_logger('members')
        self._leaving = LeavingNames()
        parts.router.register(AppliedViews)(parts.applied.note)
        parts.router.register(LeavingVms)(self._take_leaving)
        parts.configuration.subscribe(self._adopt_view)
        parts.directory.subscribe(self._adopt_vms)

    def subscribe_timers(self) -> None:
        """Have the parts told as time passes."""
        now = read_clock()
        subscribe = self._parts.timers.subscribe
        subscribe('queues', QUEUE_PERIOD, self._tick_queues, now=now)
        subscribe('members', MEMBER_PERIOD, self._tick_members, now=now)

    def list_roles(self) -> list[str]:
        """Return the roles that the daemon holds."""
        parts = self._parts
        roles = [f'queue/{name}' for name in sorted(parts.queues.services)]
        if parts.claims.shards:
            roles.append('claims')
        roles.extend(f'jobs/{pool}' for pool in parts.jobs.pools)
        if parts.keeper.owned:
            roles.append('pools')
        return roles

    def _tick_queues(self, _tick: Any) -> None:
        self._parts.queues.tick()
        self._parts.desk.tick()
        self._parts.claims.tick()

    def _tick_members(self, _tick: Any) -> None:
        parts = self._parts
        before = parts.roster.members
        members = parts.network.connected | {parts.settings.name}
        if parts.roster.replace(members):
            # A report can come before its sender is seen as a member, so
            # only those of members that were seen and went are dropped.
            parts.applied.forget(before - members)
            self._log.info('members changed', names=sorted(members))
            self._settle_all()

    def _settle_all(self) -> None:
        parts = self._parts
        parts.claims.settle()
        parts.metrics.duties.put(parts.claims.shards, 'claim_owner')
        self._settle_pools()
        self._settle_queues()
        self._settle_jobs()

    def _settle_pools(self) -> None:
        parts = self._parts
        role = f'pools/{parts.settings.region}'
        members = parts.roster.members
        ranked = rank_members(role, members)
        owned = parts.roster.owns(role)
        parts.keeper.owned = owned
        parts.keeper.members = members
        reads = parts.settings.name in ranked[:READERS]
        parts.leaving.settle(members, reads=reads)
        self._leaving.keep(members)
        parts.queues.set_leaving(self._leaving.join())
        parts.metrics.duties.put(int(owned), 'pool_keeper')
        self._announce()

    def _settle_queues(self) -> None:
        parts = self._parts
        services = parts.configuration.view.services
        parts.queues.settle(services, parts.roster.members)
        self._configure_queues()
        parts.desk.report(services)

    def _settle_jobs(self) -> None:
        parts = self._parts
        parts.jobs.settle()
        parts.metrics.duties.put(len(parts.jobs.pools), 'job_owner')

    def _configure_queues(self) -> None:
        parts = self._parts
        view = parts.configuration.view
        parts.queues.configure(view, parts.directory)
        fallback = parts.desk.asker.fallback
        fallback.set_members(parts.roster.members)
        fallback.set_targets(
            list_all_targets(view, parts.directory, parts.queues.leaving),
        )

    def _adopt_view(self, view: ConfigurationView) -> None:
        self._parts.entry.view = view
        self._settle_queues()
        self._settle_jobs()
        self._announce()

    def _adopt_vms(self) -> None:
        self._configure_queues()
        self._parts.jobs.configure()
        self._announce()

    def _announce(self) -> None:
        parts = self._parts
        report = AppliedViews(
            parts.configuration.view.revision,
            parts.directory.position,
        )
        for member in parts.roster.members:
            parts.network.send(member, report)

    def _take_leaving(self, sender: str, message: LeavingVms) -> None:
        self._leaving.note(sender, message.names)
        self._parts.queues.set_leaving(self._leaving.join())
        self._configure_queues()
