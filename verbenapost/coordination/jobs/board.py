"""Decisions of a pool's job owner, in plain calls with the time given."""

import dataclasses
from collections.abc import Mapping
from typing import final

from result import Ok

from verbenapost.coordination.jobs import steps
from verbenapost.coordination.jobs.commands import (
    ChangeJob,
    Command,
    StartTask,
    StopTask,
)
from verbenapost.coordination.jobs.entries import EntryResult, JobEntry
from verbenapost.coordination.jobs.placing import Placing
from verbenapost.coordination.jobs.sizes import Size, SizeBook, book_used
from verbenapost.coordination.jobs.upkeep import (
    count_usage,
    relieve,
    stop_late,
)
from verbenapost.coordination.jobs.verdicts import choose_step
from verbenapost.coordination.jobs.waiting import WaitingQueue
from verbenapost.coordination.jobs.workers import Task, Worker, WorkerTable
from verbenapost.protocol.tasks import TaskReport, WorkerReport
from verbenapost.state.jobs import JobRecord

#: Seconds after which a task ends unless its lease is renewed.
TASK_LEASE = 10.0

#: Seconds of silence after which the tasks of a worker run no more.
LOST_SECONDS = 12.0


@dataclasses.dataclass(slots=True)
class _Item:
    """A job that has not ended.

    :param pending: a change of its record is on its way.
    """

    record: JobRecord
    revision: int
    pending: bool = False


@final
class JobBoard:
    """Places the jobs of a pool, follows their tasks and judges reports.

    Explanation
    ===========

    The records in the store are the truth; the board is rebuilt from them
    and from the workers' reports. Each change of a record is a step that is
    refused when the record has moved on, so that a board that was paused, or
    has lost its duty, changes nothing that another has replaced.

    :param holder: process that starts the tasks.
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.workers = WorkerTable()
        self.waiting = WaitingQueue()
        self.sizes = SizeBook()
        self._items: dict[str, _Item] = {}
        self._outbox: list[Command] = []
        self._wall = float(0)

    def find(self, job: str) -> JobRecord | None:
        """Return the record of a job that has not ended."""
        item = self._items.get(job)
        return None if item is None else item.record

    def configure(
        self,
        serving: Mapping[str, str],
        leaving: Mapping[str, str],
        now: float,
    ) -> None:
        """Replace the workers of the pool.

        :param serving: addresses by VM of those that take tasks.
        :param leaving: addresses by VM of those that take none any more.
        """
        self.workers.configure(serving, leaving, now)

    def adopt(self, entry: JobEntry, now: float) -> None:
        """Take in a record as the store holds it."""
        record = entry.record
        item = self._items.get(record.job)
        if item is not None and entry.revision < item.revision:
            return
        if record.state.ended:
            self._drop(record)
            return
        if item is None:
            item = _Item(record, entry.revision)
            self._items[record.job] = item
        item.record = record
        item.revision = entry.revision
        if record.state.waiting:
            self._let_wait(item)
        else:
            self._let_run(record, now)

    def settle(self, job: str, outcome: EntryResult, now: float) -> None:
        """Take in how the change of a record ended."""
        item = self._items.get(job)
        if item is not None:
            item.pending = False
        if isinstance(outcome, Ok):
            self.adopt(outcome.ok_value, now)
        elif item is not None and item.record.state.waiting:
            self._let_wait(item)

    def confirm_start(self, start: StartTask, now: float) -> None:
        """Expect a task in the reports that are asked for from now on."""
        task = self.workers.find_task(start.vm, start.job)
        if task is not None and task.attempt == start.attempt:
            task.settled_at = now

    def list_renewals(self, vm: str) -> dict[str, int]:
        """Return the attempts of the tasks of a VM that shall go on."""
        return self.workers.list_attempts(vm)

    def take_report(
        self,
        vm: str,
        report: WorkerReport,
        asked_at: float,
        now: float,
    ) -> None:
        """Judge what a worker says of its tasks.

        :param asked_at: monotonic seconds when the report was asked for.
        """
        worker = self.workers.find(vm, now)
        worker.capacity = Size(report.cpu, report.memory)
        worker.heard_at = now
        worker.lost = False
        named = set()
        for task in report.tasks:
            named.add((task.task, task.attempt))
            self._judge(worker, task)
        for known in tuple(worker.tasks.values()):
            settled = known.settled_at
            if (known.job, known.attempt) in named or settled is None:
                continue
            if settled <= asked_at:
                self._requeue(worker, known, 'Its worker no longer has it.')

    def tick(self, now: float, wall: float) -> list[Command]:
        """Return what is to be done now.

        :param wall: Unix time in seconds.
        """
        self._wall = wall
        for worker in tuple(self.workers.rows.values()):
            if now - worker.heard_at >= LOST_SECONDS:
                self._lose(worker)
            self._outbox.extend(stop_late(worker, now))
            self._outbox.extend(relieve(worker, now))
        placing = Placing(self.workers.rows, self.waiting, self.sizes, now)
        self._outbox.extend(placing.restore())
        usage = count_usage(self.workers.rows.values())
        for job, vm in placing.place(usage, self._find_waiting):
            self._start(job, vm)
        for oversized in placing.oversized:
            self._change(oversized, steps.make_oversize(wall))
        self._outbox.extend(placing.commands)
        taken = self._outbox
        self._outbox = []
        return taken

    def _find_waiting(self, job: str) -> JobRecord:
        return self._items[job].record

    def _drop(self, record: JobRecord) -> None:
        item = self._items.pop(record.job, None)
        self.waiting.remove(record.job)
        self.workers.clear(record.job)
        if item is not None and record.vm:
            self._outbox.append(
                StopTask(record.vm, record.job, record.attempt),
            )

    def _let_wait(self, item: _Item) -> None:
        if item.pending:
            # A start may be on its way and keeps its room until settled.
            return
        record = item.record
        self.workers.clear_tasks(record.job)
        self.waiting.add(
            record.job,
            record.urgency,
            record.team,
            first=record.attempt > 0,
        )

    def _let_run(self, record: JobRecord, now: float) -> None:
        self.waiting.remove(record.job)
        task = self.workers.find_task(record.vm, record.job)
        if task is not None and task.attempt == record.attempt:
            return
        self.workers.clear(record.job)
        worker = self.workers.find(record.vm, now)
        task = self._make_task(record)
        task.settled_at = now
        worker.tasks[record.job] = task

    def _make_task(self, record: JobRecord) -> Task:
        return Task(
            record.job,
            record.attempt,
            record.urgency,
            record.team,
            self.sizes.estimate(record),
        )

    def _start(self, job: str, vm: str) -> None:
        item = self._items[job]
        self.workers.clear(job)
        self.waiting.remove(job)
        item.pending = True
        task = self._make_task(item.record)
        task.attempt += 1
        self.workers.rows[vm].tasks[job] = task
        self._outbox.append(StartTask(job, task.attempt, vm))

    def _change(self, job: str, step: steps.Step) -> None:
        item = self._items.get(job)
        if item is not None and not item.pending:
            item.pending = True
            self._outbox.append(ChangeJob(job, step))

    def _judge(self, worker: Worker, report: TaskReport) -> None:
        item = self._items.get(report.task)
        if item is None:
            # It may be newer than what this board has read; without its
            # lease it ends by itself.
            return
        record = item.record
        replaced = report.attempt < record.attempt
        if replaced or _is_closed(record, report.attempt):
            stop = StopTask(worker.name, report.task, report.attempt)
            self._outbox.append(stop)
            return
        current = steps.is_current(record, report.attempt)
        if not current or record.vm != worker.name:
            return
        step = choose_step(worker.name, report, self._wall)
        if step is None:
            self._follow(worker, record, report)
        else:
            self._change(report.task, step)

    def _follow(
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
        task.size = book_used(used_cpu, used_memory)
        self.sizes.observe(record, used_cpu, used_memory)

    def _requeue(self, worker: Worker, task: Task, detail: str) -> None:
        stop = StopTask(worker.name, task.job, task.attempt)
        self._outbox.append(stop)
        self._change(task.job, steps.make_requeue(task.attempt, detail))

    def _lose(self, worker: Worker) -> None:
        worker.lost = True
        worker.reserved.clear()
        for task in tuple(worker.tasks.values()):
            self._change(
                task.job,
                steps.make_requeue(task.attempt, 'Its worker was lost.'),
            )


def _is_closed(record: JobRecord, attempt: int) -> bool:
    return record.state.waiting and record.attempt == attempt
