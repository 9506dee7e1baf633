"""Reconciliation of a worker's report with the state of its pool."""

from collections.abc import Sequence
from typing import Final

from verbenapost.coordination.scheduling.commands import Command, StopTask
from verbenapost.coordination.scheduling.crashes import (
    clear_suspicion,
    note_listed,
)
from verbenapost.coordination.scheduling.evacuation import may_stop
from verbenapost.coordination.scheduling.jobs import Task, TaskState
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.protocol.orders import (
    ListedRun,
    RunEnd,
    RunEndKind,
    WorkerReport,
)
from verbenapost.state.workloads import (
    CallerJobState,
    StepSpec,
)

#: Seconds after which an unanswered stop is requested again.
STOP_RETRY_SECONDS: Final = 1.0

_STARTED: Final = frozenset((TaskState.RUNNING, TaskState.STOPPING))

#: States of booked tasks whose start may still reach the worker. A task that
#: is done stays booked while a later run of it is being stopped.
_START_UNRESOLVED: Final = frozenset((TaskState.UNSURE, TaskState.DONE))


class ReportReconciler:
    """Reconciles one report of a worker with the state of its pool.

    :param pool_state: state of the worker's pool.
    :param worker: worker that sent the report.
    :param now: local seconds.
    """

    def __init__(
        self, pool_state: PoolState, worker: Worker, now: float
    ) -> None:
        self._pool_state = pool_state
        self._worker = worker
        self._now = now

    def apply(
        self,
        report: WorkerReport,
        ends: Sequence[RunEnd],
        sent: float,
    ) -> list[Command]:
        """Apply a report and return the resulting stops.

        :param report: the worker's report.
        :param ends: run ends that were not applied before.
        :param sent: local seconds at which the report was requested.
        """
        commands: list[Command] = []
        self._worker.clear_unbooked()
        self._worker.has_unknown_runs = False
        for row in report.running:
            commands.extend(self.reconcile_run(row))
        for end in ends:
            commands.extend(self.apply_end(end))
        listed = {(seen.task, seen.run) for seen in report.running}
        listed.update((run_end.task, run_end.run) for run_end in ends)
        for task in list(self._worker.tasks.values()):
            conclusive = task.seen_at < sent and _is_absence_conclusive(task)
            absent = report.complete and (task.key, task.run) not in listed
            if conclusive and absent:
                self._pool_state.free_task(task)
        commands.extend(self._stop_unresolved())
        return commands

    def reconcile_run(self, row: ListedRun) -> list[Command]:
        """Reconcile a running task of the report with the pool state."""
        name = self._worker.entry.worker
        task = self._pool_state.find_task(row.task)
        if task is None:
            # An unknown task occupies an unknown amount of capacity.
            self._worker.has_unknown_runs = True
            return [StopTask(name, Task(row.task, StepSpec(1)), row.run)]
        is_latest_run = task.worker == name and task.run == row.run
        if is_latest_run and task.state is not TaskState.DONE:
            return self._confirm(task, row)
        if is_latest_run and task.key in self._worker.tasks:
            # Another run was done first; this run stays booked until it ends.
            task.seen_at = self._now
            return self._stop(task)
        if task.state is TaskState.WAITING and not self._is_ended(task):
            task.worker = name
            task.run = row.run
            task.started_at = self._now
            task.confirmed_at = self._now
            task.proven = False
            # A former leader may have slowed it down.
            task.pace = None
            self._worker.book(task)
            return self._confirm(task, row)
        self._worker.add_unbooked(task)
        return [StopTask(name, task, row.run)]

    def apply_end(self, end: RunEnd) -> list[Command]:
        """Apply a run end; marks the job when its record changes."""
        task = self._pool_state.find_task(end.task)
        if task is None or task.state is TaskState.DONE:
            self._release_run(end)
            return []
        name = self._worker.entry.worker
        current = task.worker == name and task.run == end.run
        done = end.kind is RunEndKind.DONE
        if done and not task.step.long_running:
            return self._finish(task, current=current)
        if done:
            # A long-running task starts again however its run ends.
            clear_suspicion(self._pool_state, task)
        if current:
            self._keep_checkpoint(task, end)
            self._pool_state.free_task(task)
        if end.kind is RunEndKind.FAILED:
            return self._fail(task, end)
        return []

    def _confirm(self, task: Task, row: ListedRun) -> list[Command]:
        task.checkpoint = row.checkpoint or task.checkpoint
        task.progress = row.progress
        task.load = row.load
        note_listed(self._pool_state, task, self._now)
        if self._is_ended(task):
            task.seen_at = self._now
            task.state = TaskState.STOPPING
            self._worker.book(task)
            return self._stop(task)
        if task.state is TaskState.STOPPING:
            return self._repeat_evacuation(task)
        self._worker.book(task)
        self._pool_state.note_running(task, self._now)
        return []

    def _repeat_evacuation(self, task: Task) -> list[Command]:
        """Return the stop of an evacuated task once more if it got lost."""
        if self._worker.entry.draining or may_stop(self._pool_state, task):
            return self._stop(task)
        return []

    def _stop_unresolved(self) -> list[Command]:
        """Return stops for runs whose start may still reach the worker.

        A worker that has acknowledged a stop refuses a later start of the
        same run.
        """
        return [
            command
            for task in self._worker.tasks.values()
            if task.state in _START_UNRESOLVED
            for command in self._stop(task)
        ]

    def _stop(self, task: Task) -> list[Command]:
        """Return a stop, unless one is acknowledged or still pending."""
        waited = self._now - task.stop_requested_at
        if task.stop_acknowledged or waited < STOP_RETRY_SECONDS:
            return []
        task.stop_requested_at = self._now
        return [StopTask(task.worker, task, task.run)]

    def _finish(self, task: Task, *, current: bool) -> list[Command]:
        pool_state = self._pool_state
        job = pool_state.jobs[task.key.job]
        commands: list[Command] = []
        clear_suspicion(pool_state, task)
        if current:
            seconds = self._now - task.started_at
            pool_state.run_times.observe(job.spec.route, seconds)
        elif task.state.placed:
            # The later run occupies capacity until its end is reported.
            task.stop_requested_at = self._now
            commands.append(StopTask(task.worker, task, task.run))
            job.finish(task)
        members = [task]
        step = job.find_step(task.key)
        if task.step.gang and step is not None:
            # The end of one member of a gang completes all members.
            members = step.tasks
        for member in members:
            if member.state is not TaskState.DONE:
                pool_state.release(member)
                job.finish(member)
        pool_state.mark_changed(job)
        return commands

    def _fail(self, task: Task, end: RunEnd) -> list[Command]:
        job = self._pool_state.jobs[task.key.job]
        clear_suspicion(self._pool_state, task)
        if end.run not in task.failed_runs:
            task.failed_runs = (*task.failed_runs, end.run)
            self._pool_state.mark_changed(job)
        if task.step.long_running or job.state.ended:
            return []
        attempt_limit = self._pool_state.find_route(job).max_attempts
        if len(task.failed_runs) >= attempt_limit:
            return self._pool_state.end_job(job, CallerJobState.FAILED)
        return []

    def _keep_checkpoint(self, task: Task, end: RunEnd) -> None:
        if end.checkpoint and end.checkpoint != task.checkpoint:
            task.checkpoint = end.checkpoint
            self._pool_state.mark_changed(self._pool_state.jobs[task.key.job])

    def _is_ended(self, task: Task) -> bool:
        return self._pool_state.jobs[task.key.job].state.ended

    def _release_run(self, end: RunEnd) -> None:
        booked = self._worker.tasks.get(end.task)
        if booked is not None and booked.run == end.run:
            self._worker.release(booked)


def _is_absence_conclusive(task: Task) -> bool:
    """Return whether a report without the task shows that its run is over."""
    if task.state in _START_UNRESOLVED:
        return task.stop_acknowledged
    return task.state in _STARTED
