"""Number of VMs that a set of tasks fills."""

import dataclasses
from collections import Counter
from collections.abc import Iterable
from typing import final

from verbenapost.coordination.scheduling.jobs import Task
from verbenapost.coordination.scheduling.workers import compute_booking
from verbenapost.state.resources import Resources


@final
@dataclasses.dataclass(slots=True)
class _Bin:
    used: Resources = dataclasses.field(default_factory=Resources)
    steps: Counter[tuple[str, int]] = dataclasses.field(default_factory=Counter)

    def add(self, task: Task, capacity: Resources) -> bool:
        """Add a task if it fits and its step permits another one here."""
        used = self.used.plus(compute_booking(task.step))
        step = (task.key.job, task.key.step)
        limit = task.step.anti_affinity
        if not used.fits(capacity) or (limit and self.steps[step] >= limit):
            return False
        self.used = used
        self.steps[step] += 1
        return True


def count_vms(tasks: Iterable[Task], capacity: Resources) -> int:
    """Return how many empty VMs the tasks fill, largest task first.

    Examples
    ========

    >>> from verbenapost.state.workloads import StepSpec, TaskKey
    >>> step = StepSpec(3, Resources(1000, 500))
    >>> key = TaskKey('5c0e7a21d94b36f8', 0, 0, 0)
    >>> count_vms([Task(key, step)] * 3, Resources(4000, 1000))
    2

    :param tasks: the tasks; one that is too large for a VM needs none.
    :param capacity: capacity of each VM.
    """
    bins: list[_Bin] = []
    for task in sorted(tasks, key=_get_memory, reverse=True):
        if any(found.add(task, capacity) for found in bins):
            continue
        opened = _Bin()
        if opened.add(task, capacity):
            bins.append(opened)
    return len(bins)


def _get_memory(task: Task) -> int:
    return task.step.size.memory
