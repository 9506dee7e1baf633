"""Tasks of a stand-in worker, without sockets or clocks."""

import dataclasses
from collections import Counter
from collections.abc import Mapping

from verbenapost.protocol.tasks import (
    TaskOrder,
    TaskReport,
    TaskState,
    WorkerReport,
)

#: Seconds that a task takes to save its progress.
CHECKPOINT_SECONDS = 1.0

#: Seconds by which the reported use lags behind.
USAGE_LAG = 2.0

#: Seconds after its end, or its lease, after which a task is forgotten.
FORGET_SECONDS = 600.0


@dataclasses.dataclass
class HeldTask:
    """A task and what it has done so far.

    :param updated_at: seconds up to which its progress is known.
    :param lease_until: seconds at which it ends unless renewed.
    :param saving_until: seconds at which its progress is saved.
    """

    order: TaskOrder
    started_at: float
    updated_at: float
    lease_until: float
    progress: float
    state: TaskState = TaskState.RUNNING
    share: float = 1
    saving_until: float | None = None
    ended_at: float = 0
    outcome: str = ''


class TaskDesk:
    """The tasks of one worker.

    Every method takes ``now`` in seconds of any one clock.

    :param cpu: processors for tasks.
    :param memory: memory for tasks in GB.
    """

    def __init__(self, cpu: float = 8, memory: float = 32) -> None:
        self.cpu = cpu
        self.memory = memory
        self.fenced = True
        self.fail_all = False
        self.usage = 0.8
        self.lag = USAGE_LAG
        self.tasks: dict[str, HeldTask] = {}
        self.highest: dict[str, int] = {}
        self.starts: Counter[str] = Counter()
        self.completions: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()

    def start(self, order: TaskOrder, now: float) -> bool:
        """Start a task and tell whether its attempt is accepted."""
        self.advance(now)
        if not self._accept(order.task, order.attempt):
            return False
        held = self.tasks.get(order.task)
        if held is not None and held.order.attempt >= order.attempt:
            return True
        self.starts[f'{order.task}:{order.attempt}'] += 1
        self.tasks[order.task] = HeldTask(
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
    ) -> WorkerReport:
        """Renew leases and return the report."""
        self.advance(now)
        for task, attempt in attempts.items():
            held = self.tasks.get(task)
            if held is not None and held.order.attempt == attempt:
                held.lease_until = max(held.lease_until, now + lease)
        return self.report(now)

    def report(self, now: float) -> WorkerReport:
        """Return all tasks."""
        self.advance(now)
        rows = tuple(self._report(held, now) for held in self.tasks.values())
        return WorkerReport(self.cpu, self.memory, rows)

    def checkpoint(self, task: str, attempt: int, now: float) -> bool:
        """Let a task save its progress and end."""
        self.advance(now)
        held = self._find(task, attempt)
        if held is not None and held.saving_until is None:
            held.saving_until = now + CHECKPOINT_SECONDS
        return held is not None

    def throttle(
        self,
        task: str,
        attempt: int,
        share: float,
        now: float,
    ) -> bool:
        """Limit a task to a share of its processors."""
        self.advance(now)
        held = self._find(task, attempt)
        if held is not None:
            held.share = share
        return held is not None

    def stop(self, task: str, attempt: int, now: float) -> bool:
        """End and forget a task; refuse its attempt from now on."""
        self.advance(now)
        if not self._accept(task, attempt):
            return False
        self.highest[task] = max(self.highest.get(task, 0), attempt + 1)
        self.tasks.pop(task, None)
        return True

    def advance(self, now: float) -> None:
        """Let the tasks work up to a moment."""
        for task, held in tuple(self.tasks.items()):
            if held.state is TaskState.RUNNING:
                self._work(task, held, now)
            elif now - held.ended_at > FORGET_SECONDS:
                self.tasks.pop(task)

    def _accept(self, task: str, attempt: int) -> bool:
        highest = self.highest.get(task, 0)
        if self.fenced and attempt < highest:
            return False
        self.highest[task] = max(highest, attempt)
        return True

    def _find(self, task: str, attempt: int) -> HeldTask | None:
        held = self.tasks.get(task)
        if held is None or held.state is not TaskState.RUNNING:
            return None
        return held if held.order.attempt == attempt else None

    def _work(self, task: str, held: HeldTask, now: float) -> None:
        left = (held.order.seconds - held.progress) / held.share
        done_at = held.updated_at + max(0, left)
        until = min(now, held.lease_until)
        if held.saving_until is not None:
            until = min(until, held.saving_until)
        if done_at <= until:
            self.completions[f'{task}:{held.order.attempt}'] += 1
            self.runs[task] += 1
            self._end(task, TaskState.DONE, done_at, f'{task} done')
            return
        held.progress += (until - held.updated_at) * held.share
        held.updated_at = until
        if held.saving_until is not None and until >= held.saving_until:
            self._end(task, TaskState.CHECKPOINTED, until, '')
        elif until >= held.lease_until:
            self._end(task, TaskState.STOPPED, until, 'Its lease ended.')

    def _end(
        self,
        task: str,
        state: TaskState,
        ended_at: float,
        outcome: str,
    ) -> None:
        held = self.tasks[task]
        held.state = state
        held.ended_at = ended_at
        held.outcome = outcome

    def _report(self, held: HeldTask, now: float) -> TaskReport:
        order = held.order
        known = now - held.started_at >= self.lag
        usage = self.usage * held.share
        return TaskReport(
            order.task,
            order.attempt,
            held.state,
            order.cpu * usage if known else None,
            order.memory * self.usage if known else None,
            held.share,
            held.progress,
            held.outcome,
        )
