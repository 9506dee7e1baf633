"""Whether an availability budget allows one more outage."""

import collections
import dataclasses
from typing import final

from verbenapost.coordination.pools.policy import find_domain
from verbenapost.coordination.pools.records import Fleet
from verbenapost.state.budgets import BudgetRecord
from verbenapost.state.documents import AvailabilityBudget
from verbenapost.state.vms import VmRecord, VmState


@final
@dataclasses.dataclass(frozen=True, slots=True)
class BudgetView:
    """A service's budget, its pool's VMs and the granted outages.

    Explanation
    ===========

    A VM is out when its record is not in service or when it has a grant,
    whether or not the grant has expired. A VM that is out without a grant
    is missed, unless its record names the pool it will return to, as that
    of a replaced VM does.

    :param budget: the service's availability budget.
    :param members: records of the pool's VMs.
    :param record: granted outages.
    """

    budget: AvailabilityBudget
    members: tuple[VmRecord, ...]
    record: BudgetRecord

    @property
    def granted(self) -> frozenset[str]:
        """Return the names of VMs with a grant."""
        return frozenset(grant.vm for grant in self.record.grants)

    @property
    def healthy(self) -> list[VmRecord]:
        """Return the VMs that are in service and have no grant."""
        granted = self.granted
        return [
            vm
            for vm in self.members
            if vm.state is VmState.IN_SERVICE and vm.name not in granted
        ]

    def count_planned(self) -> int:
        """Return the number of granted outages in the pool."""
        granted = self.granted
        return sum(vm.name in granted for vm in self.members)

    def count_unplanned(self) -> int:
        """Return the number of VMs that are missed without a grant."""
        granted = self.granted
        return sum(
            _is_missed(vm) for vm in self.members if vm.name not in granted
        )

    def count_margin(self) -> int:
        """Return the VMs above ``min_healthy`` after the largest loss."""
        return self._measure_margin(self.healthy)

    def refuse(self, vm: VmRecord, *, urgent: bool = False) -> str:
        """Return why the VM may not leave the service, empty if it may.

        :param urgent: the VM replaces a failed one elsewhere, so only what
            stays healthy counts.
        """
        if vm.state is not VmState.IN_SERVICE:
            return f'it is {vm.state}'
        if vm.name in self.granted:
            return 'it has a grant'
        left = [other for other in self.healthy if other.name != vm.name]
        if len(left) < self.budget.min_healthy:
            return f'{len(left)} VMs would stay, min_healthy is more'
        if self._measure_margin(left) < 0:
            return f'the loss of one {self.budget.survive} is not covered'
        return '' if urgent else self._refuse_planned()

    def refuse_start(self, *, urgent: bool = False) -> str:
        """Return why a granted outage has to wait after all."""
        if self.count_margin() < 0:
            return 'failures leave no margin'
        if urgent:
            return ''
        if self.record.stopped:
            return 'planned work is stopped'
        out = self.count_planned() + self.count_unplanned()
        if out > self.budget.max_planned:
            return 'failures use the budget'
        return ''

    def _refuse_planned(self) -> str:
        if self.record.stopped:
            return 'planned work is stopped'
        out = self.count_planned() + self.count_unplanned()
        if out >= self.budget.max_planned:
            return f'{out} VMs are out, max_planned is reached'
        return ''

    def _measure_margin(self, healthy: list[VmRecord]) -> int:
        domains = collections.Counter(
            find_domain(vm, self.budget.survive) for vm in healthy
        )
        largest = max(domains.values(), default=0)
        return len(healthy) - largest - self.budget.min_healthy


def build_view(
    budget: AvailabilityBudget,
    pool: str,
    fleet: Fleet,
    record: BudgetRecord,
) -> BudgetView:
    """Return the view of a service on the VMs of a pool."""
    return BudgetView(budget, tuple(fleet.list_pool(pool)), record)


def _is_missed(vm: VmRecord) -> bool:
    return vm.state is not VmState.IN_SERVICE and vm.next_pool is None
