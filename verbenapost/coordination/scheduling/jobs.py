"""A job's tasks and how far they have come."""

import dataclasses
import enum
import math
from collections.abc import Iterator
from typing import Any, Final

import msgpack

from verbenapost.state.workloads import (
    JobSpec,
    JobState,
    StepSpec,
    TaskKey,
)


@enum.unique
class TaskState(enum.StrEnum):
    """Where a task stands.

    ``UNSURE`` is a start without an answer; the task may run.
    """

    WAITING = 'waiting'
    STARTING = 'starting'
    UNSURE = 'unsure'
    RUNNING = 'running'
    STOPPING = 'stopping'
    DONE = 'done'

    @property
    def placed(self) -> bool:
        """Whether the task takes room on a worker."""
        return self not in {TaskState.WAITING, TaskState.DONE}


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """A task; ``worker`` and ``run`` are those of its last start.

    :param key: identity.
    :param step: what its step asks for.
    :param state: where it stands.
    :param worker: identity of the worker, or empty.
    :param run: number of its last start.
    :param failed_runs: runs that have failed.
    :param checkpoint: where to go on from.
    :param started_at: local seconds of the last start.
    :param percent: share of its speed that it is allowed.
    :param load: last figure of its worker for it.
    :param seen_at: local seconds at which its worker last answered for it.
    :param stop_asked_at: local seconds at which its stop was last ordered.
    :param stop_sent: whether a stop of this run was acknowledged.
    """

    key: TaskKey
    step: StepSpec
    state: TaskState = TaskState.WAITING
    worker: str = ''
    run: int = 0
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ''
    started_at: float = 0
    percent: int = 100
    load: float = 0
    seen_at: float = 0
    stop_asked_at: float = -math.inf
    stop_sent: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class StepRun:
    """One step of one occurrence.

    :param job: the job.
    :param occurrence: number of the occurrence.
    :param number: number of the step.
    :param spec: what the step asks for.
    :param tasks: its tasks.
    :param done: how many are done.
    """

    job: 'Job'
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task]
    done: int = 0

    @property
    def complete(self) -> bool:
        """Whether all tasks are done."""
        return self.done == len(self.tasks)

    @property
    def due_at(self) -> float:
        """Unix time in seconds before which nothing may start."""
        spec = self.job.spec
        if not spec.repetitions:
            return 0
        return spec.start_at + self.occurrence * spec.interval

    def is_open(self) -> bool:
        """Return whether all steps that have to be done before are done."""
        row = self.job.occurrences[self.occurrence]
        return all(row[number].complete for number in self.spec.after)


_DONE: Final = 'done'
_FAILED: Final = 'failed'
_SAVED: Final = 'saved'
_STATE: Final = 'state'


class Job:
    """A job with all its tasks.

    :param spec: as submitted.
    :param arrived: local seconds at which it was first seen here.
    :param inherited: whether a former owner may have started its tasks.
    :ivar ended_at: local seconds at which its end was stored, if it was.
    """

    def __init__(
        self,
        spec: JobSpec,
        arrived: float,
        *,
        inherited: bool = False,
    ) -> None:
        self.inherited = inherited
        self.spec = spec
        self.arrived = arrived
        self.state = JobState.QUEUED
        self.revision = 0
        self.stored_state = JobState.QUEUED
        self.ended_at: float | None = None
        self.occurrences = [
            [self._make_step(number, step) for step in range(len(spec.steps))]
            for number in range(max(1, spec.repetitions))
        ]

    @property
    def long_running(self) -> bool:
        """Whether it runs until it is cancelled."""
        return any(step.long_running for step in self.spec.steps)

    def steps(self) -> Iterator[StepRun]:
        """Yield the steps of all occurrences."""
        for row in self.occurrences:
            yield from row

    def tasks(self) -> Iterator[Task]:
        """Yield all tasks."""
        for step in self.steps():
            yield from step.tasks

    def find_open(self, wall: float) -> Iterator[StepRun]:
        """Yield the steps whose tasks may start.

        :param wall: Unix seconds.
        """
        for step in self.steps():
            if not step.complete and step.due_at <= wall and step.is_open():
                yield step

    def find_step(self, key: TaskKey) -> StepRun | None:
        """Return the step of a task, or ``None`` when there is none."""
        if key.occurrence >= len(self.occurrences):
            return None
        row = self.occurrences[key.occurrence]
        return row[key.step] if key.step < len(row) else None

    def find_task(self, key: TaskKey) -> Task | None:
        """Return a task, or ``None`` when the job has none of that name."""
        step = self.find_step(key)
        if step is None or key.index >= len(step.tasks):
            return None
        return step.tasks[key.index]

    def finish(self, task: Task) -> None:
        """Note that a task is done."""
        step = self.find_step(task.key)
        if step is None or task.state is TaskState.DONE:
            return
        task.state = TaskState.DONE
        step.done += 1
        if all(row.complete for row in self.steps()):
            self.state = JobState.COMPLETED

    def pack(self) -> bytes:
        """Return what has to outlive this process.

        Of a job that has ended that is its state.
        """
        if self.state.ended:
            ended: bytes = msgpack.packb({_STATE: self.state.value})
            return ended
        fields: dict[str, Any] = {
            _STATE: self.state.value,
            _DONE: [
                [task.key.occurrence, task.key.step, task.key.index]
                for task in self.tasks()
                if task.state is TaskState.DONE
            ],
            _FAILED: [
                [*_locate(task), list(task.failed_runs)]
                for task in self.tasks()
                if task.failed_runs
            ],
            _SAVED: [
                [*_locate(task), task.checkpoint]
                for task in self.tasks()
                if task.checkpoint and task.state is not TaskState.DONE
            ],
        }
        packed: bytes = msgpack.packb(fields)
        return packed

    def restore(self, packed: bytes, revision: int) -> None:
        """Take over what a former owner has stored.

        :raises ValueError: when it can't be read.
        """
        fields = msgpack.unpackb(packed)
        for place in fields.get(_DONE, ()):
            self.finish(self._locate(place))
        for *place, runs in fields.get(_FAILED, ()):
            self._locate(place).failed_runs = tuple(runs)
        for *place, checkpoint in fields.get(_SAVED, ()):
            self._locate(place).checkpoint = checkpoint
        self.state = JobState(fields[_STATE])
        self.stored_state = self.state
        self.revision = revision

    def _locate(self, place: list[int]) -> Task:
        occurrence, step, index = place
        return self.occurrences[occurrence][step].tasks[index]

    def _make_step(self, occurrence: int, number: int) -> StepRun:
        step = self.spec.steps[number]
        tasks = [
            Task(TaskKey(self.spec.job, occurrence, number, index), step)
            for index in range(step.count)
        ]
        return StepRun(self, occurrence, number, step, tasks)


def read_packed_state(packed: bytes) -> JobState:
    """Return the state of a stored progress.

    :raises ValueError: when it can't be read.
    """
    return JobState(msgpack.unpackb(packed)[_STATE])


def _locate(task: Task) -> list[int]:
    return [task.key.occurrence, task.key.step, task.key.index]
