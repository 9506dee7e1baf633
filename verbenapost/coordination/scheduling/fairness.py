"""Weighted fair shares: the order in which tenants get a pool's capacity.

Load pattern: one tenant sends several times its usual load into a full pool.
Its steps are older than most steps of the other tenants, so that by age alone
the others would wait behind all of them.
"""

import collections
import heapq
import itertools
from collections.abc import Callable, Hashable, Iterable, Iterator, Sequence

from verbenapost.coordination.scheduling.jobs import StepRun
from verbenapost.coordination.scheduling.quotas import QuotaGate, TenantUsage
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.state.resources import Resources

#: Rank of a tenant among those that wait; the lowest is next.
Rank = tuple[bool, float]


def sum_capacity(workers: Iterable[Worker]) -> Resources:
    """Return the total capacity of workers."""
    capacities = [worker.entry.capacity for worker in workers]
    return Resources(
        sum(row.cpu for row in capacities),
        sum(row.memory for row in capacities),
        sum(row.gpus for row in capacities),
    )


def measure_share(used: Resources, capacity: Resources) -> float:
    """Return the largest share of a pool's capacity that is used.

    >>> measure_share(Resources(1000, 500), Resources(4000, 1000))
    0.5

    :param used: what a tenant uses.
    :param capacity: total capacity of the pool.
    """
    return max(
        used.cpu / max(capacity.cpu, 1),
        used.memory / max(capacity.memory, 1),
        used.gpus / max(capacity.gpus, 1),
    )


class FairOrder:
    """Order of the waiting steps of several tenants in one round.

    Explanation
    ===========

    The next step is that of the tenant with the lowest dominant share in
    relation to its weight, and within one tenant the oldest. The caller books
    the tasks of a step before it asks for the next one. A tenant of weight 0
    gets what nobody else asks for, and one that reaches its cap has no further
    turn.

    :param usage: use of the pool by tenant.
    :param capacity: total capacity of the pool.
    :param gate: caps and terms of the tenants.
    """

    def __init__(
        self, usage: TenantUsage, capacity: Resources, gate: QuotaGate
    ) -> None:
        self._usage = usage
        self._capacity = capacity
        self._gate = gate

    def arrange(
        self,
        steps: Iterable[StepRun],
        classify: Callable[[StepRun], Hashable],
    ) -> Iterator[StepRun]:
        """Yield steps in fair order within each class.

        :param steps: steps, ordered by class and by age within each class.
        :param classify: returns the class of a step.
        """
        for _, members in itertools.groupby(steps, classify):
            yield from self._take_turns(list(members))

    def _take_turns(self, steps: Sequence[StepRun]) -> Iterator[StepRun]:
        queues: dict[str, collections.deque[tuple[int, StepRun]]] = {}
        for row in enumerate(steps):
            queue = queues.setdefault(
                row[1].job.tenant_name, collections.deque()
            )
            queue.append(row)
        # Tenants of equal rank follow the age of their oldest steps.
        waiting = [
            (self._rank(queue[0][1]), queue[0][0], tenant)
            for tenant, queue in queues.items()
        ]
        heapq.heapify(waiting)
        while waiting:
            _, _, tenant = heapq.heappop(waiting)
            queue = queues[tenant]
            yield queue.popleft()[1]
            if queue and self._may_continue(queue[0][1]):
                place, step = queue[0]
                heapq.heappush(waiting, (self._rank(step), place, tenant))

    def _rank(self, step: StepRun) -> Rank:
        weight = self._gate.find_weight(step.job.spec.tenant)
        share = measure_share(
            self._usage.read(step.job.tenant_name), self._capacity
        )
        return not weight, share / (weight or 1)

    def _may_continue(self, step: StepRun) -> bool:
        stored = step.job.spec.tenant
        return stored is None or self._gate.may_start(stored)
