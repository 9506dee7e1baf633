"""Demands of the pools and VMs by rack, the input of the assignment."""

import collections
import dataclasses
from collections.abc import Collection, Mapping
from typing import TypeAlias, final

from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.records import Fleet
from verbenapost.state.documents import AvailabilityBudget, FailureDomain
from verbenapost.state.vms import VmState

#: VMs that planned work may take out in addition to the loss of a failure
#: domain.
PLANNED_OUTAGE_RESERVE = 1

RackKey: TypeAlias = tuple[str, str]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Rack:
    """Number of usable VMs of a rack by pool.

    :param data_centre: data centre of the rack.
    :param name: rack, unique within the data centre.
    :param pools: number of VMs in each pool.
    """

    data_centre: str
    name: str
    pools: Mapping[str, int]

    @property
    def key(self) -> RackKey:
        """Return the identifier of the rack, unique in the region."""
        return self.data_centre, self.name

    @property
    def size(self) -> int:
        """Return the number of VMs."""
        return sum(self.pools.values())


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Number of VMs that a pool requires.

    :param pool: name of the pool.
    :param vms: VMs that the pool needs at peak load.
    :param min_after_loss: VMs that must remain immediately after the loss of a
        failure domain, before any replacement.
    :param survive: failure domain whose loss the pool must survive.
    """

    pool: str
    vms: int
    min_after_loss: int = 0
    survive: FailureDomain = FailureDomain.RACK


def read_racks(fleet: Fleet, leaving: Collection[str] = ()) -> list[Rack]:
    """Return the racks with the VMs that are or will be in service.

    :param fleet: VM records.
    :param leaving: names of VMs that the platform is about to remove.
    """
    counts: dict[RackKey, collections.Counter[str]] = {}
    for vm in fleet:
        if vm.state is VmState.FAILED or vm.name in leaving:
            continue
        key = (vm.data_centre, vm.rack)
        pools = counts.setdefault(key, collections.Counter())
        pools[vm.next_pool or vm.pool] += 1
    return [Rack(*key, pools) for key, pools in sorted(counts.items())]


def read_demands(policy: FleetPolicy) -> list[Demand]:
    """Return the demand of each pool, set by the strictest services.

    Explanation
    ===========

    Each pool has a reserve for one planned outage in addition to the loss
    that its budgets survive. Without the reserve, a wave could never take a
    VM of the pool out of service.
    """
    order = list(FailureDomain)
    demands: list[Demand] = []
    for pool, spec in sorted(policy.pools.items()):
        budgets = policy.find_budgets(pool).values()
        survive = max((budget.survive for budget in budgets), key=order.index)
        min_after_loss = max(_find_min_after_loss(budget) for budget in budgets)
        demands.append(Demand(pool, spec.vms, min_after_loss, survive))
    return demands


def _find_min_after_loss(budget: AvailabilityBudget) -> int:
    return budget.min_healthy + min(PLANNED_OUTAGE_RESERVE, budget.max_planned)
