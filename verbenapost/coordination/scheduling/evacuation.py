"""Evacuation of long-running tasks from VMs that will leave their pool."""

from collections.abc import Iterable
from typing import Final

from verbenapost.coordination.scheduling.commands import Command, StopTask
from verbenapost.coordination.scheduling.jobs import Task, TaskState
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.workers import Worker

#: Seconds after its start from which a long-running task counts as available;
#: workers don't report when its startup has finished.
STARTUP_SECONDS: Final = 2.0

#: Percent of its full speed at which a task counts as available.
FULL_PERCENT: Final = 100


def evacuate(
    pool_state: PoolState,
    leaving: Iterable[Worker],
    now: float,
) -> list[Command]:
    """Return the stops of long-running tasks that are allowed now.

    Explanation
    ===========

    A stopped task starts on another worker in the next round. ``may_miss``
    is the step's disruption budget: the number of its tasks that may be
    unavailable at the same time. A stopped task counts as unavailable until
    it has finished its startup again. The budget is ignored on a draining
    worker, whose tasks have to end in any case.

    :param leaving: workers to be emptied of long-running tasks.
    :param now: local seconds.
    """
    commands: list[Command] = []
    for worker in leaving:
        movable = [task for task in worker.tasks.values() if _is_movable(task)]
        for task in movable:
            if worker.entry.draining or may_stop(pool_state, task, now):
                task.state = TaskState.STOPPING
                task.stop_requested_at = now
                commands.append(StopTask(task.worker, task, task.run))
    return commands


def may_stop(pool_state: PoolState, task: Task, now: float) -> bool:
    """Return whether a step's disruption budget allows stopping a task.

    A budget of 0 sets no limit.
    """
    step = pool_state.jobs[task.key.job].find_step(task.key)
    if step is None or not step.spec.may_miss:
        return True
    unavailable = sum(
        1
        for other in step.tasks
        if other is not task and not is_available(pool_state, other, now)
    )
    return unavailable < step.spec.may_miss


def is_available(pool_state: PoolState, task: Task, now: float) -> bool:
    """Return whether a task is reachable and has finished its startup."""
    worker = pool_state.workers.get(task.worker)
    if worker is None or not worker.reachable:
        return False
    return (
        task.state is TaskState.RUNNING
        and _makes_progress(task)
        and task.percent == FULL_PERCENT
        and now - task.started_at >= STARTUP_SECONDS
    )


def _makes_progress(task: Task) -> bool:
    """Return whether a task makes progress.

    The load of a stalled task is 0. For a task with a latency target, the
    load is the tail of its response times, so it says nothing about progress.
    """
    return bool(task.step.target) or task.load > 0


def _is_movable(task: Task) -> bool:
    return task.step.long_running and task.state is TaskState.RUNNING
