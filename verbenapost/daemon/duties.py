"""Role assignment of a daemon as members and configuration change."""

from typing import Any

from verbenapost.coordination.ownership import rank_members
from verbenapost.daemon.leaving import READER_COUNT, LeavingReports
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.parts import Parts
from verbenapost.daemon.targetlists import list_all_targets
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.views import AppliedRevisions, LeavingVms
from verbenapost.state.configuration import ConfigurationView

#: Seconds between ticks of the queues, slot requests and claims.
QUEUE_PERIOD = 0.05

#: Seconds between checks of the live members.
MEMBER_PERIOD = 0.1

#: Seconds between checks whether the VM records are behind.
RELAY_PERIOD = 0.5


class Duties:
    """Starts and stops roles of this daemon as their owners change.

    :param parts: parts of the daemon.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._log = make_logger('members')
        self._leaving = LeavingReports()
        self._working = False
        parts.router.register(AppliedRevisions)(parts.applied.note)
        parts.router.register(LeavingVms)(self._handle_leaving)
        parts.configuration.subscribe(self._adopt_view)
        parts.directory.subscribe(self._adopt_vms)

    def subscribe_timers(self) -> None:
        """Subscribe the periodic ticks of the parts."""
        now = read_clock()
        subscribe = self._parts.timers.subscribe
        subscribe('queues', QUEUE_PERIOD, self._tick_queues, now=now)
        subscribe('members', MEMBER_PERIOD, self._tick_members, now=now)
        subscribe('relay', RELAY_PERIOD, self._tick_relay, now=now)

    def list_roles(self) -> list[str]:
        """Return the roles that the daemon holds."""
        parts = self._parts
        roles = [f'queue/{name}' for name in sorted(parts.queues.services)]
        if parts.claims.shard_count:
            roles.append('claims')
        roles.extend(f'jobs/{pool}' for pool in parts.jobs.pools)
        if parts.keeper.owned:
            roles.append('pools')
        return roles

    def _tick_queues(self, _tick: Any) -> None:
        self._parts.queues.tick()
        self._parts.slot_client.tick()
        self._parts.claims.tick()

    def _tick_members(self, _tick: Any) -> None:
        parts = self._parts
        parts.members.tick()
        parts.metrics.freshness_age.put(parts.members.measure_view_age())
        working = parts.members.accepts_work() and parts.members.startup_done
        previous = parts.roster.members
        # An isolated daemon keeps its last known members, so that it takes
        # over no roles.
        members = parts.members.list_live() if working else previous
        changed = working != self._working
        self._working = working
        if parts.roster.replace(members) or changed:
            # A report can arrive before its sender counts as a member, so
            # only reports of members that have left are dropped.
            parts.applied.forget(previous - members)
            self._log.info('members changed', names=sorted(members))
            self._reconcile_all()

    def _tick_relay(self, _tick: Any) -> None:
        self._parts.vm_relay.tick(self._parts.network.connected)

    def _reconcile_all(self) -> None:
        parts = self._parts
        parts.claims.reconcile()
        parts.metrics.duties.put(parts.claims.shard_count, 'claim_owner')
        self._reconcile_pools()
        self._reconcile_queues()
        self._reconcile_jobs()

    def _reconcile_pools(self) -> None:
        parts = self._parts
        role = f'pools/{parts.settings.region}'
        members = parts.roster.members
        ranked = rank_members(role, members)
        owned = self._working and parts.roster.owns(role)
        parts.keeper.owned = owned
        parts.keeper.members = members
        is_reader = (
            self._working and parts.settings.name in ranked[:READER_COUNT]
        )
        parts.leaving.reconcile(members, is_reader=is_reader)
        self._leaving.retain(members)
        parts.queues.set_leaving(self._leaving.merge())
        parts.metrics.duties.put(int(owned), 'pool_keeper')
        self._announce()

    def _reconcile_queues(self) -> None:
        parts = self._parts
        services = parts.configuration.view.services
        parts.queues.reconcile(services, parts.roster.members)
        self._configure_queues()
        parts.slot_client.report(services)

    def _reconcile_jobs(self) -> None:
        parts = self._parts
        parts.jobs.reconcile()
        parts.metrics.duties.put(len(parts.jobs.pools), 'job_owner')

    def _configure_queues(self) -> None:
        parts = self._parts
        view = parts.configuration.view
        parts.queues.configure(view, parts.directory)
        fallback = parts.slot_client.client.fallback
        fallback.set_members(parts.roster.members)
        fallback.set_targets(
            list_all_targets(view, parts.directory, parts.queues.leaving),
        )

    def _adopt_view(self, view: ConfigurationView) -> None:
        self._parts.entry.view = view
        self._reconcile_queues()
        self._reconcile_jobs()
        self._announce()

    def _adopt_vms(self) -> None:
        self._configure_queues()
        self._parts.jobs.configure()
        self._announce()

    def _announce(self) -> None:
        parts = self._parts
        report = AppliedRevisions(
            parts.configuration.view.revision,
            parts.directory.position,
        )
        for member in parts.roster.members:
            parts.network.send(member, report)

    def _handle_leaving(self, sender: str, message: LeavingVms) -> None:
        self._leaving.record(sender, message.names)
        self._parts.queues.set_leaving(self._leaving.merge())
        self._configure_queues()
