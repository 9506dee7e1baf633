"""One round of placing waiting jobs."""

from collections.abc import Callable, Iterator, Mapping
from typing import final

from verbenapost.coordination.jobs.commands import (
    CheckpointTask,
    Command,
    ThrottleTask,
)
from verbenapost.coordination.jobs.room import (
    RoomPlan,
    pick_worker,
    plan_room,
)
from verbenapost.coordination.jobs.sizes import Size, SizeBook
from verbenapost.coordination.jobs.waiting import WaitingQueue
from verbenapost.coordination.jobs.workers import (
    THROTTLED_SHARE,
    Reservation,
    Task,
    Worker,
)
from verbenapost.state.jobs import JobRecord

#: Seconds after which room that was not made is given up.
RESERVATION_SECONDS = 6.0

#: Jobs that one round starts.
MAX_STARTS = 64

Find = Callable[[str], JobRecord]


@final
class Placing:
    """Places the most urgent jobs first, and fairly by team within that.

    :param workers: workers of the pool by name.
    :param waiting: jobs that wait.
    :param sizes: sizes of jobs.
    :param now: monotonic seconds.
    """

    def __init__(
        self,
        workers: Mapping[str, Worker],
        waiting: WaitingQueue,
        sizes: SizeBook,
        now: float,
    ) -> None:
        self.commands: list[Command] = []
        self.oversized: list[str] = []
        self._workers = workers
        self._waiting = waiting
        self._sizes = sizes
        self._now = now
        self._starts = 0

    def restore(self) -> list[Command]:
        """Give throttled tasks their processors back where there is room."""
        restored: list[Command] = []
        for worker in self._workers.values():
            for task in worker.tasks.values():
                if self._may_restore(worker, task):
                    task.wanted_share = 1
                    restored.append(_make_throttle(worker, task))
        return restored

    def place(
        self,
        usage: Mapping[str, float],
        find: Find,
    ) -> Iterator[tuple[str, str]]:
        """Yield jobs with the VMs that they start on.

        The caller books each before it takes the next.

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
        find: Find,
    ) -> Iterator[tuple[str, str]]:
        blocked: set[str] = set()
        while self._starts < MAX_STARTS:
            found = self._waiting.find_next(urgency, used, blocked)
            if found is None:
                return
            team, job = found
            size = self._estimate(find(job))
            vm = self._find_vm(find(job), size)
            if vm is None:
                blocked.add(team)
                continue
            self._starts += 1
            used[team] = used.get(team, 0) + size.cpu
            yield job, vm

    def _estimate(self, record: JobRecord) -> Size:
        """Return the size to book; what was learned bars no VM for good."""
        learned = self._sizes.estimate(record)
        room = self._find_largest()
        return Size(
            min(learned.cpu, max(record.cpu, room.cpu)),
            min(learned.memory, max(record.memory, room.memory)),
        )

    def _find_largest(self) -> Size:
        rooms = [
            worker.capacity
            for worker in self._workers.values()
            if worker.usable and worker.capacity is not None
        ]
        return max(rooms, key=_order_size, default=Size(0, 0))

    def _find_vm(self, record: JobRecord, size: Size) -> str | None:
        reserved = self._find_reserved(record.job)
        if reserved is not None:
            return self._use_reserved(reserved, record.job)
        worker = pick_worker(
            self._workers.values(),
            size,
            record.failed_vms,
        )
        if worker is not None:
            return worker.name
        if self._is_oversized(Size(record.cpu, record.memory)):
            self.oversized.append(record.job)
        else:
            self._make_room(record, size)
        return None

    def _find_reserved(self, job: str) -> Worker | None:
        for worker in self._workers.values():
            if job in worker.reserved:
                return worker
        return None

    def _use_reserved(self, worker: Worker, job: str) -> str | None:
        held = worker.reserved[job]
        if worker.usable and held.size.fits(worker.count_open()):
            return worker.name
        late = self._now - held.since > RESERVATION_SECONDS
        if late or not worker.usable:
            worker.reserved.pop(job)
        return None

    def _make_room(self, record: JobRecord, size: Size) -> None:
        plan = plan_room(
            self._workers.values(),
            size,
            record.urgency,
            record.failed_vms,
        )
        if plan is None:
            return
        plan.worker.reserved[record.job] = Reservation(size, self._now)
        self._carry_out(plan)

    def _carry_out(self, plan: RoomPlan) -> None:
        worker = plan.worker
        for slowed in plan.throttled:
            slowed.wanted_share = THROTTLED_SHARE
            self.commands.append(_make_throttle(worker, slowed))
        for closed in plan.closed:
            closed.closing_at = self._now
            self.commands.append(
                CheckpointTask(worker.name, closed.job, closed.attempt),
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

    def _may_restore(self, worker: Worker, task: Task) -> bool:
        if task.wanted_share >= 1 or task.closing_at is not None:
            return False
        if worker.reserved or self._has_more_urgent(task.urgency):
            return False
        needed = task.size.cpu * (1 - task.wanted_share)
        return needed <= worker.count_free().cpu

    def _has_more_urgent(self, urgency: int) -> bool:
        return any(
            self._waiting.find_next(level, {}, ()) is not None
            for level in self._waiting.levels
            if level < urgency
        )


def _order_size(size: Size) -> tuple[float, float]:
    return size.cpu, size.memory


def _make_throttle(worker: Worker, task: Task) -> ThrottleTask:
    return ThrottleTask(
        worker.name,
        task.job,
        task.attempt,
        task.wanted_share,
    )
