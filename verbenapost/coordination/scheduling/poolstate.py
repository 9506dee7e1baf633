"""The leader's state of one pool: its workers, jobs and tasks."""

from collections.abc import Iterable
from typing import Final

from verbenapost.coordination.scheduling.commands import Command, StopTask
from verbenapost.coordination.scheduling.interference import Interference
from verbenapost.coordination.scheduling.jobs import (
    Job,
    StepRun,
    Task,
    TaskState,
)
from verbenapost.coordination.scheduling.quotas import QuotaGate, TenantUsage
from verbenapost.coordination.scheduling.reservations import Reservations
from verbenapost.coordination.scheduling.runtimes import RunTimes
from verbenapost.coordination.scheduling.tickets import TicketCache
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.protocol.orders import CallFaultKind
from verbenapost.state.workloads import (
    CallerJobState,
    Route,
    TaskKey,
    WorkerEntry,
)

#: Run numbers per fencing token: the runs of a task under one token are
#: numbered within a range of this length, above those of earlier tokens.
RUN_NUMBERS_PER_TOKEN: Final = 1000

#: Seconds for which a worker that refused a start gets no other start.
REFUSAL_PAUSE_SECONDS: Final = 0.3

#: Seconds for which a worker that refused a start for lack of capacity gets
#: no other start.
NO_CAPACITY_PAUSE_SECONDS: Final = 0.1

_UNANSWERED: Final = frozenset((TaskState.STARTING, TaskState.UNSURE))


class PoolState:
    """State of one pool as its leader knows it; has no clock and no I/O.

    Explanation
    ===========

    While ``recovering`` is set, a worker that has not reported yet may still
    run a task that a former leader started, so no task of an inherited job is
    started.

    :param service: name of the pool's service.
    :param token: fencing token of this leader.
    :param gate: caps of the tenants, shared by the pools of a leader.
    :ivar usage: use of this pool by tenant.
    :ivar has_tenants: whether there has been a job of a tenant.
    :param interference: the leader's findings of interference, if it detects
        any.
    :ivar unplaced: long-running tasks for which no worker has capacity.
    :ivar suspects: open jobs under whose tasks workers have crashed.
    :ivar kept_workers: names of the workers that are kept free for a suspect
        job, with the job.
    """

    def __init__(
        self,
        service: str,
        token: int,
        gate: QuotaGate | None = None,
        interference: Interference | None = None,
    ) -> None:
        self.service = service
        self.gate = QuotaGate() if gate is None else gate
        self.usage = TenantUsage(self.gate.usage)
        self.has_tenants = False
        self.interference = interference
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, Job] = {}
        self.routes: dict[str, Route] = {}
        self.reservations = Reservations(self.jobs)
        self.unplaced: list[Task] = []
        self.suspects: dict[str, Job] = {}
        self.kept_workers: dict[str, str] = {}
        self.run_times = RunTimes()
        self.tickets = TicketCache()
        self.recovering = False
        self.first_run_number = (token - 1) * RUN_NUMBERS_PER_TOKEN + 1
        self._changed_jobs: set[str] = set()
        self._open_jobs: dict[str, Job] = {}
        # Jobs without a task to start, until one of their tasks changes.
        self._idle_jobs: set[str] = set()

    def set_worker(self, entry: WorkerEntry) -> Worker:
        """Store a worker's entry; a new worker has yet to be reconciled."""
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = Worker(entry, usage=self.usage)
            self.workers[entry.worker] = worker
        worker.entry = entry
        worker.listed = True
        return worker

    def remove_worker(self, name: str) -> list[Task]:
        """Remove a worker whose incarnation has ended and free its tasks."""
        worker = self.workers.pop(name, None)
        return [] if worker is None else self.free_tasks(worker)

    def free_tasks(self, worker: Worker) -> list[Task]:
        """Release the tasks of a worker whose leases have all lapsed.

        :returns: the tasks, which wait again unless they are done.
        """
        worker.clear_unbooked()
        lost = list(worker.tasks.values())
        for task in lost:
            worker.release(task)
            self.free_task(task)
        return lost

    def add_job(self, job: Job, route: Route) -> None:
        """Add a job; one that has ended only answers queries."""
        self.jobs[job.spec.job] = job
        self.routes[job.spec.job] = route
        self.has_tenants = self.has_tenants or job.spec.tenant is not None
        if not job.state.ended:
            self._open_jobs[job.spec.job] = job
        if job.suspect:
            self.suspects[job.spec.job] = job

    def drop_job(self, name: str) -> None:
        """Remove a job that ended long ago."""
        self.jobs.pop(name, None)
        self.routes.pop(name, None)
        self._open_jobs.pop(name, None)
        self._idle_jobs.discard(name)

    def cancel_job(self, name: str) -> list[Command]:
        """Cancel a job; a job that has ended keeps its state."""
        job = self.jobs.get(name)
        if job is None or job.state.ended:
            return []
        return self.end_job(job, CallerJobState.CANCELLED)

    def end_job(self, job: Job, state: CallerJobState) -> list[Command]:
        """End a job and return the stops of its placed tasks."""
        job.state = state
        self.mark_changed(job)
        for waiting in job.tasks():
            self.reservations.release(waiting)
        return [
            StopTask(task.worker, task, task.run)
            for task in job.tasks()
            if task.state.placed
        ]

    def find_route(self, job: Job) -> Route:
        """Return the route of a job."""
        return self.routes[job.spec.job]

    def find_task(self, key: TaskKey) -> Task | None:
        """Return a task, or ``None`` when there is none with this key."""
        job = self.jobs.get(key.job)
        return None if job is None else job.find_task(key)

    def count_pending(self, route: str) -> int:
        """Return how many jobs of a route have not started a task."""
        return sum(
            1
            for job in self._open_jobs.values()
            if job.spec.route == route and job.state is CallerJobState.QUEUED
        )

    def list_open_jobs(self) -> Iterable[Job]:
        """Return the jobs that have not ended."""
        return self._open_jobs.values()

    def find_waiting_steps(self, wall: float) -> list[StepRun]:
        """Return the steps with tasks that may start now.

        :param wall: Unix seconds.
        """
        found: list[StepRun] = []
        for name, job in self._open_jobs.items():
            if name in self._idle_jobs or (job.inherited and self.recovering):
                continue
            steps = [
                step for step in job.find_open_steps(wall) if step.has_waiting()
            ]
            if not steps and not job.spec.repetitions:
                self._idle_jobs.add(name)
            found.extend(steps)
        return found

    def estimate_objective(self, job: Job) -> float:
        """Return the seconds within which a job should be completed."""
        route = self.find_route(job)
        chain = self.run_times.estimate(route.name) * len(job.spec.steps)
        return route.slack_factor * chain + route.target_latency

    def pop_dirty_jobs(self) -> set[str]:
        """Return and clear the jobs whose record has changed."""
        dirty = self._changed_jobs
        self._changed_jobs = set()
        return dirty

    def mark_changed(self, job: Job) -> None:
        """Mark a job's record as changed."""
        self._changed_jobs.add(job.spec.job)
        self._idle_jobs.discard(job.spec.job)
        if job.state.ended:
            self._open_jobs.pop(job.spec.job, None)

    def free_task(self, task: Task) -> None:
        """Release a task's worker; the task waits again unless it is done."""
        self.release(task)
        if task.state is not TaskState.DONE:
            task.state = TaskState.WAITING
            self._idle_jobs.discard(task.key.job)

    def release(self, task: Task) -> None:
        """Release the capacity that is booked for a task."""
        worker = self.workers.get(task.worker)
        if worker is not None:
            worker.release(task)

    def note_running(self, task: Task, now: float) -> None:
        """Record that a task is running."""
        task.state = TaskState.RUNNING
        task.seen_at = now
        task.confirmed_at = min(task.confirmed_at, now)
        job = self.jobs[task.key.job]
        if job.state is CallerJobState.QUEUED:
            job.state = CallerJobState.RUNNING

    def note_started(self, task: Task, run: int, now: float) -> None:
        """Record that a worker has acknowledged a start."""
        if task.run == run and task.state in _UNANSWERED:
            self.note_running(task, now)

    def note_stopped(self, task: Task, run: int, now: float) -> None:
        """Record that a worker has acknowledged a stop."""
        if task.run == run:
            task.stop_acknowledged = True
            task.seen_at = now

    def note_start_failed(
        self,
        task: Task,
        run: int,
        kind: CallFaultKind,
        now: float,
    ) -> None:
        """Record that a start was refused or not answered."""
        if task.run != run or task.state not in _UNANSWERED:
            return
        if kind is CallFaultKind.UNKNOWN:
            task.state = TaskState.UNSURE
            return
        worker = self.workers.get(task.worker)
        if worker is not None:
            pause = (
                NO_CAPACITY_PAUSE_SECONDS
                if kind is CallFaultKind.NO_CAPACITY
                else REFUSAL_PAUSE_SECONDS
            )
            worker.avoid_until = max(worker.avoid_until, now + pause)
        if kind is CallFaultKind.NO_TICKET:
            self.tickets.drop(task.key)
        self.free_task(task)
