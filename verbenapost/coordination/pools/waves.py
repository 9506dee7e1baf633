"""Selection of the VMs that a maintenance wave takes out of service."""

import dataclasses
from collections.abc import Collection, Mapping
from typing import final

from verbenapost.coordination.pools.budget_rules import BudgetView, build_view
from verbenapost.coordination.pools.policy import FleetPolicy, find_domain
from verbenapost.coordination.pools.records import Fleet
from verbenapost.state.budgets import BudgetRecord, OutageGrant
from verbenapost.state.vms import VmRecord, VmState
from verbenapost.state.waves import WaveRecord

#: Reason of a VM that a maintenance wave takes out of service.
MAINTENANCE = 'maintenance'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WavePlan:
    """Next outages of a maintenance wave.

    :param starts: VMs whose outages may start now and overlap.
    :param waiting: reason for each other VM that is due.
    """

    starts: tuple[str, ...]
    waiting: Mapping[str, str]


@final
class PoolQueue:
    """The due VMs of one pool, with the budgets of the pool's services.

    :param views: budget view of each service of the pool.
    :param due: VMs of the pool that are due.
    """

    def __init__(
        self,
        views: Mapping[str, BudgetView],
        due: Collection[VmRecord],
    ) -> None:
        self._views = dict(views)
        self._due = list(due)

    def choose_starts(self) -> WavePlan:
        """Choose VMs as long as all budgets allow one more outage."""
        starts: list[str] = []
        while True:
            vm = self._find_next()
            if vm is None:
                return WavePlan(tuple(starts), self._list_refusals())
            starts.append(vm.name)
            self._due.remove(vm)
            self._assume_granted(vm)

    def _find_next(self) -> VmRecord | None:
        allowed = (vm for vm in self._due if not self._find_refusal(vm))
        return min(allowed, key=self._rank, default=None)

    def _rank(self, vm: VmRecord) -> tuple[int, float, str]:
        """Rank VMs of the largest failure domains first.

        The loss of the largest domain limits the budgets.
        """
        sizes = (_measure_domain(view, vm) for view in self._views.values())
        return -sum(sizes), vm.maintained_at, vm.name

    def _find_refusal(self, vm: VmRecord) -> str:
        for service, view in self._views.items():
            refusal = view.find_refusal(vm)
            if refusal:
                return f'{service}: {refusal}'
        return ''

    def _assume_granted(self, vm: VmRecord) -> None:
        grant = OutageGrant(vm.name, MAINTENANCE, 0, '', 0)
        for service, view in self._views.items():
            grants = (*view.record.grants, grant)
            record = dataclasses.replace(view.record, grants=grants)
            self._views[service] = dataclasses.replace(view, record=record)

    def _list_refusals(self) -> dict[str, str]:
        return {vm.name: self._find_refusal(vm) for vm in self._due}


def plan_wave(
    policy: FleetPolicy,
    fleet: Fleet,
    budgets: Mapping[str, BudgetRecord],
    wave: WaveRecord,
    leaving: Collection[str] = (),
) -> WavePlan:
    """Choose the VMs that the wave takes out of service next.

    :param policy: configuration in force.
    :param fleet: VM records.
    :param budgets: budget records by service.
    :param wave: record of the wave.
    :param leaving: names of VMs that the platform is about to remove.
    """
    due = [
        vm
        for vm in fleet
        if vm.maintained_at < wave.due_before and vm.name not in leaving
    ]
    if wave.stopped:
        return WavePlan((), dict.fromkeys((vm.name for vm in due), 'stopped'))
    plans = [
        build_queue(policy, fleet, budgets, pool, due).choose_starts()
        for pool in sorted({vm.pool for vm in due})
    ]
    starts = tuple(name for plan in plans for name in plan.starts)
    waiting: dict[str, str] = {}
    for plan in plans:
        waiting.update(plan.waiting)
    return WavePlan(starts, waiting)


def build_queue(
    policy: FleetPolicy,
    fleet: Fleet,
    budgets: Mapping[str, BudgetRecord],
    pool: str,
    due: Collection[VmRecord],
) -> PoolQueue:
    """Return the queue of the due VMs that belong to a pool."""
    views = {
        service: build_view(
            budget,
            pool,
            fleet,
            budgets.get(service, BudgetRecord()),
        )
        for service, budget in policy.find_budgets(pool).items()
    }
    return PoolQueue(views, [vm for vm in due if vm.pool == pool])


def _measure_domain(view: BudgetView, vm: VmRecord) -> int:
    survive = view.budget.survive
    domain = find_domain(vm, survive)
    return sum(
        find_domain(other, survive) == domain
        for other in view.healthy
        if other.state is VmState.IN_SERVICE
    )
