"""Quotas of tenants: what each one has running, and what it may start.

Load pattern: one tenant submits far more work than its cap allows to run, over
all pools, while workers answer late, are lost or restart, and while leaders are
replaced. What may be running counts as running, so that the cap holds as the
workers see it.
"""

import sys
from collections.abc import Callable, Iterator, Mapping
from typing import Final

from verbenapost.coordination.scheduling.jobs import StepRun
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.state.resources import Resources
from verbenapost.state.tenants import TenantTerms
from verbenapost.state.workloads import JobSpec

#: Number of starts that no cap limits.
UNLIMITED: Final = sys.maxsize

#: Weight of the jobs that belong to no tenant, as one group.
NO_TENANT_WEIGHT: Final = 1.0

_NOTHING: Final = Resources()

#: Returns the terms of a tenant in the version in force, if it has them.
FindTerms = Callable[[str], TenantTerms | None]

#: Returns what inherited jobs of each tenant may be running unseen.
CountInherited = Callable[[Moment], Mapping[str, Resources]]


class TenantUsage:
    """Declared sizes of the tasks of each tenant that may be running.

    Tasks of no tenant are counted under the empty name, but not in the total.

    Examples
    ========

    >>> total = TenantUsage()
    >>> usage = TenantUsage(total)
    >>> usage.add('a', Resources(500, 100))
    >>> usage.add('a', Resources(500, 100))
    >>> usage.remove('a', Resources(500, 100))
    >>> total.read('a')
    Resources(cpu=500, memory=100, gpus=0)

    :param total: usage over all pools, which includes this one.
    """

    def __init__(self, total: 'TenantUsage | None' = None) -> None:
        self._total = total
        self._counts: dict[str, _Count] = {}

    def __iter__(self) -> Iterator[str]:
        """Yield the tenants with tasks that may be running."""
        return iter(tuple(self._counts))

    def add(self, tenant: str, size: Resources) -> None:
        """Count a task."""
        count = self._counts.get(tenant)
        if count is None:
            count = _Count()
            self._counts[tenant] = count
        # Called for each booking, so no Resources are created here.
        count.tasks += 1
        count.cpu += size.cpu
        count.memory += size.memory
        count.gpus += size.gpus
        if tenant and self._total is not None:
            self._total.add(tenant, size)

    def remove(self, tenant: str, size: Resources) -> None:
        """Stop counting a task that was counted before."""
        count = self._counts[tenant]
        count.tasks -= 1
        count.cpu -= size.cpu
        count.memory -= size.memory
        count.gpus -= size.gpus
        if not count.tasks:
            self._counts.pop(tenant)
        if tenant and self._total is not None:
            self._total.remove(tenant, size)

    def read(self, tenant: str) -> Resources:
        """Return the total size of a tenant's tasks."""
        count = self._counts.get(tenant)
        if count is None:
            return _NOTHING
        return Resources(count.cpu, count.memory, count.gpus)


class QuotaGate:
    """Decides whether a tenant may start more tasks under its cap.

    Explanation
    ===========

    A task may start while its tenant's use is below the cap in each limited
    resource, so that one that is larger than the cap can run alone. A gang may
    start if its last member may once the others are booked.

    :param find_terms: finds a tenant's terms in the version in force.
    :param count_inherited: counts what may be running unseen after a takeover.
    :ivar usage: what is known to be running, or may be, over all pools.
    """

    def __init__(
        self,
        find_terms: FindTerms | None = None,
        count_inherited: CountInherited | None = None,
    ) -> None:
        self.usage = TenantUsage()
        self._find_terms = find_terms
        self._count_inherited = count_inherited
        self._inherited: Mapping[str, Resources] = {}

    def begin_round(self, moment: Moment) -> None:
        """Update what inherited jobs may be running unseen."""
        if self._count_inherited is not None:
            self._inherited = self._count_inherited(moment)

    def find_terms(self, stored: TenantTerms) -> TenantTerms:
        """Return a tenant's terms in force, else those stored with a job."""
        if self._find_terms is None:
            return stored
        return self._find_terms(stored.name) or stored

    def find_weight(self, stored: TenantTerms | None) -> float:
        """Return a tenant's weight, or that of the jobs of no tenant."""
        if stored is None:
            return NO_TENANT_WEIGHT
        return self.find_terms(stored).weight

    def read_use(self, tenant: str) -> Resources:
        """Return what a tenant has or may have running over all pools."""
        inherited = self._inherited.get(tenant)
        used = self.usage.read(tenant)
        return used if inherited is None else used.plus(inherited)

    def may_start(self, stored: TenantTerms) -> bool:
        """Return whether a tenant is below its cap.

        :param stored: terms that are stored with the tenant's job.
        """
        cap = self.find_terms(stored).cap
        return _is_below(self.read_use(stored.name), cap)

    def is_capped(self, stored: TenantTerms | None) -> bool:
        """Return whether a job's tenant, if it has one, is at its cap."""
        return stored is not None and not self.may_start(stored)

    def count_startable(
        self,
        stored: TenantTerms,
        size: Resources,
        reserved: Resources = _NOTHING,
    ) -> int:
        """Return how many tasks of one size a tenant may start now.

        :param stored: terms that are stored with the tenant's job.
        :param size: declared size of each task.
        :param reserved: size of the tenant's tasks for which capacity is
            reserved.
        """
        cap = self.find_terms(stored).cap
        return _count_startable(
            self.read_use(stored.name).plus(reserved), size, cap
        )


class StartableTasks:
    """Counts the waiting tasks that the caps of their tenants let start.

    A tenant at its cap is below it for a moment whenever a task ends. What its
    cap lets start then is little, whatever the tenant has waiting.

    :param gate: caps of the tenants.
    """

    def __init__(self, gate: QuotaGate) -> None:
        self._gate = gate
        self._counted: dict[str, Resources] = {}

    def count(self, step: StepRun) -> int:
        """Return how many of a step's waiting tasks may start.

        :param step: the step, after those that start before it.
        """
        waiting = step.count_waiting()
        tenant = step.job.spec.tenant
        if tenant is None or not waiting:
            return waiting
        size = step.spec.size
        counted = self._counted.get(tenant.name, _NOTHING)
        startable = min(
            waiting, self._gate.count_startable(tenant, size, counted)
        )
        self._counted[tenant.name] = Resources(
            counted.cpu + startable * size.cpu,
            counted.memory + startable * size.memory,
            counted.gpus + startable * size.gpus,
        )
        return startable


def may_ever_start(size: Resources, count: int, cap: Resources) -> bool:
    """Return whether a gang can start while its tenant runs nothing else.

    >>> may_ever_start(Resources(1000), 4, Resources(3500))
    True
    >>> may_ever_start(Resources(1000), 4, Resources(3000))
    False

    :param size: declared size of each member.
    :param count: number of members.
    :param cap: cap of the tenant.
    """
    return _count_startable(_NOTHING, size, cap) >= count


def may_job_start(spec: JobSpec, cap: Resources) -> bool:
    """Return whether a cap lets each gang of a job start at some time.

    :param spec: the job.
    :param cap: cap of the job's tenant.
    """
    return all(
        may_ever_start(step.size, step.count, cap)
        for step in spec.steps
        if step.gang
    )


class _Count:
    """Tasks of a tenant, and the sum of their sizes."""

    __slots__ = ('cpu', 'gpus', 'memory', 'tasks')

    def __init__(self) -> None:
        self.tasks = 0
        self.cpu = 0
        self.memory = 0
        self.gpus = 0


def _is_below(used: Resources, cap: Resources) -> bool:
    return (
        (not cap.cpu or used.cpu < cap.cpu)
        and (not cap.memory or used.memory < cap.memory)
        and (not cap.gpus or used.gpus < cap.gpus)
    )


def _count_startable(used: Resources, size: Resources, cap: Resources) -> int:
    return min(
        _count_below(used.cpu, size.cpu, cap.cpu),
        _count_below(used.memory, size.memory, cap.memory),
        _count_below(used.gpus, size.gpus, cap.gpus),
    )


def _count_below(used: int, size: int, cap: int) -> int:
    """Return how many tasks start one after another below a limit."""
    if not cap:
        return UNLIMITED
    if used >= cap:
        return 0
    return -((used - cap) // size) if size else UNLIMITED
