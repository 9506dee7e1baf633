"""Progress of a job in its stored form."""

from typing import Any, Final

import msgpack

from verbenapost.coordination.scheduling.jobs import Job, Task, TaskState
from verbenapost.state.workloads import CallerJobState

_DONE: Final = 'done'
_FAILED: Final = 'failed'
_CRASHED: Final = 'crashed'
_CHECKPOINTS: Final = 'saved'
_STATE: Final = 'state'


def pack_progress(job: Job) -> bytes:
    """Return a job's progress in its stored form.

    For a job that has ended, only its state is stored.
    """
    if job.state.ended:
        ended: bytes = msgpack.packb({_STATE: job.state.value})
        return ended
    fields: dict[str, Any] = {
        _STATE: job.state.value,
        _DONE: [
            _locate(task)
            for task in job.tasks()
            if task.state is TaskState.DONE
        ],
        _FAILED: [
            [*_locate(task), list(task.failed_runs)]
            for task in job.tasks()
            if task.failed_runs
        ],
        _CRASHED: [
            [*_locate(task), _list_crashed_runs(task)]
            for task in job.tasks()
            if task.crashed_runs
        ],
        _CHECKPOINTS: [
            [*_locate(task), task.checkpoint]
            for task in job.tasks()
            if task.checkpoint and task.state is not TaskState.DONE
        ],
    }
    packed: bytes = msgpack.packb(fields)
    return packed


def restore_progress(job: Job, packed: bytes, revision: int) -> None:
    """Restore the progress of a job that a former leader has stored.

    :raises ValueError: when the progress can't be decoded.
    """
    fields = msgpack.unpackb(packed)
    for position in fields.get(_DONE, ()):
        task = _find_task(job, position)
        # Older versions took a long-running task for done.
        if not task.step.long_running:
            job.finish(task)
    for *position, runs in fields.get(_FAILED, ()):
        _find_task(job, position).failed_runs = tuple(runs)
    for *position, runs in fields.get(_CRASHED, ()):
        _find_task(job, position).crashed_runs = tuple(runs)
    for *position, checkpoint in fields.get(_CHECKPOINTS, ()):
        _find_task(job, position).checkpoint = checkpoint
    job.state = CallerJobState(fields[_STATE])
    job.stored_state = job.state
    job.revision = revision


def read_packed_state(packed: bytes) -> CallerJobState:
    """Return the job state in a stored progress.

    :raises ValueError: when the progress can't be decoded.
    """
    return CallerJobState(msgpack.unpackb(packed)[_STATE])


def _find_task(job: Job, position: list[int]) -> Task:
    occurrence, step, index = position
    return job.occurrences[occurrence][step].tasks[index]


def _locate(task: Task) -> list[int]:
    return [task.key.occurrence, task.key.step, task.key.index]


def _list_crashed_runs(task: Task) -> list[int]:
    """Return the crashed runs, with a run that may be about to crash.

    A leader may be lost before it knows of the crash. A successor that finds
    the run listed by its worker clears the task.
    """
    runs = list(task.crashed_runs)
    if task.state.placed and not task.proven and task.run not in runs:
        runs.append(task.run)
    return runs
