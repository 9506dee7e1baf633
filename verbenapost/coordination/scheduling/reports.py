"""A worker's lists, compared with what its board believes."""

from collections.abc import Sequence
from typing import Final

from verbenapost.coordination.scheduling.board import Board
from verbenapost.coordination.scheduling.commands import Command, StopTask
from verbenapost.coordination.scheduling.jobs import Task, TaskState
from verbenapost.coordination.scheduling.workers import (
    Worker,
    measure_task,
)
from verbenapost.protocol.orders import (
    EndKind,
    RunEnd,
    RunningTask,
    WorkerReport,
)
from verbenapost.state.workloads import JobState, Size, StepSpec

#: Seconds after which a stop that had no answer is ordered again.
STOP_AGAIN_SECONDS: Final = 1.0

_RUNS: Final = frozenset((TaskState.RUNNING, TaskState.STOPPING))

#: States of which a start may still be on its way; one that is done is booked
#: while a later run of it is being stopped.
_UNBARRED: Final = frozenset((TaskState.UNSURE, TaskState.DONE))


class ReportReader:
    """Applies one report of a worker to its board.

    :param board: the board.
    :param worker: the worker.
    :param now: local seconds.
    """

    def __init__(self, board: Board, worker: Worker, now: float) -> None:
        self._board = board
        self._worker = worker
        self._now = now

    def apply(
        self,
        report: WorkerReport,
        ends: Sequence[RunEnd],
        sent: float,
    ) -> list[Command]:
        """Take a report and return the stops that follow from it.

        :param report: the worker's lists.
        :param ends: those of its ends that were not taken before.
        :param sent: local seconds at which the lists were asked for.
        """
        commands: list[Command] = []
        self._worker.foreign = Size()
        self._worker.crowded = False
        for row in report.running:
            commands.extend(self.adopt(row))
        for end in ends:
            commands.extend(self.take_end(end))
        listed = {(seen.task, seen.run) for seen in report.running}
        listed.update((gone.task, gone.run) for gone in ends)
        for task in list(self._worker.tasks.values()):
            settled = task.seen_at < sent and _is_settled(task)
            if settled and (task.key, task.run) not in listed:
                self._board.free(task)
        commands.extend(self._bar_unsure())
        return commands

    def adopt(self, row: RunningTask) -> list[Command]:
        """Compare a row of the list with what is believed."""
        name = self._worker.entry.worker
        task = self._board.find_task(row.task)
        if task is None:
            # It takes room, nobody knows how much.
            self._worker.crowded = True
            return [StopTask(name, Task(row.task, StepSpec(1)), row.run)]
        ours = task.worker == name and task.run == row.run
        if ours and task.state is not TaskState.DONE:
            return self._confirm(task, row)
        if ours and task.key in self._worker.tasks:
            # Another run was done first; this one is booked until it ends.
            task.seen_at = self._now
            return self._stop(task)
        if task.state is TaskState.WAITING and not self._is_ended(task):
            task.worker = name
            task.run = row.run
            task.started_at = self._now
            self._worker.book(task)
            return self._confirm(task, row)
        size = measure_task(task.step)
        self._worker.foreign = self._worker.foreign.plus(size)
        return [StopTask(name, task, row.run)]

    def take_end(self, end: RunEnd) -> list[Command]:
        """Take an end; its job is dirty when the record changes."""
        task = self._board.find_task(end.task)
        if task is None or task.state is TaskState.DONE:
            self._release_run(end)
            return []
        name = self._worker.entry.worker
        current = task.worker == name and task.run == end.run
        if end.kind is EndKind.DONE:
            return self._finish(task, current=current)
        if current:
            self._keep_checkpoint(task, end)
            self._board.free(task)
        if end.kind is EndKind.FAILED:
            return self._fail(task, end)
        return []

    def _confirm(self, task: Task, row: RunningTask) -> list[Command]:
        task.checkpoint = row.checkpoint or task.checkpoint
        task.percent = row.percent
        task.load = row.load
        if self._is_ended(task):
            task.seen_at = self._now
            task.state = TaskState.STOPPING
            self._worker.book(task)
            return self._stop(task)
        if task.state is not TaskState.STOPPING:
            self._worker.book(task)
            self._board.note_running(task, self._now)
        return []

    def _bar_unsure(self) -> list[Command]:
        """Return stops for starts without an answer.

        A stop also bars a start that is still on its way.
        """
        return [
            command
            for task in self._worker.tasks.values()
            if task.state in _UNBARRED
            for command in self._stop(task)
        ]

    def _stop(self, task: Task) -> list[Command]:
        """Return a stop, unless one is acknowledged or on its way."""
        waited = self._now - task.stop_asked_at
        if task.stop_sent or waited < STOP_AGAIN_SECONDS:
            return []
        task.stop_asked_at = self._now
        return [StopTask(task.worker, task, task.run)]

    def _finish(self, task: Task, *, current: bool) -> list[Command]:
        board = self._board
        job = board.jobs[task.key.job]
        commands: list[Command] = []
        if current:
            seconds = self._now - task.started_at
            board.run_times.observe(job.spec.route, seconds)
        elif task.state.placed:
            # The later run takes room until its end is listed.
            task.stop_asked_at = self._now
            commands.append(StopTask(task.worker, task, task.run))
            job.finish(task)
        members = [task]
        step = job.find_step(task.key)
        if task.step.gang and step is not None:
            # One end of a gang stands for all its members.
            members = step.tasks
        for member in members:
            if member.state is not TaskState.DONE:
                board.release(member)
                job.finish(member)
        board.mark(job)
        return commands

    def _fail(self, task: Task, end: RunEnd) -> list[Command]:
        job = self._board.jobs[task.key.job]
        if end.run not in task.failed_runs:
            task.failed_runs = (*task.failed_runs, end.run)
            self._board.mark(job)
        if task.step.long_running or job.state.ended:
            return []
        most = self._board.find_route(job).max_attempts
        if len(task.failed_runs) >= most:
            return self._board.end_job(job, JobState.FAILED)
        return []

    def _keep_checkpoint(self, task: Task, end: RunEnd) -> None:
        if end.checkpoint and end.checkpoint != task.checkpoint:
            task.checkpoint = end.checkpoint
            self._board.mark(self._board.jobs[task.key.job])

    def _is_ended(self, task: Task) -> bool:
        return self._board.jobs[task.key.job].state.ended

    def _release_run(self, end: RunEnd) -> None:
        booked = self._worker.tasks.get(end.task)
        if booked is not None and booked.run == end.run:
            self._worker.release(booked)


def _is_settled(task: Task) -> bool:
    """Return whether a list without the task means that it is over."""
    if task.state in _UNBARRED:
        return task.stop_sent
    return task.state in _RUNS
