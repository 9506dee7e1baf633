"""Operators' calls on VMs, pools, services and budgets."""

import dataclasses
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.pools.budget_rules import BudgetView
from verbenapost.coordination.pools.budget_store import BudgetStore
from verbenapost.protocol.admin import (
    BudgetStatus,
    PoolStatus,
    ServiceStatus,
    VmRequest,
)
from verbenapost.protocol.errors import Failure
from verbenapost.state.budgets import BudgetRecord
from verbenapost.state.configuration import ConfigurationView, OwnedService
from verbenapost.state.documents import PoolSpec
from verbenapost.state.vms import VmRecord, VmState


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FleetViews:
    """What the calls read.

    :param directory: VM records as this daemon knows them.
    :param read_view: returns the configuration in force.
    :param find_owner: returns the owner of a service's queue.
    :param count_waiting: returns the waiting requests of a service whose
        queue is held here, ``None`` for others.
    """

    directory: VmDirectory
    read_view: Callable[[], ConfigurationView]
    find_owner: Callable[[str], str | None]
    count_waiting: Callable[[str], int | None]


ChangeVm = Callable[[VmRequest], Awaitable[Result[VmRecord, Failure]]]


@final
class FleetAdmin:
    """Answers from what this daemon knows.

    :param views: what the calls read.
    :param budgets: budget records in the store.
    :param change: takes a VM out, or lets it return, for an operator.
    """

    def __init__(
        self,
        views: FleetViews,
        budgets: BudgetStore,
        change: ChangeVm,
    ) -> None:
        self._views = views
        self._budgets = budgets
        self._change = change

    async def list_vms(self) -> Result[Sequence[VmRecord], Failure]:
        """Return the VM records that this daemon knows."""
        return Ok(self._list_records())

    async def change_vm(self, request: VmRequest) -> Result[VmRecord, Failure]:
        """Take a VM out, or let it return."""
        return await self._change(request)

    async def list_pools(self) -> Result[Sequence[PoolStatus], Failure]:
        """Return the pools of the configuration with their VMs."""
        counts = Counter((vm.pool, vm.state) for vm in self._list_records())
        pools = self._views.read_view().pools
        rows = [
            _count_pool(name, pools[name], counts) for name in sorted(pools)
        ]
        return Ok(rows)

    async def list_services(self) -> Result[Sequence[ServiceStatus], Failure]:
        """Return the services of the configuration."""
        services = self._views.read_view().services
        rows = [
            self._describe(name, owned)
            for name, owned in sorted(services.items())
        ]
        return Ok(rows)

    async def list_budgets(self) -> Result[Sequence[BudgetStatus], Failure]:
        """Return each service's budget with its granted outages."""
        read = await self._budgets.read_all()
        if isinstance(read, Err):
            return read
        services = self._views.read_view().services
        rows = [
            self._measure(name, owned, read.ok_value.get(name, BudgetRecord()))
            for name, owned in sorted(services.items())
        ]
        return Ok(rows)

    def _list_records(self) -> list[VmRecord]:
        vms = self._views.directory.vms
        return [vms[name].record for name in sorted(vms)]

    def _describe(self, name: str, owned: OwnedService) -> ServiceStatus:
        spec = owned.spec
        targets = len(self._views.directory.list_serving(spec.pool))
        return ServiceStatus(
            name=name,
            team=owned.team,
            pool=spec.pool,
            targets=targets,
            slots=targets * spec.slots,
            waiting=self._views.count_waiting(name),
            owner=self._views.find_owner(name) or '',
        )

    def _measure(
        self,
        name: str,
        owned: OwnedService,
        record: BudgetRecord,
    ) -> BudgetStatus:
        budget = owned.spec.budget
        members = [
            vm for vm in self._list_records() if vm.pool == owned.spec.pool
        ]
        view = BudgetView(budget, tuple(members), record)
        return BudgetStatus(
            service=name,
            team=owned.team,
            min_healthy=budget.min_healthy,
            healthy=len(view.healthy),
            max_planned=budget.max_planned,
            planned=view.count_planned(),
            unplanned=view.count_unplanned(),
            survive=budget.survive,
            stopped=record.stopped,
        )


def _count_pool(
    name: str,
    spec: PoolSpec,
    counts: Counter[tuple[str, VmState]],
) -> PoolStatus:
    leaving = (VmState.DRAINING, VmState.IN_MAINTENANCE, VmState.RETURNING)
    return PoolStatus(
        name=name,
        need=spec.vms,
        in_service=counts[name, VmState.IN_SERVICE],
        leaving=sum(counts[name, state] for state in leaving),
        failed=counts[name, VmState.FAILED],
        spare=spec.spare,
    )
