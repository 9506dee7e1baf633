"""Workers of a pool, with what is booked on them."""

import dataclasses
import itertools

from verbenapost.coordination.scheduling.jobs import StepRun, Task
from verbenapost.state.workloads import Size, StepSpec, TaskKey, WorkerEntry


def measure_task(step: StepSpec) -> Size:
    """Return the room that a task is booked with.

    A task that only fills takes processors that others leave unused, so that
    none are booked for it.
    """
    if step.fills:
        return dataclasses.replace(step.size, cpu=0)
    return step.size


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """A worker and what is booked on it.

    :param entry: what it has registered.
    :param adopted: whether its lists were compared with the records.
    :param listed: whether its entry is in the store.
    :param reachable: whether its last call was answered.
    :param leaving: whether it will be moved or maintained.
    :param avoid_until: local seconds until which nothing new goes there.
    :param used: room that is booked.
    :param foreign: room of runs in its list that are not booked here.
    :param crowded: whether there are such runs of unknown size.
    :param tasks: tasks that are booked.
    """

    entry: WorkerEntry
    adopted: bool = False
    listed: bool = True
    reachable: bool = False
    leaving: bool = False
    avoid_until: float = 0
    used: Size = dataclasses.field(default_factory=Size)
    foreign: Size = dataclasses.field(default_factory=Size)
    crowded: bool = False
    tasks: dict[TaskKey, Task] = dataclasses.field(default_factory=dict)

    @property
    def rack(self) -> str:
        """Rack of its VM, the last label."""
        return self.entry.labels[-1] if self.entry.labels else ''

    @property
    def staying(self) -> bool:
        """Whether it is in service for longer than what it drains for."""
        return self.listed and not self.leaving and not self.entry.draining

    def can_take(self, now: float) -> bool:
        """Return whether new tasks may go there."""
        return (
            self.staying
            and self.adopted
            and self.reachable
            and not self.crowded
            and now >= self.avoid_until
        )

    def has_room(self, size: Size) -> bool:
        """Return whether a task of a size fits beside what is booked."""
        used = self.used
        foreign = self.foreign
        room = self.entry.room
        return (
            used.cpu + foreign.cpu + size.cpu <= room.cpu
            and used.memory + foreign.memory + size.memory <= room.memory
            and used.gpus + foreign.gpus + size.gpus <= room.gpus
        )

    def count_step(self, step: StepRun) -> int:
        """Return how many tasks of a step are booked."""
        return sum(
            1
            for key in self.tasks
            if key.job == step.job.spec.job
            and key.step == step.number
            and key.occurrence == step.occurrence
        )

    def book(self, task: Task) -> None:
        """Book a task, once."""
        if task.key not in self.tasks:
            self.tasks[task.key] = task
            self.used = self.used.plus(measure_task(task.step))

    def release(self, task: Task) -> None:
        """Free what a task was booked with."""
        if self.tasks.pop(task.key, None) is not None:
            self.used = self.used.minus(measure_task(task.step))

    def has_lasting(self) -> bool:
        """Return whether a task runs there that lasts until cancelled."""
        return any(task.step.long_running for task in self.tasks.values())

    def serves(self) -> bool:
        """Return whether a task runs there that has users of its own."""
        return any(task.step.target for task in self.tasks.values())


def count_racks(workers: list[Worker]) -> dict[str, list[Worker]]:
    """Return the workers by rack."""
    ordered = sorted(workers, key=_get_rack)
    return {
        rack: list(rows)
        for rack, rows in itertools.groupby(ordered, key=_get_rack)
    }


def _get_rack(worker: Worker) -> str:
    return worker.rack
