"""Workers of a pool and the capacity that is booked on them."""

import dataclasses
import itertools
import math

from verbenapost.coordination.scheduling.jobs import StepRun, Task
from verbenapost.coordination.scheduling.quotas import TenantUsage
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    StepSpec,
    TaskKey,
    WorkerEntry,
)


def compute_booking(step: StepSpec) -> Resources:
    """Return the capacity to book for a task.

    A best-effort task (``fills``) uses the processors that others leave idle,
    so no processors are booked for it.
    """
    if step.fills:
        return dataclasses.replace(step.size, cpu=0)
    return step.size


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """A worker and the tasks that are booked on it.

    :param entry: registration of the worker.
    :param reconciled: whether a report of the worker was reconciled with the
        pool state.
    :param recorded: whether a later leader would know of the worker's VM.
    :param listed: whether the worker's entry is in the store.
    :param reachable: whether the last call to the worker was answered.
    :param leaving: whether the worker's VM will be moved or maintained.
    :param avoid_until: local seconds until which no task is started there.
    :param used: capacity that is booked.
    :param unbooked: capacity of reported runs that are not booked here.
    :param reserved: capacity that is kept for tasks that have yet to start.
    :param has_unknown_runs: whether there are reported runs of unknown size.
    :param tasks: tasks that are booked.
    :param lapsed_runs: runs that were not proven when their leases lapsed,
        with their tasks.
    :param usage: use of the pool by tenant.
    :param unbooked_tasks: tasks of the reported runs that are not booked here.
    """

    entry: WorkerEntry
    reconciled: bool = False
    recorded: bool = True
    listed: bool = True
    reachable: bool = False
    leaving: bool = False
    avoid_until: float = 0
    used: Resources = dataclasses.field(default_factory=Resources)
    unbooked: Resources = dataclasses.field(default_factory=Resources)
    reserved: Resources = dataclasses.field(default_factory=Resources)
    has_unknown_runs: bool = False
    tasks: dict[TaskKey, Task] = dataclasses.field(default_factory=dict)
    lapsed_runs: tuple[tuple[Task, int], ...] = ()
    usage: TenantUsage = dataclasses.field(default_factory=TenantUsage)
    unbooked_tasks: list[Task] = dataclasses.field(default_factory=list)

    @property
    def rack(self) -> str:
        """Rack of the worker's VM, which is the last label."""
        return self.entry.labels[-1] if self.entry.labels else ''

    @property
    def staying(self) -> bool:
        """Whether the worker is registered and not about to leave."""
        return self.listed and not self.leaving and not self.entry.draining

    @property
    def answering(self) -> bool:
        """Whether the worker answers and has reported its runs."""
        return self.reconciled and self.reachable

    def accepts_tasks(self, now: float) -> bool:
        """Return whether new tasks may start on the worker."""
        return (
            self.staying
            and self.answering
            and self.recorded
            and not self.has_unknown_runs
            and now >= self.avoid_until
        )

    def has_capacity(self, size: Resources) -> bool:
        """Return whether a task of this size fits into the free capacity."""
        used = self.used
        unbooked = self.unbooked
        reserved = self.reserved
        capacity = self.entry.capacity
        # Called for each worker and step, so no Resources are created here.
        return (
            used.cpu + unbooked.cpu + reserved.cpu + size.cpu <= capacity.cpu
            and used.memory + unbooked.memory + reserved.memory + size.memory
            <= capacity.memory
            and used.gpus + unbooked.gpus + reserved.gpus + size.gpus
            <= capacity.gpus
        )

    def get_committed(self) -> Resources:
        """Return the capacity that is used or reserved."""
        return self.used.plus(self.unbooked).plus(self.reserved)

    def count_step_tasks(self, step: StepRun) -> int:
        """Return how many tasks of a step are booked."""
        return sum(step.includes(key) for key in self.tasks)

    def book(self, task: Task) -> None:
        """Book the capacity of a task, unless it is booked already."""
        if task.key not in self.tasks:
            self.tasks[task.key] = task
            self.used = self.used.plus(compute_booking(task.step))
            self.usage.add(task.tenant, task.step.size)

    def release(self, task: Task) -> None:
        """Release the capacity that is booked for a task."""
        if self.tasks.pop(task.key, None) is not None:
            self.used = self.used.minus(compute_booking(task.step))
            self.usage.remove(task.tenant, task.step.size)

    def add_unbooked(self, task: Task) -> None:
        """Count a reported run of a task that is not booked here."""
        self.unbooked_tasks.append(task)
        self.unbooked = self.unbooked.plus(compute_booking(task.step))
        self.usage.add(task.tenant, task.step.size)

    def clear_unbooked(self) -> None:
        """Stop counting the runs that are not booked here."""
        for task in self.unbooked_tasks:
            self.usage.remove(task.tenant, task.step.size)
        self.unbooked_tasks = []
        self.unbooked = Resources()

    def forget_stops(self) -> None:
        """Record that the next incarnation knows of no stop of these tasks."""
        for task in self.tasks.values():
            task.stop_acknowledged = False
            task.stop_requested_at = -math.inf

    def has_long_running(self) -> bool:
        """Return whether a long-running task is booked on the worker."""
        return any(task.step.long_running for task in self.tasks.values())

    def has_serving_tasks(self) -> bool:
        """Return whether a task with a latency target is booked here."""
        return any(task.step.target for task in self.tasks.values())


def group_by_rack(workers: list[Worker]) -> dict[str, list[Worker]]:
    """Return the workers grouped by rack."""
    ordered = sorted(workers, key=_get_rack)
    return {
        rack: list(rows)
        for rack, rows in itertools.groupby(ordered, key=_get_rack)
    }


def _get_rack(worker: Worker) -> str:
    return worker.rack
