"""Tasks of a stand-in worker, without network or clock."""

import dataclasses
from collections import Counter
from collections.abc import Mapping

from verbenapost.protocol.tasks import (
    TaskOrder,
    TaskReport,
    TaskReports,
    TaskState,
)

#: Duration of a checkpoint in seconds.
CHECKPOINT_SECONDS = 1.0

#: Seconds after the start of a task before its usage is reported.
USAGE_LAG_SECONDS = 2.0

#: Seconds for which a task is kept after its end or the end of its lease.
RETENTION_SECONDS = 600.0


@dataclasses.dataclass
class WorkerTask:
    """A task and its progress; times are in seconds.

    :param updated_at: time up to which the progress is computed.
    :param lease_expires_at: time at which the task stops unless its lease is
        renewed.
    :param checkpoint_ends_at: time at which the running checkpoint ends.
    :param progress: seconds of work that are done.
    :param share: share of its processors that the task may use.
    """

    order: TaskOrder
    started_at: float
    updated_at: float
    lease_expires_at: float
    progress: float
    state: TaskState = TaskState.RUNNING
    share: float = 1
    checkpoint_ends_at: float | None = None
    ended_at: float = 0
    outcome: str = ''


class TaskRunner:
    """The tasks of one worker.

    The parameter ``now`` of the methods is the time in seconds; all calls
    must use the same clock.

    :param cpu: processors for tasks.
    :param memory: memory for tasks in GB.
    """

    def __init__(self, cpu: float = 8, memory: float = 32) -> None:
        self.cpu = cpu
        self.memory = memory
        self.fenced = True
        self.fail_all = False
        self.usage = 0.8
        self.lag = USAGE_LAG_SECONDS
        self.tasks: dict[str, WorkerTask] = {}
        self.highest_attempts: dict[str, int] = {}
        self.starts: Counter[str] = Counter()
        self.completions: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()

    def start(self, order: TaskOrder, now: float) -> bool:
        """Start a task and return whether its attempt is accepted."""
        self.advance(now)
        if not self._accept(order.task, order.attempt):
            return False
        entry = self.tasks.get(order.task)
        if entry is not None and entry.order.attempt >= order.attempt:
            return True
        self.starts[f'{order.task}:{order.attempt}'] += 1
        self.tasks[order.task] = WorkerTask(
            order,
            now,
            now,
            now + order.lease,
            order.progress,
        )
        if self.fail_all or order.path.startswith('/fail'):
            self._end(order.task, TaskState.FAILED, now, 'It broke.')
        elif order.path.startswith('/reject'):
            self._end(order.task, TaskState.REJECTED, now, 'Bad input.')
        return True

    def renew(
        self,
        attempts: Mapping[str, int],
        lease: float,
        now: float,
    ) -> TaskReports:
        """Renew leases and return the report."""
        self.advance(now)
        for task, attempt in attempts.items():
            entry = self.tasks.get(task)
            if entry is not None and entry.order.attempt == attempt:
                entry.lease_expires_at = max(
                    entry.lease_expires_at, now + lease
                )
        return self.report(now)

    def report(self, now: float) -> TaskReports:
        """Return all tasks."""
        self.advance(now)
        rows = tuple(self._report(entry, now) for entry in self.tasks.values())
        return TaskReports(self.cpu, self.memory, rows)

    def checkpoint(self, task: str, attempt: int, now: float) -> bool:
        """Start a checkpoint, after which the task ends.

        :returns: whether the attempt is running.
        """
        self.advance(now)
        entry = self._find(task, attempt)
        if entry is not None and entry.checkpoint_ends_at is None:
            entry.checkpoint_ends_at = now + CHECKPOINT_SECONDS
        return entry is not None

    def throttle(
        self,
        task: str,
        attempt: int,
        share: float,
        now: float,
    ) -> bool:
        """Limit a task to a share of its processors.

        :returns: whether the attempt is running.
        """
        self.advance(now)
        entry = self._find(task, attempt)
        if entry is not None:
            entry.share = share
        return entry is not None

    def stop(self, task: str, attempt: int, now: float) -> bool:
        """Remove a task and refuse its attempt from now on."""
        self.advance(now)
        if not self._accept(task, attempt):
            return False
        self.highest_attempts[task] = max(
            self.highest_attempts.get(task, 0), attempt + 1
        )
        self.tasks.pop(task, None)
        return True

    def advance(self, now: float) -> None:
        """Advance all tasks to the given time."""
        for task, entry in tuple(self.tasks.items()):
            if entry.state is TaskState.RUNNING:
                self._advance_task(task, entry, now)
            elif now - entry.ended_at > RETENTION_SECONDS:
                self.tasks.pop(task)

    def _accept(self, task: str, attempt: int) -> bool:
        highest = self.highest_attempts.get(task, 0)
        if self.fenced and attempt < highest:
            return False
        self.highest_attempts[task] = max(highest, attempt)
        return True

    def _find(self, task: str, attempt: int) -> WorkerTask | None:
        entry = self.tasks.get(task)
        if entry is None or entry.state is not TaskState.RUNNING:
            return None
        return entry if entry.order.attempt == attempt else None

    def _advance_task(self, task: str, entry: WorkerTask, now: float) -> None:
        remaining = (entry.order.seconds - entry.progress) / entry.share
        done_at = entry.updated_at + max(0, remaining)
        until = min(now, entry.lease_expires_at)
        if entry.checkpoint_ends_at is not None:
            until = min(until, entry.checkpoint_ends_at)
        if done_at <= until:
            self.completions[f'{task}:{entry.order.attempt}'] += 1
            self.runs[task] += 1
            self._end(task, TaskState.DONE, done_at, f'{task} done')
            return
        entry.progress += (until - entry.updated_at) * entry.share
        entry.updated_at = until
        if (
            entry.checkpoint_ends_at is not None
            and until >= entry.checkpoint_ends_at
        ):
            self._end(task, TaskState.CHECKPOINTED, until, '')
        elif until >= entry.lease_expires_at:
            self._end(task, TaskState.STOPPED, until, 'Its lease ended.')

    def _end(
        self,
        task: str,
        state: TaskState,
        ended_at: float,
        outcome: str,
    ) -> None:
        entry = self.tasks[task]
        entry.state = state
        entry.ended_at = ended_at
        entry.outcome = outcome

    def _report(self, entry: WorkerTask, now: float) -> TaskReport:
        order = entry.order
        usage_known = now - entry.started_at >= self.lag
        usage = self.usage * entry.share
        return TaskReport(
            order.task,
            order.attempt,
            entry.state,
            order.cpu * usage if usage_known else None,
            order.memory * self.usage if usage_known else None,
            entry.share,
            entry.progress,
            entry.outcome,
        )
