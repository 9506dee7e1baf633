"""Moving tasks that last away from VMs that will leave."""

from collections.abc import Iterable
from typing import Final

from verbenapost.coordination.scheduling.board import Board
from verbenapost.coordination.scheduling.commands import Command, StopTask
from verbenapost.coordination.scheduling.jobs import Task, TaskState
from verbenapost.coordination.scheduling.workers import Worker

#: Seconds after its start from which a task that lasts counts as at work;
#: workers don't report the end of its startup.
STARTUP_SECONDS: Final = 2.0

#: Percent of its speed at which a task counts as at work.
FULL_PERCENT: Final = 100


def evacuate(
    board: Board,
    leaving: Iterable[Worker],
    now: float,
) -> list[Command]:
    """Return the stops that are allowed now.

    Explanation
    ===========

    A task that is stopped starts elsewhere in the next round. Of each step,
    only so many tasks may be away at a time as the caller has allowed; a task
    is away until it is at work again. On a worker that drains anyway, nothing
    is lost by stopping.

    :param leaving: workers to be emptied of tasks that last.
    :param now: local seconds.
    """
    commands: list[Command] = []
    for worker in leaving:
        movable = [task for task in worker.tasks.values() if _is_movable(task)]
        for task in movable:
            if worker.entry.draining or has_slack(board, task, now):
                task.state = TaskState.STOPPING
                task.stop_asked_at = now
                commands.append(StopTask(task.worker, task, task.run))
    return commands


def has_slack(board: Board, task: Task, now: float) -> bool:
    """Return whether so few others of a step are away that one may be."""
    step = board.jobs[task.key.job].find_step(task.key)
    if step is None or not step.spec.may_miss:
        return True
    away = sum(
        1
        for other in step.tasks
        if other is not task and not is_at_work(board, other, now)
    )
    return away < step.spec.may_miss


def is_at_work(board: Board, task: Task, now: float) -> bool:
    """Return whether a task has finished its startup and is in reach."""
    worker = board.workers.get(task.worker)
    if worker is None or not worker.reachable:
        return False
    return (
        task.state is TaskState.RUNNING
        and _is_busy(task)
        and task.percent == FULL_PERCENT
        and now - task.started_at >= STARTUP_SECONDS
    )


def _is_busy(task: Task) -> bool:
    """Return whether it makes progress; one that stands still uses nothing.

    The figure of a task with users is the tail of its response times.
    """
    return bool(task.step.target) or task.load > 0


def _is_movable(task: Task) -> bool:
    return task.step.long_running and task.state is TaskState.RUNNING
