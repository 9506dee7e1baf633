"""Jobs and workers of one pool."""

from collections.abc import Iterable, Iterator
from typing import Final

from verbenapost.coordination.scheduling.commands import Command, StopTask
from verbenapost.coordination.scheduling.jobs import (
    Job,
    StepRun,
    Task,
    TaskState,
)
from verbenapost.coordination.scheduling.runtimes import RunTimes
from verbenapost.coordination.scheduling.tickets import TicketBook
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.protocol.orders import Fault
from verbenapost.state.workloads import (
    JobState,
    Route,
    TaskKey,
    WorkerEntry,
)

#: Numbers of runs that one holder of the fencing token may use for a task.
RUNS_PER_TOKEN: Final = 1000

#: Seconds for which a worker that refused a start gets no other.
REFUSAL_PAUSE: Final = 0.3

#: Seconds for which a worker that reported no room gets no start.
ROOM_PAUSE: Final = 0.1

_UNANSWERED: Final = frozenset((TaskState.STARTING, TaskState.UNSURE))


class Board:
    """What is believed of one pool; has no clock and no socket.

    Explanation
    ===========

    While it is ``unsettled``, a worker that was not asked yet may run a task
    that a former owner has started; jobs of that time start nothing.

    :param service: name of the pool's service.
    :param token: fencing token of this owner.
    """

    def __init__(self, service: str, token: int) -> None:
        self.service = service
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, Job] = {}
        self.routes: dict[str, Route] = {}
        self.run_times = RunTimes()
        self.tickets = TicketBook()
        self.unsettled = False
        self.first_run = (token - 1) * RUNS_PER_TOKEN + 1
        self._dirty: set[str] = set()
        self._open: dict[str, Job] = {}

    def set_worker(self, entry: WorkerEntry) -> Worker:
        """Take a worker's entry; a worker that is new has to be adopted."""
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = Worker(entry)
            self.workers[entry.worker] = worker
        worker.entry = entry
        worker.listed = True
        return worker

    def lose_worker(self, name: str) -> list[Task]:
        """Free the tasks of a worker whose life is over for sure."""
        worker = self.workers.pop(name, None)
        return [] if worker is None else self.free_tasks(worker)

    def free_tasks(self, worker: Worker) -> list[Task]:
        """Free the tasks of a worker on which every lease has lapsed."""
        lost = list(worker.tasks.values())
        for task in lost:
            worker.release(task)
            self.free(task)
        return lost

    def add_job(self, job: Job, route: Route) -> None:
        """Take a job; one that has ended is kept for questions only."""
        self.jobs[job.spec.job] = job
        self.routes[job.spec.job] = route
        if not job.state.ended:
            self._open[job.spec.job] = job

    def drop_job(self, name: str) -> None:
        """Forget a job that ended long ago."""
        self.jobs.pop(name, None)
        self.routes.pop(name, None)
        self._open.pop(name, None)

    def cancel_job(self, name: str) -> list[Command]:
        """End a job on its caller's wish; one that has ended stays so."""
        job = self.jobs.get(name)
        if job is None or job.state.ended:
            return []
        return self.end_job(job, JobState.CANCELLED)

    def end_job(self, job: Job, state: JobState) -> list[Command]:
        """End a job and return the stops of what runs of it."""
        job.state = state
        self.mark(job)
        return [
            StopTask(task.worker, task, task.run)
            for task in job.tasks()
            if task.state.placed
        ]

    def find_route(self, job: Job) -> Route:
        """Return the route of a job."""
        return self.routes[job.spec.job]

    def find_task(self, key: TaskKey) -> Task | None:
        """Return a task, or ``None`` when no job has it."""
        job = self.jobs.get(key.job)
        return None if job is None else job.find_task(key)

    def count_pending(self, route: str) -> int:
        """Return the jobs of a route of which nothing has started."""
        return sum(
            1
            for job in self._open.values()
            if job.spec.route == route and job.state is JobState.QUEUED
        )

    def open_jobs(self) -> Iterable[Job]:
        """Return the jobs that have not ended."""
        return self._open.values()

    def open_steps(self, wall: float) -> Iterator[StepRun]:
        """Yield the steps whose tasks may start.

        :param wall: Unix seconds.
        """
        for job in self._open.values():
            if not (job.inherited and self.unsettled):
                yield from job.find_open(wall)

    def estimate_objective(self, job: Job) -> float:
        """Return the seconds in which a job should be completed."""
        route = self.find_route(job)
        chain = self.run_times.estimate(route.name) * len(job.spec.steps)
        return route.slack_factor * chain + route.target_latency

    def take_dirty(self) -> set[str]:
        """Return the jobs whose record has changed since the last call."""
        dirty = self._dirty
        self._dirty = set()
        return dirty

    def mark(self, job: Job) -> None:
        """Note that a job's record has changed."""
        self._dirty.add(job.spec.job)
        if job.state.ended:
            self._open.pop(job.spec.job, None)

    def free(self, task: Task) -> None:
        """Have a task wait again, unless it is done."""
        self.release(task)
        if task.state is not TaskState.DONE:
            task.state = TaskState.WAITING

    def release(self, task: Task) -> None:
        """Free the room that a task takes."""
        worker = self.workers.get(task.worker)
        if worker is not None:
            worker.release(task)

    def note_running(self, task: Task, now: float) -> None:
        """Note that a task runs."""
        task.state = TaskState.RUNNING
        task.seen_at = now
        job = self.jobs[task.key.job]
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING

    def note_started(self, task: Task, run: int, now: float) -> None:
        """Note that a worker has begun a run."""
        if task.run == run and task.state in _UNANSWERED:
            self.note_running(task, now)

    def note_stopped(self, task: Task, run: int, now: float) -> None:
        """Note that a worker has acknowledged a stop."""
        if task.run == run:
            task.stop_sent = True
            task.seen_at = now

    def note_start_failed(
        self,
        task: Task,
        run: int,
        fault: Fault,
        now: float,
    ) -> None:
        """Note that a start was refused or had no answer."""
        if task.run != run or task.state not in _UNANSWERED:
            return
        if fault is Fault.UNKNOWN:
            task.state = TaskState.UNSURE
            return
        worker = self.workers.get(task.worker)
        if worker is not None:
            pause = ROOM_PAUSE if fault is Fault.NO_ROOM else REFUSAL_PAUSE
            worker.avoid_until = max(worker.avoid_until, now + pause)
        if fault is Fault.NO_TICKET:
            self.tickets.drop(task.key)
        self.free(task)
