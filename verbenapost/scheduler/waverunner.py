"""Maintenance waves, from their request to their completion."""

from collections.abc import Callable, Sequence
from typing import Any, Final

from result import Err

from verbenapost.coordination.scheduling.capacity import VmView
from verbenapost.coordination.scheduling.leases import compute_lapse_seconds
from verbenapost.coordination.scheduling.vmlist import VmList
from verbenapost.coordination.scheduling.waveprogress import (
    UNCONFIRMED_ORDER_SECONDS,
    WaveProgress,
)
from verbenapost.coordination.scheduling.waves import MaintainVm, WavePlanner
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.orders import CallFaultKind
from verbenapost.scheduler.fleet import WorkerFleet
from verbenapost.scheduler.ports import LeaderPorts
from verbenapost.scheduler.vmorders import Outcome, VmOrders
from verbenapost.scheduler.wavelog import WaveLog
from verbenapost.scheduler.wavestatus import WaveRecord, WaveStatus
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    FleetVm,
    FleetVmState,
    MaintenanceWave,
)

#: Seconds after a takeover during which no maintenance begins, since the VM
#: list does not yet show all maintenance that the previous leader ordered.
MAINTENANCE_DELAY: Final = 4.0

#: Refusals of an order for a VM that is not up, or was removed.
_REFUSALS: Final = frozenset((CallFaultKind.BUSY, CallFaultKind.NOT_FOUND))


class WaveRunner:
    """Orders the maintenance of each wave's VMs and stores its state.

    :param ports: dependencies of the leader.
    :param orders: sends orders for VMs.
    :param fleet: links to the workers.
    :param log: logger.
    """

    def __init__(
        self,
        ports: LeaderPorts,
        orders: VmOrders,
        fleet: WorkerFleet,
        log: Any,
    ) -> None:
        self._configuration = ports.configuration
        self._election = ports.election
        self._hold_seconds = ports.settings.bounds.hold_seconds
        self._orders = orders
        self._fleet = fleet
        self._log = WaveLog(log, ports.metrics)
        self._planner = WavePlanner(ports.settings.bounds.maintenance_s)
        self._progress: dict[int, WaveProgress] = {}
        self._status = WaveStatus(ports.store, ports.election, log)
        self._quiet_until: float = 0
        if ports.election.token > 1:
            self._quiet_until = read_clock() + MAINTENANCE_DELAY

    async def run(
        self,
        vm_list: VmList,
        views: Sequence[VmView],
        finish: Callable[[], None],
    ) -> None:
        """Begin the maintenance that is allowed now.

        :param vm_list: all VMs.
        :param views: VMs without a pending order.
        :param finish: called at the end of each order.
        """
        # Another wave may be requested while a status is written.
        for wave in tuple(self._configuration.waves.values()):
            progress = await self._find_progress(wave, read_clock())
            if progress is None or not await self._may_run(progress, vm_list):
                continue
            await self._order_next(progress, vm_list, views, finish)
            if progress.is_complete(vm_list) and not progress.down:
                await self._complete(progress, vm_list)

    def find_departing(self) -> set[str]:
        """Return the VMs that are emptied for maintenance or ordered."""
        return {
            vm
            for number, progress in self._progress.items()
            if number in self._configuration.waves
            and not self._status.is_complete(number)
            for vm in progress.emptying | progress.ordered
        }

    async def _may_run(self, progress: WaveProgress, vm_list: VmList) -> bool:
        """Return whether a wave goes on, which is shown before it does."""
        number = progress.wave.number
        if progress.has_listed_left(vm_list):
            return await self._status.reopen(number)
        return not self._status.is_complete(number)

    async def _order_next(
        self,
        progress: WaveProgress,
        vm_list: VmList,
        views: Sequence[VmView],
        finish: Callable[[], None],
    ) -> None:
        """Begin the maintenance of a wave's VMs that is allowed now."""
        now = read_clock()
        progress.note_listed(vm_list, now)
        candidates = [*views, *self._make_unlisted_views(progress, vm_list)]
        self._log.note_waiting(progress, candidates, now)
        orders = self._planner.plan(progress, candidates, now)
        for order in orders:
            if self._fleet.find_by_vm(order.vm) is None:
                # Its worker may register until the order has taken effect.
                self._fleet.cordon(order.vm)
        if not orders:
            return
        if await self._store_orders(progress, orders):
            self._send(progress, orders, finish)
        else:
            for order in orders:
                self._fleet.lift_cordon(order.vm, now)

    async def _complete(self, progress: WaveProgress, vm_list: VmList) -> None:
        number = progress.wave.number
        if not self._status.is_shown_completed(number):
            counted = progress.find_counted(vm_list)
            self._log.note_counted(progress, counted, read_clock())
        await self._status.complete(number)

    def _make_unlisted_views(
        self, progress: WaveProgress, vm_list: VmList
    ) -> list[VmView]:
        """Return the VMs that may have been removed from the fleet.

        Leases that a former leader has granted to a worker without an entry
        have lapsed by then.
        """
        lapsed = compute_lapse_seconds(self._hold_seconds)
        unlisted = progress.find_unlisted(vm_list, lapsed)
        unplaced = bool(unlisted) and _has_unplaced(self._fleet, vm_list)
        views = []
        for name in unlisted:
            if name in self._orders.busy:
                continue
            link = self._fleet.find_by_vm(name)
            vm = FleetVm(name, '', FleetVmState.UNKNOWN, (), Resources(), '')
            worker = None if link is None else link.worker
            may_be_ordered = worker is not None or not unplaced
            views.append(
                VmView(
                    vm,
                    worker,
                    unlisted=may_be_ordered,
                    lapsed=link is not None and link.is_lapsed(),
                )
            )
        return views

    def _send(
        self,
        progress: WaveProgress,
        orders: Sequence[MaintainVm],
        finish: Callable[[], None],
    ) -> None:
        for order in orders:
            self._planner.note_ordered(progress, order.vm)
            self._orders.begin(
                order.vm, self._maintain(order, progress), finish
            )

    async def _find_progress(
        self, wave: MaintenanceWave, now: float
    ) -> WaveProgress | None:
        progress = self._progress.get(wave.number)
        if progress is None:
            record = await self._status.begin(wave.number)
            if record is None:
                return None
            progress = WaveProgress(wave, now, self._quiet_until)
            progress.note_recorded(record.begun)
            progress.note_former_orders(record.ordered)
            progress.note_former_removals(record.removed)
            self._progress[wave.number] = progress
        elif progress.wave != wave:
            await self._replace_request(progress, wave)
        return progress

    async def _replace_request(
        self, progress: WaveProgress, wave: MaintenanceWave
    ) -> None:
        """Follow a request that operators have changed."""
        added = set(wave.vms) - set(progress.wave.vms)
        if added and not await self._status.reopen(wave.number):
            return
        progress.wave = wave

    async def _maintain(
        self, order: MaintainVm, progress: WaveProgress
    ) -> None:
        # A further attempt may be answered after the VM's next worker joined.
        link = self._fleet.find_by_vm(order.vm)
        term = self._election.token
        answer = await self._orders.maintain(order.vm, order.wave)
        self._lift_cordon(order.vm, answer)
        if isinstance(answer, Err):
            await self._note_fault(progress, order.vm, answer.err_value.kind)
            return
        now = read_clock()
        self._planner.note_begun(progress, order.vm, now, term)
        if link is None:
            # One that registered meanwhile, before the maintenance or after it.
            link = self._fleet.find_by_vm(order.vm)
        if link is not None:
            link.maintained_at = now
        await self._store(progress)

    def _lift_cordon(self, vm: str, answer: Outcome) -> None:
        until = read_clock()
        if (
            isinstance(answer, Err)
            and answer.err_value.kind is CallFaultKind.UNKNOWN
        ):
            until += UNCONFIRMED_ORDER_SECONDS
        self._fleet.lift_cordon(vm, until)

    async def _note_fault(
        self, progress: WaveProgress, vm: str, kind: CallFaultKind
    ) -> None:
        """Record that an order was refused or not answered."""
        now = read_clock()
        if kind in _REFUSALS:
            known = kind is not CallFaultKind.NOT_FOUND
            self._planner.note_refused(progress, vm, now, known=known)
        else:
            uncertain = kind is CallFaultKind.UNKNOWN
            self._planner.note_failed(
                progress, vm, now, outcome_unknown=uncertain
            )
        if kind is not CallFaultKind.UNKNOWN:
            self._fleet.readmit(vm)
        if vm in progress.removed:
            await self._store(progress)

    async def _store_orders(
        self, progress: WaveProgress, orders: Sequence[MaintainVm]
    ) -> bool:
        """Store orders before they are sent; return whether they may be.

        An order without an answer may take effect seconds later, when another
        daemon leads.
        """
        vms = {order.vm for order in orders}
        progress.ordered |= vms
        if self._status.has_stored_orders(progress.wave.number, vms):
            return True
        return await self._store(progress)

    async def _store(self, progress: WaveProgress) -> bool:
        begun = {vm: row.term for vm, row in progress.begun.items()}
        record = WaveRecord(
            begun, frozenset(progress.ordered), frozenset(progress.removed)
        )
        return await self._status.store(progress.wave.number, record)


def _has_unplaced(fleet: WorkerFleet, vm_list: VmList) -> bool:
    """Return whether a worker may run on any VM that isn't listed.

    Neither its entry nor the list tells its VM. Nothing runs on one that
    doesn't answer and has no lease left, as for an entry of another writer.
    """
    placed = {vm.worker for vm in vm_list.vms.values()}
    return any(
        not link.worker.entry.vm
        and link.name not in placed
        and not (link.ended or link.is_lapsed())
        for link in fleet.links.values()
    )
