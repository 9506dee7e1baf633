"""Moving tasks that last away from VMs that will leave."""

from collections.abc import Iterable
from typing import Final

from verbenapost.coordination.scheduling.board import Board
from verbenapost.coordination.scheduling.commands import Command, StopTask
from verbenapost.coordination.scheduling.jobs import StepRun, Task, TaskState
from verbenapost.coordination.scheduling.workers import Worker

#: Seconds after its start from which a task that lasts counts as at work;
#: workers don't report the end of its startup.
STARTUP_SECONDS: Final = 2.0


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
        for task in list(worker.tasks.values()):
            if not _is_movable(task):
                continue
            step = board.jobs[task.key.job].find_step(task.key)
            allowed = worker.entry.draining or _has_slack(step, task, now)
            if allowed:
                task.state = TaskState.STOPPING
                commands.append(StopTask(task.worker, task, task.run))
    return commands


def may_disturb(board: Board, worker: Worker, now: float) -> bool:
    """Return whether stopping all of a worker breaks no step's allowance."""
    return all(
        _has_slack(board.jobs[task.key.job].find_step(task.key), task, now)
        for task in worker.tasks.values()
        if task.step.long_running
    )


def is_at_work(task: Task, now: float) -> bool:
    """Return whether a task has finished its startup."""
    return (
        task.state is TaskState.RUNNING
        and now - task.started_at >= STARTUP_SECONDS
    )


def _is_movable(task: Task) -> bool:
    return task.step.long_running and task.state is TaskState.RUNNING


def _has_slack(step: StepRun | None, task: Task, now: float) -> bool:
    if step is None or not step.spec.may_miss:
        return True
    away = sum(
        1
        for other in step.tasks
        if other is not task and not is_at_work(other, now)
    )
    return away < step.spec.may_miss
