"""Workers of a pool with their tasks and reservations."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import final

from verbenapost.coordination.jobs.sizes import Size

#: Share of its processors that a throttled task keeps.
THROTTLED_SHARE = 0.25


@dataclasses.dataclass(slots=True)
class Task:
    """A task that runs on a worker or is being started there.

    :param job: identity of the job.
    :param attempt: number of the attempt.
    :param urgency: urgency of the job.
    :param team: team of the job.
    :param size: size that is booked.
    :param expected_since: monotonic seconds; reports requested later must list
        the task. ``None`` while the task is being started.
    :param share: share of its processors, as last reported.
    :param requested_share: share of its processors that was last requested.
    :param checkpoint_requested_at: monotonic seconds at which a checkpoint was
        first requested, or ``None``.
    :param stopping: whether a stop was requested after an overdue checkpoint.
    """

    job: str
    attempt: int
    urgency: int
    team: str
    size: Size
    expected_since: float | None = None
    share: float = 1
    requested_share: float = 1
    checkpoint_requested_at: float | None = None
    stopping: bool = False

    @property
    def used(self) -> Size:
        """Capacity in use now."""
        share = max(self.share, self.requested_share)
        return Size(self.size.cpu * share, self.size.memory)

    @property
    def projected(self) -> Size:
        """Capacity in use once all requested changes have taken effect."""
        if self.checkpoint_requested_at is not None:
            return Size(0, 0)
        return Size(self.size.cpu * self.requested_share, self.size.memory)


@dataclasses.dataclass(slots=True)
class Reservation:
    """Capacity that is reserved for a waiting job.

    :param size: reserved capacity.
    :param urgency: urgency of the job.
    :param until: monotonic seconds at which the reservation expires.
    """

    size: Size
    urgency: int
    until: float


@dataclasses.dataclass(slots=True)
class Worker:
    """The worker of one VM of the pool.

    :param name: name of the VM.
    :param address: address of the worker.
    :param accepting: whether the worker accepts new tasks.
    :param last_report_at: monotonic seconds of the last report; before the
        first report, of the worker's addition.
    :param last_lease_at: monotonic seconds at which a lease was last sent.
    :param silent: whether the last poll was not answered. Its tasks get no
        further lease, since they have to end before they start elsewhere.
    :param capacity: capacity for tasks, ``None`` before the first report.
    :param lost: whether the reports have ceased for too long.
    :param tasks: booked tasks by job.
    :param reserved: reserved capacity by job.
    """

    name: str
    address: str = ''
    accepting: bool = False
    last_report_at: float = 0
    last_lease_at: float = 0
    silent: bool = False
    capacity: Size | None = None
    lost: bool = False
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    reserved: dict[str, Reservation] = dataclasses.field(default_factory=dict)

    @property
    def usable(self) -> bool:
        """Whether a new task may be placed on the worker."""
        heard = not self.silent and not self.lost
        return self.accepting and heard and self.capacity is not None

    def compute_free(self) -> Size:
        """Return the capacity that is neither in use nor reserved."""
        booked = [task.used for task in self.tasks.values()]
        booked.extend(
            reservation.size for reservation in self.reserved.values()
        )
        return self._subtract(booked)

    def drop_reservations(self, urgency: int) -> None:
        """Drop the reservations of jobs that are less urgent."""
        for job, reservation in tuple(self.reserved.items()):
            if reservation.urgency > urgency:
                self.reserved.pop(job)

    def compute_unused(self) -> Size:
        """Return the capacity that is not in use, reserved or not."""
        return self._subtract(task.used for task in self.tasks.values())

    def compute_projected_free(self) -> Size:
        """Return the free capacity once all requests have taken effect."""
        booked = [task.projected for task in self.tasks.values()]
        booked.extend(
            reservation.size for reservation in self.reserved.values()
        )
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
        self.by_name: dict[str, Worker] = {}

    def configure(
        self,
        serving: Mapping[str, str],
        leaving: Mapping[str, str],
        now: float,
    ) -> None:
        """Replace the workers; a removed one stays while it has tasks.

        :param serving: addresses by VM of workers that accept tasks.
        :param leaving: addresses by VM of workers that accept no new tasks.
        :param now: monotonic seconds.
        """
        for known in self.by_name.values():
            known.accepting = False
        for name, address in {**leaving, **serving}.items():
            worker = self.find(name, now)
            worker.address = address
            worker.accepting = name in serving
        for gone in set(self.by_name) - set(serving) - set(leaving):
            if not self.by_name[gone].tasks:
                self.by_name.pop(gone)

    def find(self, name: str, now: float) -> Worker:
        """Return a worker, adding it if it is unknown."""
        if name not in self.by_name:
            self.by_name[name] = Worker(name, last_report_at=now)
        return self.by_name[name]

    def find_task(self, vm: str, job: str) -> Task | None:
        """Return the task of a job on a VM, or ``None``."""
        worker = self.by_name.get(vm)
        return None if worker is None else worker.tasks.get(job)

    def list_attempts(self, vm: str) -> dict[str, int]:
        """Return the attempts of the tasks on a VM, by job."""
        worker = self.by_name.get(vm)
        tasks = () if worker is None else worker.tasks.values()
        return {task.job: task.attempt for task in tasks}

    def clear(self, job: str) -> None:
        """Remove the task and the reservation of a job."""
        self.clear_tasks(job)
        for worker in self.by_name.values():
            worker.reserved.pop(job, None)

    def clear_tasks(self, job: str) -> None:
        """Remove the task of a job."""
        for worker in self.by_name.values():
            worker.tasks.pop(job, None)
