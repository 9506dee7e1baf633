"""Slowing tasks that only fill while tasks with users need the worker.

Load pattern: a task that fills disturbs those beside it by amounts that differ
and change within seconds; each serving task reports the tail of its response
times.
"""

import dataclasses
from typing import Final, final

from verbenapost.coordination.scheduling.jobs import Task, TaskState
from verbenapost.coordination.scheduling.workers import Worker

#: Share of its target from which a serving task is in danger.
DANGER_SHARE: Final = 0.8

#: Share of its target up to which what fills may speed up again.
CALM_SHARE: Final = 0.5

#: Percent that a calm report gives back.
STEP_UP: Final = 20

_FULL: Final = 100
_MS: Final = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PaceTask:
    """Let a run work at a share of its speed.

    :param task: the task.
    :param run: number of the run.
    :param percent: the share.
    """

    task: Task
    run: int
    percent: int


def pace_worker(worker: Worker) -> list[PaceTask]:
    """Return the new shares of a worker's filling tasks.

    A serving task over its target stops what fills; one in danger halves it.
    """
    fills = [
        task
        for task in worker.tasks.values()
        if task.step.fills and task.state is TaskState.RUNNING
    ]
    if not fills:
        return []
    worst = _find_worst(worker)
    return [
        PaceTask(task, task.run, percent)
        for task in fills
        if (percent := _choose(worst, task.percent)) != task.percent
    ]


def _find_worst(worker: Worker) -> float:
    """Return the highest tail as a share of its target."""
    return max(
        (
            task.load / (task.step.target * _MS)
            for task in worker.tasks.values()
            if task.step.target and task.state is TaskState.RUNNING
        ),
        default=0,
    )


def _choose(worst: float, percent: int) -> int:
    if worst >= 1:
        return 0
    if worst >= DANGER_SHARE:
        return percent // 2
    if worst <= CALM_SHARE:
        return min(_FULL, percent + STEP_UP)
    return percent
