"""Commands from the state of a pool to its workers."""

import dataclasses
from typing import final

from verbenapost.coordination.scheduling.jobs import Task


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Start a run whose capacity the state of the pool has booked already.

    :param worker: identity of the worker.
    :param task: the task.
    :param run: number of the run.
    :param payload: payload of the job.
    :param ticket: ticket issued by the queue's policy, or empty.
    """

    worker: str
    task: Task
    run: int
    payload: str
    ticket: str = ''


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a run.

    :param worker: identity of the worker.
    :param task: the task.
    :param run: number of the run.
    """

    worker: str
    task: Task
    run: int


Command = StartTask | StopTask
