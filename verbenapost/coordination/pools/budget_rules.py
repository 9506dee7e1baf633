"""Rules that decide whether an availability budget allows an outage."""

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
    """The budget of a service with the pool's VMs and granted outages.

    Explanation
    ===========

    A VM is out of service if its record says so or if the VM has a grant,
    whether or not the grant has expired. A VM that is out of service without
    a grant counts as an unplanned outage, unless its record names a next
    pool, as the record of a replaced VM does.

    :param budget: availability budget of the service.
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
        """Return the number of unplanned outages in the pool."""
        granted = self.granted
        return sum(
            _is_unplanned_outage(vm)
            for vm in self.members
            if vm.name not in granted
        )

    def count_margin(self) -> int:
        """Return how many VMs above ``min_healthy`` remain.

        The loss of the largest failure domain is already subtracted; the
        result is negative if that loss is not covered.
        """
        return self._measure_margin(self.healthy)

    def find_refusal(self, vm: VmRecord, *, urgent: bool = False) -> str:
        """Return why a VM may not leave service, or an empty string.

        :param urgent: the VM replaces a failed VM elsewhere, so only the
            healthy VMs that remain are checked.
        """
        if vm.state is not VmState.IN_SERVICE:
            return f'it is {vm.state}'
        if vm.name in self.granted:
            return 'it has a grant'
        remaining = [other for other in self.healthy if other.name != vm.name]
        if len(remaining) < self.budget.min_healthy:
            return f'{len(remaining)} VMs would stay, min_healthy is more'
        if self._measure_margin(remaining) < 0:
            return f'the loss of one {self.budget.survive} is not covered'
        return '' if urgent else self._find_planned_refusal()

    def find_start_refusal(self, *, urgent: bool = False) -> str:
        """Return why a granted outage must not start, or an empty string.

        Failures may have used the budget since the grant.

        :param urgent: the VM replaces a failed VM elsewhere, so only the
            margin is checked.
        """
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

    def _find_planned_refusal(self) -> str:
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
    """Return the budget view of a service on the VMs of a pool."""
    return BudgetView(budget, tuple(fleet.list_pool(pool)), record)


def _is_unplanned_outage(vm: VmRecord) -> bool:
    return vm.state is not VmState.IN_SERVICE and vm.next_pool is None
