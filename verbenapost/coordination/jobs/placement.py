"""One placement round of the waiting jobs of a pool."""

from collections.abc import Callable, Iterator, Mapping
from typing import final

from verbenapost.coordination.jobs.commands import (
    CheckpointTask,
    Command,
    ThrottleTask,
)
from verbenapost.coordination.jobs.preemption import (
    PreemptionPlan,
    pick_worker,
    plan_preemption,
)
from verbenapost.coordination.jobs.sizes import Size, SizeEstimator
from verbenapost.coordination.jobs.waiting import WaitingQueue
from verbenapost.coordination.jobs.workers import (
    THROTTLED_SHARE,
    Reservation,
    Task,
    Worker,
)
from verbenapost.state.jobs import JobRecord

#: Seconds after which a reservation is dropped if preemption has not freed
#: its capacity.
RESERVATION_SECONDS = 6.0

#: Seconds of waiting after which capacity is reserved for a job that fits
#: nowhere.
STARVATION_SECONDS = 30.0

#: Seconds for which capacity is reserved for a starved job.
STARVED_RESERVATION_SECONDS = 300.0

#: A starved job gets a reservation only while fewer than one in this many
#: workers hold reservations.
WORKERS_PER_RESERVATION = 4

#: Jobs that one round may start.
MAX_STARTS = 64

FindRecord = Callable[[str], JobRecord]


@final
class PlacementRound:
    """Places waiting jobs by urgency, with fair sharing between teams.

    :param workers: workers of the pool by name.
    :param waiting: queue of waiting jobs.
    :param sizes: estimates of job sizes.
    :param now: monotonic seconds.
    :param wall: Unix time in seconds.
    """

    def __init__(
        self,
        workers: Mapping[str, Worker],
        waiting: WaitingQueue,
        sizes: SizeEstimator,
        now: float,
        wall: float,
    ) -> None:
        self.commands: list[Command] = []
        self.oversized: list[str] = []
        self._workers = workers
        self._waiting = waiting
        self._sizes = sizes
        self._now = now
        self._wall = wall
        self._starts = 0

    def unthrottle(self) -> list[Command]:
        """Return commands that unthrottle tasks where capacity is free."""
        throttles: list[Command] = []
        for worker in self._workers.values():
            for task in worker.tasks.values():
                if self._may_unthrottle(worker, task):
                    task.requested_share = 1
                    throttles.append(_make_throttle(worker, task))
        return throttles

    def place(
        self,
        usage: Mapping[str, float],
        find: FindRecord,
    ) -> Iterator[tuple[str, str]]:
        """Yield jobs with the VMs on which they start.

        The caller must book each job before it requests the next one.

        :param usage: processors in use by team.
        :param find: returns the record of a waiting job.
        """
        used = dict(usage)
        for urgency in self._waiting.levels:
            yield from self._place_level(urgency, used, find)

    def _place_level(
        self,
        urgency: int,
        used: dict[str, float],
        find: FindRecord,
    ) -> Iterator[tuple[str, str]]:
        blocked: set[str] = set()
        while self._starts < MAX_STARTS:
            found = self._waiting.find_next(urgency, used, blocked)
            if found is None:
                return
            team, job = found
            size = self._estimate(find(job))
            vm = self._choose_vm(find(job), size)
            if vm is None:
                blocked.add(team)
                continue
            self._starts += 1
            used[team] = used.get(team, 0) + size.cpu
            yield job, vm

    def _estimate(self, record: JobRecord) -> Size:
        """Return the size to book for a job.

        A learned size above the declared one is limited to the largest
        worker, so that a wrong estimate can't keep a job waiting for ever.
        """
        learned = self._sizes.estimate(record)
        largest = self._find_largest()
        return Size(
            min(learned.cpu, max(record.cpu, largest.cpu)),
            min(learned.memory, max(record.memory, largest.memory)),
        )

    def _find_largest(self) -> Size:
        capacities = [
            worker.capacity
            for worker in self._workers.values()
            if worker.usable and worker.capacity is not None
        ]
        return max(capacities, key=_get_size_key, default=Size(0, 0))

    def _choose_vm(self, record: JobRecord, size: Size) -> str | None:
        reserved = self._find_reservation(record.job)
        if reserved is not None:
            return self._use_reservation(reserved, record.job)
        worker = self._pick_worker(record, size)
        if worker is not None:
            return worker.name
        if self._is_oversized(Size(record.cpu, record.memory)):
            self.oversized.append(record.job)
        else:
            self._preempt(record, size)
        return None

    def _pick_worker(self, record: JobRecord, size: Size) -> Worker | None:
        workers = self._workers.values()
        worker = pick_worker(workers, size, record.failed_vms)
        if worker is None:
            for candidate in workers:
                candidate.drop_reservations(record.urgency)
            worker = pick_worker(workers, size, record.failed_vms)
        return worker

    def _find_reservation(self, job: str) -> Worker | None:
        for worker in self._workers.values():
            if job in worker.reserved:
                return worker
        return None

    def _use_reservation(self, worker: Worker, job: str) -> str | None:
        reservation = worker.reserved[job]
        if worker.usable and reservation.size.fits(worker.compute_unused()):
            return worker.name
        if self._now > reservation.until or not worker.usable:
            worker.reserved.pop(job)
        return None

    def _preempt(self, record: JobRecord, size: Size) -> None:
        plan = plan_preemption(
            self._workers.values(),
            size,
            record.urgency,
            record.failed_vms,
        )
        if plan is None:
            self._reserve_for_starved(record, size)
            return
        until = self._now + RESERVATION_SECONDS
        plan.worker.reserved[record.job] = Reservation(
            size,
            record.urgency,
            until,
        )
        self._order_preemption(plan)

    def _reserve_for_starved(self, record: JobRecord, size: Size) -> None:
        """Reserve the capacity of one worker for a starved job."""
        if self._wall - record.submitted_at < STARVATION_SECONDS:
            return
        workers = [row for row in self._workers.values() if row.usable]
        reserved_workers = sum(1 for row in workers if row.reserved)
        if reserved_workers * WORKERS_PER_RESERVATION >= len(workers):
            return
        fitting = [
            row
            for row in workers
            if row.capacity is not None
            and size.fits(row.capacity)
            and not row.reserved
            and row.name not in record.failed_vms
        ]
        if fitting:
            emptiest = max(fitting, key=_get_projected_free)
            until = self._now + STARVED_RESERVATION_SECONDS
            emptiest.reserved[record.job] = Reservation(
                size,
                record.urgency,
                until,
            )

    def _order_preemption(self, plan: PreemptionPlan) -> None:
        worker = plan.worker
        for slowed in plan.throttled:
            slowed.requested_share = THROTTLED_SHARE
            self.commands.append(_make_throttle(worker, slowed))
        for checkpointed in plan.checkpointed:
            checkpointed.checkpoint_requested_at = self._now
            self.commands.append(
                CheckpointTask(
                    worker.name, checkpointed.job, checkpointed.attempt
                ),
            )

    def _is_oversized(self, size: Size) -> bool:
        usable = [worker for worker in self._workers.values() if worker.usable]
        known = all(
            worker.capacity is not None
            for worker in self._workers.values()
            if worker.accepting
        )
        return (
            bool(usable)
            and known
            and not any(
                size.fits(worker.capacity)
                for worker in usable
                if worker.capacity is not None
            )
        )

    def _may_unthrottle(self, worker: Worker, task: Task) -> bool:
        if (
            task.requested_share >= 1
            or task.checkpoint_requested_at is not None
        ):
            return False
        if worker.reserved or self._has_more_urgent(task.urgency):
            return False
        needed = task.size.cpu * (1 - task.requested_share)
        return needed <= worker.compute_free().cpu

    def _has_more_urgent(self, urgency: int) -> bool:
        return any(
            self._waiting.find_next(level, {}, ()) is not None
            for level in self._waiting.levels
            if level < urgency
        )


def _get_projected_free(worker: Worker) -> tuple[float, str]:
    return worker.compute_projected_free().cpu, worker.name


def _get_size_key(size: Size) -> tuple[float, float]:
    return size.cpu, size.memory


def _make_throttle(worker: Worker, task: Task) -> ThrottleTask:
    return ThrottleTask(
        worker.name,
        task.job,
        task.attempt,
        task.requested_share,
    )
