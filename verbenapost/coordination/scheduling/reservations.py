"""Capacity that is kept for long-running tasks until they start.

Load pattern: a pool is full with short tasks and more wait. A long-running
task whose run has ended is often larger than the capacity that a single short
task frees, so the next short task takes that capacity every time, and the
service stays short of a member for as long as the burst lasts. A long-running
task that has to leave its VM must not be stopped before another VM has
capacity for it.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from verbenapost.coordination.scheduling.jobs import StepRun, Task, TaskState
from verbenapost.coordination.scheduling.placement import (
    Tickets,
    WorkerRanking,
    is_permitted,
)
from verbenapost.coordination.scheduling.workers import (
    Worker,
    compute_booking,
)
from verbenapost.state.workloads import Resources, TaskKey

_PENDING: Final = frozenset((TaskState.WAITING, TaskState.STOPPING))


class Reservations:
    """Reservations of one pool, at most one for each task.

    :param workers: workers of the pool by name.
    """

    def __init__(self, workers: Mapping[str, Worker]) -> None:
        self._workers = workers
        self._by_task: dict[TaskKey, str] = {}
        self._tasks: dict[TaskKey, Task] = {}

    def prune(self) -> None:
        """Release the reservations of tasks that no longer need a place."""
        ended = [
            task for task in self._tasks.values() if task.state not in _PENDING
        ]
        for task in ended:
            self.release(task)

    def release(self, task: Task) -> str:
        """Release the reservation of a task.

        :returns: name of the worker, or empty without a reservation.
        """
        name = self._by_task.pop(task.key, '')
        self._tasks.pop(task.key, None)
        worker = self._workers.get(name)
        if worker is not None:
            worker.reserved = worker.reserved.minus(compute_booking(task.step))
        return name

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
        task: Task,
        workers: Iterable[Worker],
        previous: str,
    ) -> None:
        """Reserve capacity that is not free yet for a waiting task.

        The capacity that the tasks of the worker free from now on is kept
        until the task fits.

        :param step: step of the task.
        :param task: the waiting task.
        :param workers: workers that accept new tasks.
        :param previous: worker of the task's last reservation, or empty.
        """
        size = compute_booking(step.spec)
        permitted = [
            worker
            for worker in workers
            if is_permitted(step, worker) and size.fits(worker.entry.capacity)
        ]
        chosen = min(
            permitted,
            key=lambda worker: (
                worker.entry.worker != previous,
                _measure_shortfall(worker, size),
                worker.entry.worker,
            ),
            default=None,
        )
        if chosen is not None:
            self._reserve(task, chosen)

    def _reserve(self, task: Task, worker: Worker) -> None:
        self._by_task[task.key] = worker.entry.worker
        self._tasks[task.key] = task
        worker.reserved = worker.reserved.plus(compute_booking(task.step))


def _measure_shortfall(worker: Worker, size: Resources) -> float:
    """Return the largest missing share of a worker's capacity."""
    capacity = worker.entry.capacity
    needed = worker.get_committed().plus(size).minus(capacity)
    return max(
        needed.cpu / max(capacity.cpu, 1),
        needed.memory / max(capacity.memory, 1),
        needed.gpus / max(capacity.gpus, 1),
    )
