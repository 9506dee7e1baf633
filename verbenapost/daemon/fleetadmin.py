"""Operator access to VMs, pools, services and budgets."""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.pools.budget_store import BudgetStore
from verbenapost.coordination.pools.marked_writer import MarkedWriter
from verbenapost.coordination.roster import Roster
from verbenapost.daemon.fleet import KeeperHost
from verbenapost.daemon.queues import QueueHost
from verbenapost.protocol.admin import (
    BudgetStatus,
    PoolStatus,
    ServiceStatus,
    VmRequest,
)
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import StorePort
from verbenapost.state.budgets import BudgetRecord
from verbenapost.state.configuration import OwnedService
from verbenapost.state.documents import PoolSpec
from verbenapost.state.vms import VmRecord, VmState

_LEAVING = (
    VmState.DRAINING,
    VmState.IN_MAINTENANCE,
    VmState.RETURNING,
)


@final
class FleetAdmin:
    """Shows VMs, pools, services and budgets, and changes VMs.

    :param store: the platform's store.
    :param incarnation: random identifier chosen at each process start.
    :param configuration: configuration in force.
    :param directory: current VM records.
    :param host: executes changes of VMs.
    :param queues: queues that this daemon owns.
    :param roster: live members.
    """

    def __init__(
        self,
        store: StorePort,
        incarnation: str,
        configuration: ConfigurationService,
        directory: VmDirectory,
        host: KeeperHost,
        queues: QueueHost,
        roster: Roster,
    ) -> None:
        self._budgets = BudgetStore(MarkedWriter(store, f'{incarnation}-desk'))
        self._configuration = configuration
        self._directory = directory
        self._host = host
        self._queues = queues
        self._roster = roster

    async def list_vms(self) -> Result[Sequence[VmRecord], Failure]:
        """Return the records of all VMs."""
        return Ok(tuple(self._list_records()))

    async def change_vm(self, request: VmRequest) -> Result[VmRecord, Failure]:
        """Start a move, a drain or a return of a VM."""
        if request.vm not in self._directory.vms:
            detail = f'There is no VM {request.vm}.'
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        return await self._host.change_vm(request)

    async def list_pools(self) -> Result[Sequence[PoolStatus], Failure]:
        """Return all pools."""
        pools = self._configuration.view.pools
        return Ok(
            tuple(
                self._describe_pool(name, spec)
                for name, spec in sorted(pools.items())
            ),
        )

    async def list_services(self) -> Result[Sequence[ServiceStatus], Failure]:
        """Return all services."""
        services = self._configuration.view.services
        return Ok(
            tuple(
                self._describe_service(name, owned)
                for name, owned in sorted(services.items())
            ),
        )

    async def list_budgets(self) -> Result[Sequence[BudgetStatus], Failure]:
        """Return all availability budgets."""
        stored = await self._budgets.read_all()
        if isinstance(stored, Err):
            return stored
        services = self._configuration.view.services
        return Ok(
            tuple(
                self._describe_budget(name, owned, stored.ok_value)
                for name, owned in sorted(services.items())
            ),
        )

    def _list_records(self) -> list[VmRecord]:
        vms = self._directory.vms
        return [vms[name].record for name in sorted(vms)]

    def _describe_pool(self, name: str, spec: PoolSpec) -> PoolStatus:
        states = Counter(
            record.state
            for record in self._list_records()
            if record.pool == name
        )
        return PoolStatus(
            name=name,
            need=spec.vms,
            in_service=states[VmState.IN_SERVICE],
            leaving=sum(states[state] for state in _LEAVING),
            failed=states[VmState.FAILED],
            spare=spec.spare,
        )

    def _describe_service(
        self,
        name: str,
        owned: OwnedService,
    ) -> ServiceStatus:
        targets = len(self._directory.list_serving(owned.spec.pool))
        running, waiting = self._queues.count_requests(name)
        return ServiceStatus(
            name=name,
            team=owned.team,
            pool=owned.spec.pool,
            targets=targets,
            slots=targets * owned.spec.slots,
            running=running,
            waiting=waiting,
            owner=self._roster.find_queue_owner(name) or '',
        )

    def _describe_budget(
        self,
        name: str,
        owned: OwnedService,
        stored: Mapping[str, BudgetRecord],
    ) -> BudgetStatus:
        record = stored.get(name, BudgetRecord())
        budget = owned.spec.budget
        return BudgetStatus(
            service=name,
            team=owned.team,
            min_healthy=budget.min_healthy,
            healthy=len(self._directory.list_serving(owned.spec.pool)),
            max_planned=budget.max_planned,
            planned=len(record.grants),
            survive=budget.survive.value,
            stopped=record.stopped,
        )
