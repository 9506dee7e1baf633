"""Choice of the worker for a task."""

from collections.abc import Mapping, Sequence
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


def choose_worker(
    step: StepRun,
    workers: Sequence[Worker],
    tickets: Tickets | None,
) -> Worker | None:
    """Return the best worker with room for one task of a step.

    Explanation
    ===========

    Tasks are packed, so that workers fall empty and can leave; those that
    last keep to workers that have such tasks already, but no more than two of
    a step to each, so that the loss of a worker takes few of them. The rack of
    the data goes first, since any other makes the task slow.

    :param step: step of the task.
    :param workers: those that may take new tasks.
    :param tickets: tickets by worker, where a policy decides.
    """
    fitting = [
        worker for worker in workers if _is_allowed(step, worker, tickets)
    ]
    if not fitting:
        return None
    return min(fitting, key=lambda worker: _rank(step, worker))


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
    for task in tasks:
        worker = choose_worker(step, workers, tickets)
        if worker is None:
            break
        worker.book(task)
        chosen.append(worker)
    for task, worker in zip(tasks, chosen, strict=False):
        worker.release(task)
    return chosen if len(chosen) == len(tasks) else None


def _is_allowed(
    step: StepRun,
    worker: Worker,
    tickets: Tickets | None,
) -> bool:
    spec = step.spec
    if not worker.has_room(measure_task(spec)):
        return False
    if tickets is not None and worker.entry.worker not in tickets:
        return False
    if spec.requires and spec.requires not in worker.entry.labels:
        return False
    most = spec.anti_affinity
    return most == _ANY_NUMBER or worker.count_step(step) < most


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
