"""Choice of the worker for a task."""

import heapq
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from verbenapost.coordination.scheduling.jobs import StepRun, Task
from verbenapost.coordination.scheduling.workers import (
    Worker,
    count_racks,
    measure_task,
)

Rank = tuple[int, int, str]
Tickets = Mapping[str, str]

#: Tasks of a step that lasts which share a worker while another has room.
LASTING_TOGETHER: Final = 2

_ANY_NUMBER: Final = 0
# Each weighs more than all that follow together.
_FAR: Final = 8
_HARMFUL: Final = 4
_CROWDED: Final = 2
_APART: Final = 1


class WorkerChoice:
    """Workers with room for the tasks of one step, the best first.

    Explanation
    ===========

    Tasks are packed, so that workers fall empty and can leave; those that
    last keep to workers that have such tasks already, but no more than two of
    a step to each, so that the loss of a worker takes few of them. The rack of
    the data goes first, since any other makes the task slow.

    A task of the step changes the rank of the worker that takes it and of no
    other, so each worker is ranked once for a step and once for each task.

    :param step: step of the tasks.
    :param workers: those that may take new tasks.
    :param tickets: tickets by worker, where a policy decides.
    """

    def __init__(
        self,
        step: StepRun,
        workers: Iterable[Worker],
        tickets: Tickets | None,
    ) -> None:
        self._step = step
        self._size = measure_task(step.spec)
        self._tickets = tickets
        self._ranked = [
            (_rank(step, worker), worker)
            for worker in workers
            if self._is_allowed(worker)
        ]
        heapq.heapify(self._ranked)

    def take(self) -> Worker | None:
        """Take out the best worker; the caller books the task there."""
        return heapq.heappop(self._ranked)[1] if self._ranked else None

    def put_back(self, worker: Worker) -> None:
        """Let a worker that was taken out have another task."""
        if self._is_allowed(worker):
            row = (_rank(self._step, worker), worker)
            heapq.heappush(self._ranked, row)

    def _is_allowed(self, worker: Worker) -> bool:
        spec = self._step.spec
        if not worker.has_room(self._size):
            return False
        name = worker.entry.worker
        if self._tickets is not None and name not in self._tickets:
            return False
        if spec.requires and spec.requires not in worker.entry.labels:
            return False
        most = spec.anti_affinity
        return most == _ANY_NUMBER or worker.count_step(self._step) < most


def is_choosy(step: StepRun) -> bool:
    """Return whether a step asks for more of a worker than room."""
    spec = step.spec
    return bool(spec.gang or spec.requires or spec.anti_affinity)


def choose_gang(
    step: StepRun,
    tasks: Sequence[Task],
    workers: Sequence[Worker],
    tickets: Tickets | None,
) -> list[Worker] | None:
    """Return a worker for each member, or ``None`` unless all have room."""
    if step.spec.same_rack:
        for rows in count_racks(list(workers)).values():
            found = _fit_all(step, tasks, rows, tickets)
            if found is not None:
                return found
    return _fit_all(step, tasks, workers, tickets)


def _fit_all(
    step: StepRun,
    tasks: Sequence[Task],
    workers: Sequence[Worker],
    tickets: Tickets | None,
) -> list[Worker] | None:
    chosen: list[Worker] = []
    choice = WorkerChoice(step, workers, tickets)
    for task in tasks:
        worker = choice.take()
        if worker is None:
            break
        worker.book(task)
        chosen.append(worker)
        choice.put_back(worker)
    for task, worker in zip(tasks, chosen, strict=False):
        worker.release(task)
    return chosen if len(chosen) == len(tasks) else None


def _rank(step: StepRun, worker: Worker) -> Rank:
    free = worker.entry.room.cpu - worker.used.cpu
    order = -free if step.spec.fills else free
    return _weigh(step, worker), order, worker.entry.worker


def _weigh(step: StepRun, worker: Worker) -> int:
    """Return the weight of what speaks against a worker."""
    spec = step.spec
    far = bool(spec.affinity) and spec.affinity not in worker.entry.labels
    harmful = spec.fills and worker.serves()
    weight = far * _FAR + harmful * _HARMFUL
    if spec.long_running and not spec.fills:
        crowded = worker.count_step(step) >= LASTING_TOGETHER
        weight += crowded * _CROWDED + (not worker.has_lasting()) * _APART
    return weight
