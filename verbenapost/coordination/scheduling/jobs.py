"""Jobs, their tasks and their progress."""

import dataclasses
import enum
import math
from collections.abc import Iterator
from typing import Final

from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.state.workloads import (
    CallerJobState,
    JobSpec,
    StepSpec,
    TaskKey,
)

#: Percent of full speed at which a run starts.
FULL_PACE: Final = 100

#: Percent of progress at which a long-running task is at work.
FULL_PROGRESS: Final = 100


@enum.unique
class TaskState(enum.StrEnum):
    """State of a task.

    ``UNSURE`` means that the start was not answered; the task may be running.
    """

    WAITING = 'waiting'
    STARTING = 'starting'
    UNSURE = 'unsure'
    RUNNING = 'running'
    STOPPING = 'stopping'
    DONE = 'done'

    @property
    def placed(self) -> bool:
        """Whether the task occupies capacity on a worker."""
        return self not in {TaskState.WAITING, TaskState.DONE}


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """A task; ``worker`` and ``run`` are those of its last start.

    :param key: identity.
    :param step: specification of the task's step.
    :param tenant: name of the job's tenant, or empty.
    :param state: state of the task.
    :param worker: identity of the worker, or empty.
    :param run: number of the last run.
    :param failed_runs: numbers of the runs that have failed.
    :param crashed_runs: numbers of the runs under which workers have crashed
        since a run of the task was last proven not to crash its worker.
    :param checkpoint: checkpoint from which the next run resumes.
    :param started_at: local seconds of the last start.
    :param confirmed_at: local seconds at which the last run was first known to
        run.
    :param proven: whether the last run has not crashed its worker.
    :param pace: percent of full speed that the task is allowed; ``None`` when
        a former leader may have set it.
    :param progress: percent of the task's work that the worker last reported
        as done, or of its startup if it is long-running.
    :param load: load that the worker last reported for the task.
    :param seen_at: local seconds at which the worker last confirmed the task.
    :param stop_requested_at: local seconds at which a stop was last requested.
    :param stop_acknowledged: whether a stop of this run was acknowledged.
    """

    key: TaskKey
    step: StepSpec
    tenant: str = ''
    state: TaskState = TaskState.WAITING
    worker: str = ''
    run: int = 0
    failed_runs: tuple[int, ...] = ()
    crashed_runs: tuple[int, ...] = ()
    checkpoint: str = ''
    started_at: float = 0
    confirmed_at: float = math.inf
    proven: bool = False
    pace: int | None = FULL_PACE
    progress: int = 0
    load: float = 0
    seen_at: float = 0
    stop_requested_at: float = -math.inf
    stop_acknowledged: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class StepRun:
    """One step in one occurrence of a job.

    :param job: the job.
    :param occurrence: number of the occurrence.
    :param number: number of the step.
    :param spec: specification of the step.
    :param tasks: tasks of the step.
    :param done: number of tasks that are done.
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
        """Unix time in seconds before which no task may start."""
        spec = self.job.spec
        if not spec.repetitions:
            return 0
        return spec.start_at + self.occurrence * spec.interval

    def find_arrival(self, moment: Moment) -> float:
        """Return the local seconds from which on the tasks may start.

        That is the arrival of the job, or the time at which its occurrence is
        due if that is later.
        """
        due_in = self.due_at - moment.wall
        return max(self.job.arrived_at, moment.now + due_in)

    def includes(self, key: TaskKey) -> bool:
        """Return whether a task is one of this step and occurrence."""
        return (
            key.job == self.job.spec.job
            and key.step == self.number
            and key.occurrence == self.occurrence
        )

    def has_waiting(self) -> bool:
        """Return whether a task waits to start."""
        return any(task.state is TaskState.WAITING for task in self.tasks)

    def count_waiting(self) -> int:
        """Return the number of tasks that wait to start."""
        return sum(task.state is TaskState.WAITING for task in self.tasks)

    def is_open(self) -> bool:
        """Return whether all prerequisite steps are complete."""
        occurrence_steps = self.job.occurrences[self.occurrence]
        return all(
            occurrence_steps[number].complete for number in self.spec.after
        )


class Job:
    """A job with all its tasks.

    :param spec: the job as submitted.
    :param arrived_at: local seconds at which the job was first seen here.
    :param inherited: whether a former leader may have started its tasks.
    :ivar ended_at: local seconds at which the end was stored, or ``None``.
    """

    def __init__(
        self,
        spec: JobSpec,
        arrived_at: float,
        *,
        inherited: bool = False,
    ) -> None:
        self.inherited = inherited
        self.spec = spec
        self.arrived_at = arrived_at
        self.state = CallerJobState.QUEUED
        self.revision = 0
        self.stored_state = CallerJobState.QUEUED
        self.ended_at: float | None = None
        self.occurrences = [
            [self._make_step(number, step) for step in range(len(spec.steps))]
            for number in range(max(1, spec.repetitions))
        ]

    @property
    def tenant_name(self) -> str:
        """Name of the job's tenant, or empty."""
        tenant = self.spec.tenant
        return '' if tenant is None else tenant.name

    @property
    def long_running(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.spec.steps)

    def steps(self) -> Iterator[StepRun]:
        """Yield the steps of all occurrences."""
        for occurrence_steps in self.occurrences:
            yield from occurrence_steps

    def tasks(self) -> Iterator[Task]:
        """Yield all tasks."""
        for step in self.steps():
            yield from step.tasks

    @property
    def suspect(self) -> bool:
        """Whether the job is open and workers have crashed under its tasks."""
        return not self.state.ended and any(
            task.crashed_runs for task in self.tasks()
        )

    def find_open_steps(self, wall: float) -> Iterator[StepRun]:
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
        occurrence_steps = self.occurrences[key.occurrence]
        return (
            occurrence_steps[key.step]
            if key.step < len(occurrence_steps)
            else None
        )

    def find_task(self, key: TaskKey) -> Task | None:
        """Return a task, or ``None`` when there is none with this key."""
        step = self.find_step(key)
        if step is None or key.index >= len(step.tasks):
            return None
        return step.tasks[key.index]

    def finish(self, task: Task) -> None:
        """Mark a task as done; an open job completes with its last task."""
        step = self.find_step(task.key)
        if step is None or task.state is TaskState.DONE:
            return
        task.state = TaskState.DONE
        step.done += 1
        complete = all(other.complete for other in self.steps())
        if complete and not self.state.ended:
            self.state = CallerJobState.COMPLETED

    def _make_step(self, occurrence: int, number: int) -> StepRun:
        step = self.spec.steps[number]
        tenant = self.tenant_name
        tasks = [
            Task(
                TaskKey(self.spec.job, occurrence, number, index), step, tenant
            )
            for index in range(step.count)
        ]
        return StepRun(self, occurrence, number, step, tasks)
