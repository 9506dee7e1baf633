"""Scheduling decisions of a pool's job owner; has no clock and no I/O."""

import dataclasses
from collections.abc import Mapping
from typing import final

from result import Ok

from verbenapost.coordination.jobs import transitions
from verbenapost.coordination.jobs.commands import (
    ChangeJob,
    Command,
    StartTask,
    StopTask,
)
from verbenapost.coordination.jobs.entries import EntryResult, JobEntry
from verbenapost.coordination.jobs.eviction import (
    compute_usage,
    evict_tasks,
    stop_overdue,
)
from verbenapost.coordination.jobs.placement import PlacementRound
from verbenapost.coordination.jobs.reports import choose_transition
from verbenapost.coordination.jobs.sizes import (
    Size,
    SizeEstimator,
    estimate_used,
)
from verbenapost.coordination.jobs.waiting import WaitingQueue
from verbenapost.coordination.jobs.workers import Task, Worker, WorkerTable
from verbenapost.protocol.tasks import TaskReport, TaskReports
from verbenapost.state.jobs import JobRecord

#: Seconds after which a task ends unless its lease is renewed.
TASK_LEASE_SECONDS = 10.0

#: Seconds without a report or a lease after which a worker counts as lost; the
#: leases of its tasks have expired by then, so none of them still runs.
WORKER_LOST_SECONDS = 12.0


@dataclasses.dataclass(slots=True)
class _TrackedJob:
    """A job that has not ended.

    :param record: record as last read from the store.
    :param revision: revision of the record's key.
    :param pending: whether a change of the record is being written.
    """

    record: JobRecord
    revision: int
    pending: bool = False


@final
class JobScheduler:
    """Places the jobs of a pool and applies the reports on their tasks.

    Explanation
    ===========

    The records in the store are authoritative; the scheduler's state is
    rebuilt from them and from the workers' reports. Each change of a record
    is a transition that is refused when the record has changed in the
    meantime, so a scheduler that was paused, or whose process no longer owns
    the pool, can't overwrite the changes of its successor.

    :param holder: process that starts the tasks.
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.workers = WorkerTable()
        self.waiting = WaitingQueue()
        self.sizes = SizeEstimator()
        self._tracked: dict[str, _TrackedJob] = {}
        self._outbox: list[Command] = []
        self._wall = float(0)

    def find(self, job: str) -> JobRecord | None:
        """Return the record of a job that has not ended."""
        tracked = self._tracked.get(job)
        return None if tracked is None else tracked.record

    def configure(
        self,
        serving: Mapping[str, str],
        leaving: Mapping[str, str],
        now: float,
    ) -> None:
        """Replace the workers of the pool.

        :param serving: addresses by VM of workers that accept tasks.
        :param leaving: addresses by VM of workers that accept no new tasks.
        :param now: monotonic seconds.
        """
        self.workers.configure(serving, leaving, now)

    def adopt(self, entry: JobEntry, now: float) -> None:
        """Apply a record that was read from the store."""
        record = entry.record
        tracked = self._tracked.get(record.job)
        if tracked is not None and entry.revision < tracked.revision:
            return
        if record.state.ended:
            self._drop(record)
            return
        if tracked is None:
            tracked = _TrackedJob(record, entry.revision)
            self._tracked[record.job] = tracked
        tracked.record = record
        tracked.revision = entry.revision
        if record.state.waiting:
            self._enqueue(tracked)
        else:
            self._track_task(record, now)

    def finish_change(self, job: str, outcome: EntryResult, now: float) -> None:
        """Apply the outcome of a record change."""
        tracked = self._tracked.get(job)
        if tracked is not None:
            tracked.pending = False
        if isinstance(outcome, Ok):
            self.adopt(outcome.ok_value, now)
        elif tracked is not None and tracked.record.state.waiting:
            self._enqueue(tracked)

    def confirm_start(self, start: StartTask, now: float) -> None:
        """Expect a task in the reports that are requested from now on."""
        task = self.workers.find_task(start.vm, start.job)
        if task is not None and task.attempt == start.attempt:
            task.expected_since = now

    def list_renewals(self, vm: str) -> dict[str, int]:
        """Return the attempts by job of a VM's tasks to be renewed."""
        worker = self.workers.by_name.get(vm)
        if worker is None or worker.silent:
            return {}
        return self.workers.list_attempts(vm)

    def note_lease(self, vm: str, now: float) -> None:
        """Record that a lease is about to be sent to a worker."""
        self.workers.find(vm, now).last_lease_at = now

    def note_silence(self, vm: str, now: float) -> None:
        """Record that a worker has not answered a poll."""
        self.workers.find(vm, now).silent = True

    def apply_report(
        self,
        vm: str,
        report: TaskReports,
        asked_at: float,
        now: float,
    ) -> None:
        """Apply a worker's report on its tasks.

        :param vm: VM of the worker.
        :param report: the report.
        :param asked_at: monotonic seconds at which the report was requested.
        :param now: monotonic seconds.
        """
        worker = self.workers.find(vm, now)
        worker.capacity = Size(report.cpu, report.memory)
        worker.last_report_at = now
        worker.silent = False
        worker.lost = False
        reported = set()
        for task in report.tasks:
            reported.add((task.task, task.attempt))
            self._apply_task_report(worker, task)
        for known in tuple(worker.tasks.values()):
            since = known.expected_since
            if (known.job, known.attempt) in reported or since is None:
                continue
            if since <= asked_at:
                self._requeue(worker, known, 'Its worker no longer has it.')

    def tick(self, now: float, wall: float) -> list[Command]:
        """Run one round and return the commands to execute.

        :param now: monotonic seconds.
        :param wall: Unix time in seconds.
        """
        self._wall = wall
        for worker in tuple(self.workers.by_name.values()):
            heard_at = max(worker.last_report_at, worker.last_lease_at)
            if now - heard_at >= WORKER_LOST_SECONDS:
                self._mark_lost(worker)
            self._outbox.extend(stop_overdue(worker, now))
            self._outbox.extend(evict_tasks(worker, now))
        placement = PlacementRound(
            self.workers.by_name,
            self.waiting,
            self.sizes,
            now,
            wall,
        )
        self._outbox.extend(placement.unthrottle())
        usage = compute_usage(self.workers.by_name.values())
        for job, vm in placement.place(usage, self._find_waiting):
            self._order_start(job, vm)
        for oversized in placement.oversized:
            self._request_change(oversized, transitions.make_oversized(wall))
        self._outbox.extend(placement.commands)
        outgoing = self._outbox
        self._outbox = []
        return outgoing

    def _find_waiting(self, job: str) -> JobRecord:
        return self._tracked[job].record

    def _drop(self, record: JobRecord) -> None:
        tracked = self._tracked.pop(record.job, None)
        self.waiting.remove(record.job)
        self.workers.clear(record.job)
        if tracked is not None and record.vm:
            self._outbox.append(
                StopTask(record.vm, record.job, record.attempt),
            )

    def _enqueue(self, tracked: _TrackedJob) -> None:
        if tracked.pending:
            # A pending start keeps its booking until its change has finished.
            return
        record = tracked.record
        self.workers.clear_tasks(record.job)
        self.waiting.add(
            record.job,
            record.urgency,
            record.team,
            first=record.attempt > 0,
        )

    def _track_task(self, record: JobRecord, now: float) -> None:
        self.waiting.remove(record.job)
        task = self.workers.find_task(record.vm, record.job)
        if task is not None and task.attempt == record.attempt:
            return
        self.workers.clear(record.job)
        worker = self.workers.find(record.vm, now)
        task = self._make_task(record)
        task.expected_since = now
        worker.tasks[record.job] = task

    def _make_task(self, record: JobRecord) -> Task:
        return Task(
            record.job,
            record.attempt,
            record.urgency,
            record.team,
            self.sizes.estimate(record),
        )

    def _order_start(self, job: str, vm: str) -> None:
        tracked = self._tracked[job]
        self.workers.clear(job)
        self.waiting.remove(job)
        tracked.pending = True
        task = self._make_task(tracked.record)
        task.attempt += 1
        self.workers.by_name[vm].tasks[job] = task
        self._outbox.append(StartTask(job, task.attempt, vm))

    def _request_change(
        self, job: str, transition: transitions.Transition
    ) -> None:
        tracked = self._tracked.get(job)
        if tracked is not None and not tracked.pending:
            tracked.pending = True
            self._outbox.append(ChangeJob(job, transition))

    def _apply_task_report(self, worker: Worker, report: TaskReport) -> None:
        tracked = self._tracked.get(report.task)
        if tracked is None:
            # The job may be newer than the records read so far. If it isn't,
            # the task ends when its lease expires.
            return
        record = tracked.record
        replaced = report.attempt < record.attempt
        if replaced or _is_requeued(record, report.attempt):
            stop = StopTask(worker.name, report.task, report.attempt)
            self._outbox.append(stop)
            return
        current = transitions.is_current(record, report.attempt)
        if not current or record.vm != worker.name:
            return
        transition = choose_transition(worker.name, report, self._wall)
        if transition is None:
            self._update_usage(worker, record, report)
        else:
            self._request_change(report.task, transition)

    def _update_usage(
        self,
        worker: Worker,
        record: JobRecord,
        report: TaskReport,
    ) -> None:
        task = worker.tasks.get(record.job)
        if task is None:
            return
        task.share = report.share
        used_cpu = report.used_cpu
        used_memory = report.used_memory
        if used_cpu is None or used_memory is None or report.share < 1:
            return
        task.size = estimate_used(used_cpu, used_memory)
        self.sizes.observe(record, used_cpu, used_memory)

    def _requeue(self, worker: Worker, task: Task, detail: str) -> None:
        stop = StopTask(worker.name, task.job, task.attempt)
        self._outbox.append(stop)
        self._request_change(
            task.job, transitions.make_requeue(task.attempt, detail)
        )

    def _mark_lost(self, worker: Worker) -> None:
        worker.lost = True
        worker.reserved.clear()
        for task in tuple(worker.tasks.values()):
            self._request_change(
                task.job,
                transitions.make_requeue(task.attempt, 'Its worker was lost.'),
            )


def _is_requeued(record: JobRecord, attempt: int) -> bool:
    return record.state.waiting and record.attempt == attempt
