"""Evacuation of long-running tasks from VMs that will leave their pool."""

import dataclasses
from collections.abc import Collection
from typing import Final, final

from verbenapost.coordination.scheduling.commands import Command, StopTask
from verbenapost.coordination.scheduling.jobs import Task, TaskState
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.workers import Worker

#: Seconds after its start from which a long-running task counts as available;
#: workers don't report when its startup has finished.
STARTUP_SECONDS: Final = 2.0

#: Percent of its full speed at which a task counts as available.
FULL_PERCENT: Final = 100


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """Result of one round of evacuation.

    :param commands: stops of tasks that start elsewhere afterwards.
    :param blocked: tasks that stay, since no other worker has capacity.
    """

    commands: list[Command]
    blocked: list[Task]


def evacuate(
    pool_state: PoolState,
    leaving: Collection[Worker],
    now: float,
) -> Evacuation:
    """Return the stops of long-running tasks that are allowed now.

    Explanation
    ===========

    A stopped task starts on another worker in the next round, where capacity
    has been reserved for it. ``may_miss`` is the step's disruption budget: the
    number of its tasks that may be unavailable at the same time. A stopped
    task counts as unavailable until it has finished its startup again. Budget
    and capacity are ignored on a draining worker, whose tasks have to end in
    any case.

    :param leaving: workers to be emptied of long-running tasks.
    :param now: local seconds.
    """
    evacuation = Evacuation([], [])
    staying = _find_staying(pool_state, leaving, now)
    for worker in leaving:
        movable = [task for task in worker.tasks.values() if _is_movable(task)]
        for task in movable:
            if worker.entry.draining:
                evacuation.commands.append(_stop(task, now))
            elif may_stop(pool_state, task, now):
                _evacuate_task(pool_state, task, staying, evacuation, now)
    return evacuation


def _find_staying(
    pool_state: PoolState, leaving: Collection[Worker], now: float
) -> list[Worker]:
    return [
        worker
        for worker in pool_state.workers.values()
        if worker.accepts_tasks(now) and worker not in leaving
    ]


def _evacuate_task(
    pool_state: PoolState,
    task: Task,
    staying: list[Worker],
    evacuation: Evacuation,
    now: float,
) -> None:
    step = pool_state.jobs[task.key.job].find_step(task.key)
    tickets = pool_state.tickets.find(task.key, now)
    if step is not None and pool_state.reservations.reserve_free(
        step, task, staying, tickets
    ):
        evacuation.commands.append(_stop(task, now))
    else:
        evacuation.blocked.append(task)


def _stop(task: Task, now: float) -> Command:
    task.state = TaskState.STOPPING
    task.stop_requested_at = now
    return StopTask(task.worker, task, task.run)


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
