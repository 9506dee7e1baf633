"""Control of VM moves, and the rounds of VM maintenance."""

import asyncio
import dataclasses
from collections.abc import Sequence
from typing import Any, Final, final

from result import Err

from verbenapost.coordination.scheduling.capacity import (
    CapacityPlanner,
    IncomingVms,
    MoveVm,
    VmView,
)
from verbenapost.coordination.scheduling.demand import WINDOW_SECONDS
from verbenapost.coordination.scheduling.evacuation import evacuate
from verbenapost.coordination.scheduling.vmlist import VmList
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.daemon.timers import read_clock
from verbenapost.platform.cloud import CloudClient
from verbenapost.protocol.orders import CallFaultKind
from verbenapost.scheduler.clock import read_moment
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.demands import PoolDemands
from verbenapost.scheduler.election import LEASE_SECONDS, RENEW_SECONDS
from verbenapost.scheduler.fleet import WorkerFleet
from verbenapost.scheduler.poolstates import PoolStateSet
from verbenapost.scheduler.ports import LeaderPorts
from verbenapost.scheduler.vmorders import VmOrders
from verbenapost.scheduler.waverunner import WaveRunner
from verbenapost.state.workloads import FleetVm, FleetVmState

#: Seconds between two rounds; a shift in demand lasts several seconds.
ROUND_SECONDS: Final = 0.25

#: Seconds between two reads of the VM list while there are no orders.
LIST_SECONDS: Final = 1.0

#: Seconds beyond the platform's move time until a moved VM counts as joined.
JOIN_MARGIN: Final = 1.0

#: Seconds added to the wait for the previous leader's orders.
PREDECESSOR_MARGIN: Final = 0.3

#: States in which a VM may run its worker.
_RUNNING_STATES: Final = frozenset((FleetVmState.UP, FleetVmState.UNKNOWN))

_MILLI: Final = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Joining:
    """A VM that is moving into a pool.

    :param pool: name of the pool.
    :param cores: cores of the VM.
    :param until: local clock in seconds at which waiting for the VM ends.
    """

    pool: str
    cores: float
    until: float


class FleetController:
    """Orders VM moves and VM maintenance while this daemon leads.

    :param ports: dependencies of the leader.
    :param cloud: client of the cloud.
    :param pool_states: states of all pools.
    :param fleet: links to the workers.
    :param log: logger.
    :ivar demands: demand of each pool.
    """

    def __init__(
        self,
        ports: LeaderPorts,
        cloud: CloudClient,
        pool_states: PoolStateSet,
        fleet: WorkerFleet,
        log: Any,
    ) -> None:
        self._join_seconds = ports.settings.bounds.move_s + JOIN_MARGIN
        self.demands = PoolDemands(self._join_seconds, log)
        self._ports = ports
        self._cloud = cloud
        self._orders = VmOrders(cloud, ports.election, log)
        self._pool_states = pool_states
        self._fleet = fleet
        self._log = log
        self._vm_list = VmList()
        self._capacity = CapacityPlanner(None)
        self._waves = WaveRunner(ports, self._orders, fleet, log)
        self._joining: dict[str, _Joining] = {}
        self._listed_at: float = 0
        self._stale = True
        self._started_at = read_clock()

    async def run(self) -> None:
        """Run rounds until the task is cancelled."""
        # Reading the list needs no wait for the previous leader, and shows
        # which worker entries belong to ended incarnations.
        await self._read_list()
        await self._wait_for_predecessor()
        try:
            while True:
                await self._attempt_round()
                await asyncio.sleep(ROUND_SECONDS)
        finally:
            await self._orders.close()

    def find_incoming(self, service: str) -> IncomingVms:
        """Return the VMs that are moving into a service's pool."""
        cores = [
            row.cores for row in self._joining.values() if row.pool == service
        ]
        return IncomingVms(sum(cores), len(cores))

    def find_listed_workers(self, service: str) -> set[str] | None:
        """Return the workers of a pool that the list of VMs shows.

        :returns: names of the workers, or ``None`` while the list has not been
            read often enough.
        """
        known = self._vm_list.find_known()
        if not known:
            return None
        return {
            vm.worker
            for vm in known
            if vm.pool == service and vm.worker and _may_run_worker(vm)
        }

    def find_listed_vms(self) -> set[str]:
        """Return the VMs that the last read of the list has shown."""
        return set(self._vm_list.vms)

    def find_settled_vms(self) -> set[str]:
        """Return the VMs of which the last read shows what they run.

        A VM that is up, outside of the standby pools, runs a worker even if
        the list doesn't name it; such a worker may have no entry either.
        """
        standby = _find_standby_pools(self._ports.configuration)
        return {
            name
            for name, vm in self._vm_list.vms.items()
            if vm.worker or vm.pool in standby or not _may_run_worker(vm)
        }

    async def _wait_for_predecessor(self) -> None:
        """Wait until the previous leader can't send orders any more.

        Its lease had to expire before this takeover, and its last order may
        have been sent just after its last renewal but one. The list of VMs is
        read meanwhile, since it ends the pauses of pools.
        """
        election = self._ports.election
        if election.token <= 1:
            return
        bounds = self._ports.settings.bounds
        passed = LEASE_SECONDS - RENEW_SECONDS
        seconds = max(0, bounds.lease_seconds - passed) + PREDECESSOR_MARGIN
        await election.predecessor.wait_until_gone(seconds, self._refresh_list)

    async def _refresh_list(self) -> None:
        if self._needs_list(read_clock()):
            await self._read_list()

    async def _attempt_round(self) -> None:
        """Run a round; one that fails must not end all later rounds."""
        try:
            await self._run_round()
        except Exception:
            self._log.exception('round failed')

    async def _run_round(self) -> None:
        now = read_clock()
        if not self._ports.election.holds_lease():
            return
        await self._refresh_list()
        now = read_clock()
        self._forget_joined(now)
        if not self._ports.election.holds_lease():
            return
        self._readmit_staying(now)
        self._evacuate(now)
        if not self._vm_list.vms:
            return
        await self._waves.run(
            self._vm_list, self._make_views(), self._mark_stale
        )
        # The waves have begun orders, which exclude their VMs from moves.
        self._run_moves(self._make_views(), now)

    def _needs_list(self, now: float) -> bool:
        """Return whether the list is old, or may end the pause of a pool."""
        return (
            self._stale
            or now - self._listed_at > LIST_SECONDS
            or any(pool_state.recovering for pool_state in self._pool_states)
        )

    def _mark_stale(self) -> None:
        self._stale = True

    async def _read_list(self) -> None:
        """Read the list; one that can't be processed is logged."""
        try:
            await self._replace_list()
        except Exception:
            self._log.exception('VM list not processed')

    async def _replace_list(self) -> None:
        requested = read_moment()
        # An order that ends from now on may not show in this list.
        self._stale = False
        listed = await self._cloud.list_vms()
        if isinstance(listed, Err):
            self._stale = True
            self._log.warning(
                'VM list not read',
                fault=listed.err_value.kind.value,
                detail=listed.err_value.detail,
            )
            return
        self._listed_at = read_clock()
        self._log_changes(listed.ok_value)
        self._vm_list.replace(listed.ok_value, self._listed_at)
        self._fleet.end_replaced_incarnations(self._vm_list, requested)

    def _log_changes(self, listed: Sequence[FleetVm]) -> None:
        for vm in listed:
            known = self._vm_list.vms.get(vm.vm)
            if known is None or (known.pool, known.state) != (
                vm.pool,
                vm.state,
            ):
                self._log.info(
                    'VM listed',
                    vm=vm.vm,
                    pool=vm.pool,
                    state=vm.state.value,
                )

    def _make_views(self) -> list[VmView]:
        """Return the VMs without a pending order or move."""
        standby_pools = _find_standby_pools(self._ports.configuration)
        return [
            VmView(vm, self._find_worker(vm), vm.pool in standby_pools)
            for name, vm in self._vm_list.vms.items()
            if name not in self._orders.busy and name not in self._joining
        ]

    def _find_worker(self, vm: FleetVm) -> Worker | None:
        link = self._fleet.find_by_vm(vm.vm)
        if link is None or link.worker.entry.service != vm.pool:
            return None
        return link.worker

    def _forget_joined(self, now: float) -> None:
        for name, row in list(self._joining.items()):
            link = self._fleet.find_by_vm(name)
            arrived = (
                link is not None
                and link.worker.reconciled
                and link.worker.entry.service == row.pool
            )
            if arrived or now > row.until:
                self._joining.pop(name)
                self._stale = True

    def _readmit_staying(self, now: float) -> None:
        """Let the VMs accept work again that nothing is going to move.

        The order to move such a VM got no answer and can't be carried out any
        more.
        """
        departing = {
            *self._capacity.pending_moves,
            *self._waves.find_departing(),
            *self._orders.find_uncertain(now),
        }
        for view in self._make_views():
            if view.vm.vm not in departing and self._fleet.readmit(view.vm.vm):
                self._log.info('VM stays', vm=view.vm.vm, pool=view.vm.pool)

    def _evacuate(self, now: float) -> None:
        for pool_state in self._pool_states:
            leaving = [
                worker
                for worker in pool_state.workers.values()
                if worker.leaving or worker.entry.draining
            ]
            evacuation = evacuate(pool_state, leaving, now)
            self.demands.blocked[pool_state.service] = evacuation.blocked
            if evacuation.commands:
                self._fleet.send(pool_state, evacuation.commands)

    def _run_moves(self, views: list[VmView], now: float) -> None:
        services = self._ports.configuration.find_services()
        standby = [row.name for row in services.values() if row.standby]
        self._capacity.standby = standby[0] if standby else None
        if not self.demands.has_demand:
            return
        demands = self.demands.measure_all(
            [
                self._pool_states.find(name)
                for name, row in services.items()
                if not row.standby
            ],
            self._vm_list.find_typical_capacity(),
        )
        uncertain = self._orders.find_uncertain(now)
        free = [view for view in views if view.vm.vm not in uncertain]
        incoming = {
            demand.service: self.find_incoming(demand.service)
            for demand in demands
        }
        self._capacity.may_release = now - self._started_at > WINDOW_SECONDS
        for move in self._capacity.plan(demands, free, incoming, now):
            self._log.info('VM moves', vm=move.vm, pool=move.pool)
            self._orders.begin(move.vm, self._move(move), self._mark_stale)

    async def _move(self, move: MoveVm) -> None:
        vm = self._vm_list.vms[move.vm]
        if move.pool != self._capacity.standby:
            self._joining[move.vm] = _Joining(
                move.pool,
                vm.capacity.cpu / _MILLI,
                read_clock() + self._join_seconds,
            )
        # A further attempt may be answered after the VM's next worker joined.
        link = self._fleet.find_elsewhere(move.vm, move.pool)
        answer = await self._orders.move(move.vm, move.pool)
        if isinstance(answer, Err):
            self._joining.pop(move.vm, None)
            if answer.err_value.kind is not CallFaultKind.UNKNOWN:
                self._fleet.readmit(move.vm)
            return
        if link is not None:
            link.end_incarnation('its VM has moved')
        listed = self._vm_list.vms.get(move.vm)
        if listed is not None and listed.pool != move.pool:
            self._vm_list.update(
                dataclasses.replace(
                    listed, pool=move.pool, state=FleetVmState.MOVING, worker=''
                )
            )


def _find_standby_pools(configuration: ConfigurationFollower) -> set[str]:
    services = configuration.find_services()
    return {row.name for row in services.values() if row.standby}


def _may_run_worker(vm: FleetVm) -> bool:
    return vm.state in _RUNNING_STATES
