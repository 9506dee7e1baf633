"""Capacity that is kept for long-running tasks until they start.

Load pattern: a pool is full with short tasks and more wait. A long-running
task whose run has ended is often larger than the capacity that a single short
task frees, so the next short task takes that capacity every time, and the
service stays short of a member for as long as the burst lasts. A long-running
task that has to leave its VM must not be stopped before another VM has
capacity for it. Other long-running tasks may hold the capacity that one waits
for until somebody cancels them; short tasks must not wait for that.
"""

import dataclasses
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final

from verbenapost.coordination.scheduling.jobs import (
    Job,
    StepRun,
    Task,
    TaskState,
)
from verbenapost.coordination.scheduling.placement import (
    Tickets,
    WorkerRanking,
    is_permitted,
)
from verbenapost.coordination.scheduling.workers import (
    Worker,
    compute_booking,
)
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    TaskKey,
)

_PENDING: Final = frozenset((TaskState.WAITING, TaskState.STOPPING))

#: States in which a long-running task keeps its capacity until it is cancelled.
_HOLDING: Final = frozenset(
    (TaskState.STARTING, TaskState.UNSURE, TaskState.RUNNING)
)


class Reservations:
    """Reservations of one pool, at most one for each task.

    :param jobs: jobs of the pool by identity.
    """

    def __init__(self, jobs: Mapping[str, Job]) -> None:
        self._jobs = jobs
        # By incarnation: a worker that starts again has no reservations.
        self._by_task: dict[TaskKey, Worker] = {}
        self._tasks: dict[TaskKey, Task] = {}

    def prune(self, may_start: Callable[[Task], bool] | None = None) -> None:
        """Release the reservations of tasks that no longer need a place.

        :param may_start: whether a task that waits may start now; one that
            may not keeps no capacity from others.
        """
        ended = [
            task
            for task in self._tasks.values()
            if task.state not in _PENDING
            or (
                may_start is not None
                and task.state is TaskState.WAITING
                and not may_start(task)
            )
        ]
        for task in ended:
            self.release(task)

    def is_reserved(self, task: Task) -> bool:
        """Return whether capacity is reserved for a task."""
        return task.key in self._by_task

    def release(self, task: Task) -> str:
        """Release the reservation of a task.

        :returns: name of the worker, or empty without a reservation.
        """
        self._tasks.pop(task.key, None)
        worker = self._by_task.pop(task.key, None)
        if worker is None:
            return ''
        worker.reserved = worker.reserved.minus(compute_booking(task.step))
        return worker.entry.worker

    def reserve_free(
        self,
        step: StepRun,
        task: Task,
        workers: Iterable[Worker],
        tickets: Tickets | None,
    ) -> bool:
        """Reserve free capacity for a task.

        :param step: step of the task.
        :param task: the task, which still runs elsewhere.
        :param workers: workers that accept new tasks.
        :param tickets: tickets by worker, where a policy restricts the choice.
        :returns: whether a worker has capacity for the task.
        """
        self.release(task)
        worker = WorkerRanking(step, workers, tickets).pop_best()
        if worker is None:
            return False
        self._reserve(task, worker)
        return True

    def reserve_next(
        self,
        step: StepRun,
        tasks: Sequence[Task],
        workers: Iterable[Worker],
        previous: Mapping[TaskKey, str],
    ) -> None:
        """Reserve capacity that is not free yet for waiting tasks.

        The capacity that the short tasks of a worker free from now on is kept
        until the waiting task fits. Nothing is reserved for a task that fits
        on no worker even then.

        :param step: step of the tasks.
        :param tasks: the waiting tasks, without reservations.
        :param workers: workers that accept new tasks.
        :param previous: names of the workers of the tasks' last reservations,
            or empty.
        """
        size = compute_booking(step.spec)
        reserved = Counter(
            worker
            for key, worker in self._by_task.items()
            if step.includes(key)
        )
        candidates = [
            _Candidate(
                worker,
                self.measure_lasting(worker),
                worker.count_step_tasks(step) + reserved[worker],
            )
            for worker in workers
            if is_permitted(step, worker)
        ]
        for task in tasks:
            ranked = [
                (*row.rank(size, previous[task.key]), row)
                for row in candidates
                if row.may_fit(step, size)
            ]
            if not ranked:
                return
            chosen = min(ranked)[-1]
            self._reserve(task, chosen.worker)
            chosen.siblings += 1

    def measure_lasting(self, worker: Worker) -> Resources:
        """Return the capacity that long-running tasks hold until cancelled."""
        lasting = Resources()
        for task in worker.tasks.values():
            if self._is_lasting(task):
                lasting = lasting.plus(compute_booking(task.step))
        return lasting

    def _is_lasting(self, task: Task) -> bool:
        job = self._jobs.get(task.key.job)
        return (
            task.step.long_running
            and task.state in _HOLDING
            and job is not None
            and not job.state.ended
        )

    def _reserve(self, task: Task, worker: Worker) -> None:
        self._by_task[task.key] = worker
        self._tasks[task.key] = task
        worker.reserved = worker.reserved.plus(compute_booking(task.step))


@dataclasses.dataclass(slots=True, eq=False)
class _Candidate:
    """A worker on which capacity may be reserved.

    :param worker: the worker.
    :param lasting: capacity that other long-running tasks hold there.
    :param siblings: tasks of the step that are booked or reserved there.
    """

    worker: Worker
    lasting: Resources
    siblings: int

    def may_fit(self, step: StepRun, size: Resources) -> bool:
        """Return whether a task fits once all short tasks have ended."""
        limit = step.spec.anti_affinity
        if limit and self.siblings >= limit:
            return False
        held = self.lasting.plus(self.worker.reserved)
        return held.plus(size).fits(self.worker.entry.capacity)

    def rank(self, size: Resources, previous: str) -> tuple[bool, float, str]:
        """Return the rank for a task; the lowest is the best."""
        name = self.worker.entry.worker
        return name != previous, _measure_shortfall(self.worker, size), name


def _measure_shortfall(worker: Worker, size: Resources) -> float:
    """Return the largest missing share of a worker's capacity."""
    capacity = worker.entry.capacity
    needed = worker.get_committed().plus(size).minus(capacity)
    return max(
        needed.cpu / max(capacity.cpu, 1),
        needed.memory / max(capacity.memory, 1),
        needed.gpus / max(capacity.gpus, 1),
    )
