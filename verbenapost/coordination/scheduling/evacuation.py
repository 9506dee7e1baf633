"""Evacuation of long-running tasks from VMs that will leave their pool."""

import dataclasses
from collections.abc import Collection
from typing import final

from verbenapost.coordination.scheduling.commands import Command, StopTask
from verbenapost.coordination.scheduling.jobs import (
    FULL_PROGRESS,
    Task,
    TaskState,
)
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.workers import Worker


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
    task counts as unavailable until a report shows it at work again. Budget
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
            elif may_stop(pool_state, task):
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


def may_stop(pool_state: PoolState, task: Task) -> bool:
    """Return whether a task may stop and start elsewhere now.

    A step's disruption budget has to allow it; a budget of 0 sets no limit.
    While the inherited jobs of a pool are paused, their tasks could not start.
    """
    job = pool_state.jobs[task.key.job]
    if job.inherited and pool_state.recovering:
        return False
    step = job.find_step(task.key)
    if step is None or not step.spec.may_miss:
        return True
    unavailable = sum(
        1
        for other in step.tasks
        if other is not task and not is_available(pool_state, other)
    )
    return unavailable < step.spec.may_miss


def delays_evacuation(pool_state: PoolState, task: Task) -> bool:
    """Return whether stops of other tasks wait until a task is at work."""
    return (
        task.step.may_miss > 0
        and task.state is TaskState.RUNNING
        and not is_available(pool_state, task)
        and any(not worker.staying for worker in pool_state.workers.values())
    )


def is_available(pool_state: PoolState, task: Task) -> bool:
    """Return whether a task is reachable and at work."""
    worker = pool_state.workers.get(task.worker)
    if worker is None or not worker.reachable:
        return False
    return (
        task.state is TaskState.RUNNING
        and task.progress >= FULL_PROGRESS
        and _uses_processors(task)
    )


def _uses_processors(task: Task) -> bool:
    """Return whether a task is not stalled.

    The load of a stalled task is 0. For a task with a latency target, the
    load is the tail of its response times, so it doesn't show a stall.
    """
    return bool(task.step.target) or task.load > 0


def _is_movable(task: Task) -> bool:
    return task.step.long_running and task.state is TaskState.RUNNING
