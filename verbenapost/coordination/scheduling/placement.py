"""Choice of the worker on which a task starts."""

import heapq
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from verbenapost.coordination.scheduling.jobs import StepRun, Task
from verbenapost.coordination.scheduling.partners import NO_PARTNERS, Partners
from verbenapost.coordination.scheduling.workers import (
    Worker,
    compute_booking,
    group_by_rack,
)

Rank = tuple[int, int, str]
Tickets = Mapping[str, str]

#: Tasks of a long-running step that share a worker while another worker has
#: free capacity.
LONG_RUNNING_PER_WORKER: Final = 2

_ANY_NUMBER: Final = 0
# Each penalty exceeds the sum of those below it.
_OFF_RACK: Final = 16
_BESIDE_PARTNER: Final = 8
_BESIDE_SERVING: Final = 4
_CROWDED: Final = 2
_NO_LONG_RUNNING: Final = 1

# More than the processors of any worker, in thousandths of a core.
_SAME_JOB: Final = 10**9


class WorkerRanking:
    """Workers with capacity for the tasks of one step, best first.

    Explanation
    ===========

    Tasks are packed, so that some workers become empty and can leave.
    Long-running tasks are placed on workers that have such tasks already, but
    at most two of a step on each while others have capacity, so that the loss
    of a worker affects few of them. Workers in the rack of the data rank
    first, since the task is slow on any other rack. Among workers alike in
    this, those without an image that interferes with the step's rank first.

    Booking a task changes the rank of its worker only, so each worker is
    ranked once for a step and once more for each task.

    :param step: step of the tasks.
    :param workers: workers that accept new tasks.
    :param tickets: tickets by worker, where a policy restricts the choice.
    :param isolated: whether the tasks may crash their worker; they are then
        placed together, and where the fewest others run.
    :param partners: images that interfere with the step's image.
    """

    def __init__(
        self,
        step: StepRun,
        workers: Iterable[Worker],
        tickets: Tickets | None,
        *,
        isolated: bool = False,
        partners: Partners = NO_PARTNERS,
    ) -> None:
        self._step = step
        self._partners = partners
        self._isolated = isolated
        self._size = compute_booking(step.spec)
        self._tickets = tickets
        self._ranked = [
            (self._rank(worker), worker)
            for worker in workers
            if self._is_allowed(worker)
        ]
        heapq.heapify(self._ranked)
        # Whether the choice of a worker without a partner avoids one.
        self._avoidable = bool(partners.images) and any(
            partners.is_beside(worker) for _rank, worker in self._ranked
        )

    def pop_best(self) -> Worker | None:
        """Remove and return the best worker; the caller books the task."""
        if not self._ranked:
            return None
        worker = heapq.heappop(self._ranked)[1]
        if self._avoidable and not self._partners.is_beside(worker):
            self._partners.note_avoided()
        return worker

    def reinsert(self, worker: Worker) -> None:
        """Reinsert a worker after booking, unless its capacity is used up."""
        if self._is_allowed(worker):
            row = (self._rank(worker), worker)
            heapq.heappush(self._ranked, row)

    def _rank(self, worker: Worker) -> Rank:
        rank = _rank_isolated if self._isolated else _rank
        penalty, order, name = rank(self._step, worker)
        if self._partners.is_beside(worker):
            penalty += _BESIDE_PARTNER
        return penalty, order, name

    def _is_allowed(self, worker: Worker) -> bool:
        name = worker.entry.worker
        return (
            worker.has_capacity(self._size)
            and (self._tickets is None or name in self._tickets)
            and is_permitted(self._step, worker)
        )


def is_permitted(step: StepRun, worker: Worker) -> bool:
    """Return whether a step's constraints permit one more task on a worker."""
    spec = step.spec
    if spec.requires and spec.requires not in worker.entry.labels:
        return False
    limit = spec.anti_affinity
    return limit == _ANY_NUMBER or worker.count_step_tasks(step) < limit


def filter_by_ticket(
    workers: Iterable[Worker], tickets: Tickets | None
) -> list[Worker]:
    """Return the workers on which a queue's policy permits the step."""
    return [
        worker
        for worker in workers
        if tickets is None or worker.entry.worker in tickets
    ]


def has_constraints(step: StepRun) -> bool:
    """Return whether a step has placement constraints besides capacity."""
    spec = step.spec
    return bool(spec.gang or spec.requires or spec.anti_affinity)


def choose_gang_workers(
    step: StepRun,
    tasks: Sequence[Task],
    workers: Sequence[Worker],
    tickets: Tickets | None,
    partners: Partners = NO_PARTNERS,
) -> list[Worker] | None:
    """Return a worker for each gang member, or ``None`` unless all fit."""
    if step.spec.same_rack:
        apart = [row for row in workers if not partners.is_beside(row)]
        for candidates in (apart, workers):
            found = _place_in_a_rack(step, tasks, candidates, tickets, partners)
            if found is not None:
                return found
    return _place_all(step, tasks, workers, tickets, partners)


def _place_in_a_rack(
    step: StepRun,
    tasks: Sequence[Task],
    workers: Sequence[Worker],
    tickets: Tickets | None,
    partners: Partners,
) -> list[Worker] | None:
    """Return workers of one rack, or ``None`` unless all members fit there."""
    for rack_workers in group_by_rack(list(workers)).values():
        found = _place_all(step, tasks, rack_workers, tickets, partners)
        if found is not None:
            return found
    return None


def _place_all(
    step: StepRun,
    tasks: Sequence[Task],
    workers: Sequence[Worker],
    tickets: Tickets | None,
    partners: Partners,
) -> list[Worker] | None:
    chosen: list[Worker] = []
    # Not all members may fit on these workers, so what the search avoids is
    # not counted.
    uncounted = Partners(partners.images)
    ranking = WorkerRanking(step, workers, tickets, partners=uncounted)
    for task in tasks:
        worker = ranking.pop_best()
        if worker is None:
            break
        worker.book(task)
        chosen.append(worker)
        ranking.reinsert(worker)
    for task, worker in zip(tasks, chosen, strict=False):
        worker.release(task)
    return chosen if len(chosen) == len(tasks) else None


def _rank(step: StepRun, worker: Worker) -> Rank:
    free = worker.entry.capacity.cpu - worker.used.cpu
    order = -free if step.spec.fills else free
    return _compute_penalty(step, worker), order, worker.entry.worker


def _rank_isolated(step: StepRun, worker: Worker) -> Rank:
    order = worker.used.cpu
    if any(key.job == step.job.spec.job for key in worker.tasks):
        order -= _SAME_JOB
    return _compute_penalty(step, worker), order, worker.entry.worker


def _compute_penalty(step: StepRun, worker: Worker) -> int:
    """Return the penalty of placing a task of a step on a worker."""
    spec = step.spec
    off_rack = bool(spec.affinity) and spec.affinity not in worker.entry.labels
    beside_serving = spec.fills and worker.has_serving_tasks()
    penalty = off_rack * _OFF_RACK + beside_serving * _BESIDE_SERVING
    if spec.long_running and not spec.fills:
        crowded = worker.count_step_tasks(step) >= LONG_RUNNING_PER_WORKER
        penalty += (
            crowded * _CROWDED
            + (not worker.has_long_running()) * _NO_LONG_RUNNING
        )
    return penalty
