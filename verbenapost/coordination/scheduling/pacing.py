"""Throttling of best-effort tasks in favour of latency-sensitive ones.

A best-effort task has ``fills`` set; a serving task has a latency target.

Load pattern: a best-effort task slows the other tasks of its worker by amounts
that differ and change within seconds. Each serving task reports the tail of
its response times.
"""

import dataclasses
from typing import Final, final

from verbenapost.coordination.scheduling.jobs import (
    FULL_PACE,
    Task,
    TaskState,
)
from verbenapost.coordination.scheduling.workers import Worker

#: Share of its latency target from which a serving task is close to missing
#: it; best-effort tasks slow down.
SLOW_DOWN_SHARE: Final = 0.8

#: Share of its latency target up to which best-effort tasks may speed up
#: again.
SPEED_UP_SHARE: Final = 0.5

#: Percent of full speed that a report of low latency gives back.
SPEED_UP_PERCENT: Final = 20

_MS: Final = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PaceTask:
    """Limit a run to a percentage of its full speed.

    :param task: the task.
    :param run: number of the run.
    :param pace: percent of full speed.
    """

    task: Task
    run: int
    pace: int


def pace_worker(worker: Worker) -> list[PaceTask]:
    """Return the speed changes of a worker's best-effort tasks.

    A serving task that misses its latency target stops the best-effort tasks;
    one that is close to its target halves their speed.
    """
    best_effort = [
        task
        for task in worker.tasks.values()
        if task.step.fills and task.state is TaskState.RUNNING
    ]
    if not best_effort:
        return []
    latency_share = _find_highest_latency(worker)
    return [
        PaceTask(task, task.run, pace)
        for task in best_effort
        if (pace := _choose_pace(latency_share, task.pace)) is not None
        and pace != task.pace
    ]


def _find_highest_latency(worker: Worker) -> float:
    """Return the highest latency as a share of its task's target."""
    return max(
        (
            task.load / (task.step.target * _MS)
            for task in worker.tasks.values()
            if task.step.target and task.state is TaskState.RUNNING
        ),
        default=0,
    )


def _choose_pace(latency_share: float, pace: int | None) -> int | None:
    known = FULL_PACE if pace is None else pace
    if latency_share >= 1:
        return 0
    if latency_share >= SLOW_DOWN_SHARE:
        return known // 2
    if latency_share <= SPEED_UP_SHARE:
        return min(FULL_PACE, known + SPEED_UP_PERCENT)
    return pace
