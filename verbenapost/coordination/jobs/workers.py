"""Workers of a pool with their tasks and reserved room."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import final

from verbenapost.coordination.jobs.sizes import Size

#: Share of its processors that a throttled task keeps.
THROTTLED_SHARE = 0.25


@dataclasses.dataclass(slots=True)
class Task:
    """A task that a worker runs, or is about to.

    :param job: identity of the job.
    :param size: size that is booked.
    :param settled_at: monotonic seconds since when reports must name it,
        ``None`` while it is being started.
    :param share: share of its processors, as last reported.
    :param wanted_share: share of its processors that it shall have.
    :param closing_at: monotonic seconds of the first call to end it.
    """

    job: str
    attempt: int
    urgency: int
    team: str
    size: Size
    settled_at: float | None = None
    share: float = 1
    wanted_share: float = 1
    closing_at: float | None = None
    stopping: bool = False

    @property
    def used(self) -> Size:
        """Size in use now."""
        share = max(self.share, self.wanted_share)
        return Size(self.size.cpu * share, self.size.memory)

    @property
    def kept(self) -> Size:
        """Size in use once all calls have taken effect."""
        if self.closing_at is not None:
            return Size(0, 0)
        return Size(self.size.cpu * self.wanted_share, self.size.memory)


@dataclasses.dataclass(slots=True)
class Reservation:
    """Room for a job that is being made.

    :param since: monotonic seconds.
    """

    size: Size
    since: float


@dataclasses.dataclass(slots=True)
class Worker:
    """One VM of the pool.

    :param accepting: may be given new tasks.
    :param heard_at: monotonic seconds of its last report, or of the first
        mention before that.
    :param capacity: room for tasks, ``None`` before the first report.
    """

    name: str
    address: str = ''
    accepting: bool = False
    heard_at: float = 0
    capacity: Size | None = None
    lost: bool = False
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    reserved: dict[str, Reservation] = dataclasses.field(default_factory=dict)

    @property
    def usable(self) -> bool:
        """Whether a new task may be placed here."""
        return self.accepting and not self.lost and self.capacity is not None

    def count_free(self) -> Size:
        """Return the room that is free for jobs without a reservation."""
        booked = [task.used for task in self.tasks.values()]
        booked.extend(held.size for held in self.reserved.values())
        return self._subtract(booked)

    def count_open(self) -> Size:
        """Return the room that tasks leave now, reserved or not."""
        return self._subtract(task.used for task in self.tasks.values())

    def count_coming(self) -> Size:
        """Return the free room once all calls have taken effect."""
        booked = [task.kept for task in self.tasks.values()]
        booked.extend(held.size for held in self.reserved.values())
        return self._subtract(booked)

    def _subtract(self, booked: Iterable[Size]) -> Size:
        capacity = self.capacity or Size(0, 0)
        rows = tuple(booked)
        return Size(
            capacity.cpu - sum(size.cpu for size in rows),
            capacity.memory - sum(size.memory for size in rows),
        )


@final
class WorkerTable:
    """The workers of a pool by name."""

    def __init__(self) -> None:
        self.rows: dict[str, Worker] = {}

    def configure(
        self,
        serving: Mapping[str, str],
        leaving: Mapping[str, str],
        now: float,
    ) -> None:
        """Replace the workers, but for gone ones whose tasks are not over.

        :param serving: addresses by VM of those that take tasks.
        :param leaving: addresses by VM of those that take none any more.
        """
        for known in self.rows.values():
            known.accepting = False
        for name, address in {**leaving, **serving}.items():
            worker = self.find(name, now)
            worker.address = address
            worker.accepting = name in serving
        for gone in set(self.rows) - set(serving) - set(leaving):
            if not self.rows[gone].tasks:
                self.rows.pop(gone)

    def find(self, name: str, now: float) -> Worker:
        """Return a worker, new when it was not known."""
        if name not in self.rows:
            self.rows[name] = Worker(name, heard_at=now)
        return self.rows[name]

    def find_task(self, vm: str, job: str) -> Task | None:
        """Return the task of a job on a VM."""
        worker = self.rows.get(vm)
        return None if worker is None else worker.tasks.get(job)

    def list_attempts(self, vm: str) -> dict[str, int]:
        """Return the attempts of the tasks on a VM."""
        worker = self.rows.get(vm)
        tasks = () if worker is None else worker.tasks.values()
        return {task.job: task.attempt for task in tasks}

    def clear(self, job: str) -> None:
        """Remove the task of a job and the room reserved for it."""
        self.clear_tasks(job)
        for worker in self.rows.values():
            worker.reserved.pop(job, None)

    def clear_tasks(self, job: str) -> None:
        """Remove the task of a job."""
        for worker in self.rows.values():
            worker.tasks.pop(job, None)
