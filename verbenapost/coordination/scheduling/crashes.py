"""Tasks under whose runs workers crash: suspicion and giving up.

Load patterns: one task crashes each worker on which it starts, and with it the
other runs of that worker. A rack fails at once, and none of the many runs that
it takes along has caused that.
"""

import dataclasses
from typing import Final, final

from verbenapost.coordination.scheduling.jobs import Task
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.workers import Worker

#: Seconds for which a run must have been known to run when a report arrives
#: that lists it; such a run has not crashed its worker.
PROOF_SECONDS: Final = 0.3

#: Crashed runs after which a task is given up. Two may coincide with crashes
#: of racks that follow each other.
MAX_CRASHES: Final = 3


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CrashVerdict:
    """What the crash of a worker tells about the tasks that it ran.

    :param suspects: tasks whose run there was not proven.
    :param culprits: tasks of one job that has to be given up, if any; one of
        them has caused the crash.
    """

    suspects: tuple[Task, ...] = ()
    culprits: tuple[Task, ...] = ()


def is_unproven(task: Task) -> bool:
    """Return whether the current run of a task may still crash its worker."""
    return task.state.placed and not task.proven


def note_lapse(worker: Worker) -> None:
    """Record that the leases of a worker lapse; it may have crashed.

    :param worker: the worker, whose tasks are still booked.
    """
    worker.lapsed_runs = (*worker.lapsed_runs, *_list_unproven(worker))


def note_crash(pool_state: PoolState, worker: Worker) -> CrashVerdict:
    """Count a crash against the tasks that may have caused it.

    Explanation
    ===========

    All runs that were not proven are suspect. As long as runs of several jobs
    are, none of their tasks is given up: the next start of each is isolated
    from other jobs, so that another crash shows the job that causes it.

    :param pool_state: state of the worker's pool.
    :param worker: the crashed worker, whose tasks are still booked unless
        their leases have lapsed.
    """
    unproven = [*worker.lapsed_runs, *_list_unproven(worker)]
    worker.lapsed_runs = ()
    alone = len({task.key.job for task, _ in unproven}) == 1
    isolated = alone and not worker.has_unknown_runs
    suspects: list[Task] = []
    for task, run in unproven:
        job = pool_state.jobs.get(task.key.job)
        if job is None or job.state.ended:
            continue
        if run not in task.crashed_runs:
            task.crashed_runs = (*task.crashed_runs, run)
        pool_state.suspects[task.key.job] = job
        pool_state.mark_changed(job)
        suspects.append(task)
    culprits = filter(_is_exhausted, suspects) if isolated else ()
    return CrashVerdict(tuple(suspects), tuple(culprits))


def note_listed(pool_state: PoolState, task: Task, now: float) -> None:
    """Record that a report lists a task as running.

    :param pool_state: state of the worker's pool.
    :param task: the task, whose current run is listed.
    :param now: local seconds.
    """
    if now >= task.confirmed_at + PROOF_SECONDS:
        task.proven = True
        clear_suspicion(pool_state, task)


def clear_suspicion(pool_state: PoolState, task: Task) -> None:
    """Record that a task did not crash its worker."""
    if task.crashed_runs:
        task.crashed_runs = ()
        pool_state.mark_changed(pool_state.jobs[task.key.job])


def find_awaiting_proof(pool_state: PoolState, worker: Worker) -> list[Task]:
    """Return the tasks of suspect jobs on a worker that are not proven."""
    return [
        task
        for task in worker.tasks.values()
        if task.key.job in pool_state.suspects and is_unproven(task)
    ]


def _list_unproven(worker: Worker) -> list[tuple[Task, int]]:
    return [
        (task, task.run) for task in worker.tasks.values() if is_unproven(task)
    ]


def _is_exhausted(task: Task) -> bool:
    return len(task.crashed_runs) >= MAX_CRASHES
