"""Pool and service configuration used by the pool keeper."""

import dataclasses
from collections.abc import Mapping
from typing import final

from verbenapost.state.documents import (
    DEFAULT_MAINTENANCE_DAYS,
    MAX_COUNT,
    AvailabilityBudget,
    FailureDomain,
    PoolSpec,
    ServiceSpec,
)
from verbenapost.state.vms import VmRecord

_UNLIMITED_BUDGET = AvailabilityBudget(
    min_healthy=0,
    max_planned=MAX_COUNT,
    survive=FailureDomain.VM,
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FleetPolicy:
    """Pools and services of all configuration documents.

    :param pools: pools by name.
    :param services: services of all teams by name.
    :param maintenance_days: days within which each VM is maintained once.
    """

    pools: Mapping[str, PoolSpec]
    services: Mapping[str, ServiceSpec]
    maintenance_days: float = DEFAULT_MAINTENANCE_DAYS

    @property
    def spare_pool(self) -> str:
        """Return the pool of new VMs, or an empty string if there is none."""
        spares = (name for name, spec in self.pools.items() if spec.spare)
        return min(spares, default='')

    def find_budgets(self, pool: str) -> dict[str, AvailabilityBudget]:
        """Return the budgets that must grant an outage in a pool.

        Explanation
        ===========

        A pool without services has one unlimited budget under a name that no
        service can have, so that concurrent keepers conflict on a budget
        record there too.

        Examples
        ========

        >>> sorted(FleetPolicy({}, {}).find_budgets('idle'))
        ['pool.idle']
        """
        found = {
            name: spec.budget
            for name, spec in self.services.items()
            if spec.pool == pool
        }
        return found or {f'pool.{pool}': _UNLIMITED_BUDGET}


def find_domain(record: VmRecord, survive: FailureDomain) -> str:
    """Return the name of the failure domain that a VM is in.

    Examples
    ========

    >>> vm = VmRecord('cs-1', '', 'booking', data_centre='a', rack='r1')
    >>> find_domain(vm, FailureDomain.RACK)
    'a/r1'
    """
    if survive is FailureDomain.VM:
        return record.name
    if survive is FailureDomain.RACK:
        return f'{record.data_centre}/{record.rack}'
    return record.data_centre
