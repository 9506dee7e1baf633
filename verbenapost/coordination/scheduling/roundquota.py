"""Caps and fair shares of tenants in one round of planning in a pool."""

from collections.abc import Callable, Hashable, Iterable

from verbenapost.coordination.scheduling.fairness import (
    FairOrder,
    sum_capacity,
)
from verbenapost.coordination.scheduling.jobs import StepRun, Task
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.quotas import (
    UNLIMITED,
    TenantUsage,
    may_ever_start,
)


class RoundQuota:
    """Applies the caps and fair shares of tenants to one round of a pool.

    A pool without tenants has no caps, and its steps keep their order.

    :param pool_state: state of the pool.
    :param moment: time of the round.
    """

    def __init__(self, pool_state: PoolState, moment: Moment) -> None:
        self._pool_state = pool_state
        self._gate = pool_state.gate
        if pool_state.has_tenants:
            self._gate.begin_round(moment)
        # Tasks for which capacity is reserved in this round, by tenant.
        self._reserved = TenantUsage()
        # Tenants whose later steps leave their cap to a gang that waits for it.
        self._yielding: set[str] = set()

    def prune_reservations(self) -> None:
        """Remove reservations that have ended or whose tenant is at its cap."""
        self._pool_state.reservations.prune(
            self._may_start if self._pool_state.has_tenants else None
        )

    def exclude_capped(self, steps: list[StepRun]) -> list[StepRun]:
        """Return the steps whose tenants are not at their caps."""
        if not self._pool_state.has_tenants:
            return steps
        return [
            step
            for step in steps
            if not self._gate.is_capped(step.job.spec.tenant)
        ]

    def arrange(
        self,
        steps: list[StepRun],
        classify: Callable[[StepRun], Hashable],
    ) -> Iterable[StepRun]:
        """Return the steps in the order in which tenants take turns.

        :param steps: steps that wait, most urgent first.
        :param classify: returns the class of a step, within which tenants
            take turns.
        """
        if not self._pool_state.has_tenants:
            return steps
        capacity = sum_capacity(self._pool_state.workers.values())
        order = FairOrder(self._pool_state.usage, capacity, self._gate)
        return order.arrange(steps, classify)

    def count_startable(self, step: StepRun) -> int:
        """Return how many tasks of a step its tenant's cap lets start."""
        stored = step.job.spec.tenant
        if stored is None:
            return UNLIMITED
        if stored.name in self._yielding:
            return 0
        return self._gate.count_startable(
            stored, step.spec.size, self._reserved.read(stored.name)
        )

    def yield_to_gang(self, step: StepRun) -> None:
        """Start no later step of a tenant before a gang that waits for the cap.

        Small tasks would take what each ended run frees, and the gang would
        never start. One that can never start keeps nothing from the others.

        :param step: the gang's step.
        """
        stored = step.job.spec.tenant
        if stored is None:
            return
        cap = self._gate.find_terms(stored).cap
        if may_ever_start(step.spec.size, len(step.tasks), cap):
            self._yielding.add(stored.name)

    def note_reserved(self, tasks: Iterable[Task]) -> None:
        """Count those of the tasks for which capacity is reserved."""
        for task in filter(self._pool_state.reservations.is_reserved, tasks):
            self._reserved.add(task.tenant, task.step.size)

    def _may_start(self, task: Task) -> bool:
        job = self._pool_state.jobs.get(task.key.job)
        return job is not None and not self._gate.is_capped(job.spec.tenant)
