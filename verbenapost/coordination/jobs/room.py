"""Choice of a worker, and of tasks that make room for a job."""

import dataclasses
from collections.abc import Collection, Iterable, Sequence
from typing import final

from verbenapost.coordination.jobs.sizes import Size
from verbenapost.coordination.jobs.workers import (
    THROTTLED_SHARE,
    Task,
    Worker,
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RoomPlan:
    """How a worker makes room.

    :param throttled: tasks that are slowed down.
    :param closed: tasks that are checkpointed.
    """

    worker: Worker
    throttled: tuple[Task, ...] = ()
    closed: tuple[Task, ...] = ()

    @property
    def cost(self) -> tuple[float, float, str]:
        """What the plan costs the other tasks; the lowest is best."""
        return (
            sum(task.size.cpu for task in self.closed),
            sum(task.size.cpu for task in self.throttled),
            self.worker.name,
        )


def pick_worker(
    workers: Iterable[Worker],
    size: Size,
    avoided: Collection[str],
) -> Worker | None:
    """Return the worker that a job fits into most tightly.

    :param avoided: VMs that come last, since the job failed there.
    """
    fitting = [
        worker
        for worker in workers
        if worker.usable and size.fits(worker.count_free())
    ]
    return min(
        fitting,
        key=lambda worker: (
            worker.name in avoided,
            worker.count_free().cpu,
            worker.name,
        ),
        default=None,
    )


def plan_room(
    workers: Iterable[Worker],
    size: Size,
    urgency: int,
    avoided: Collection[str],
) -> RoomPlan | None:
    """Return the cheapest way to make room at the cost of less urgent tasks.

    :param urgency: urgency of the job that needs the room.
    :param avoided: VMs that are left out.
    """
    plans = [
        plan
        for worker in workers
        if worker.usable and worker.name not in avoided
        for plan in (_plan_worker(worker, size, urgency),)
        if plan is not None
    ]
    return min(plans, key=_get_cost, default=None)


def _plan_worker(
    worker: Worker,
    size: Size,
    urgency: int,
) -> RoomPlan | None:
    victims = sorted(
        (
            task
            for task in worker.tasks.values()
            if task.urgency > urgency
            and task.closing_at is None
            and task.settled_at is not None
        ),
        key=lambda task: (-task.urgency, -task.attempt, task.job),
    )
    room = worker.count_coming()
    if size.fits(room):
        return RoomPlan(worker)
    if size.memory <= room.memory:
        throttled = _throttle(victims, size.cpu - room.cpu)
        if throttled is not None:
            return RoomPlan(worker, throttled=throttled)
    closed = _close(victims, size, room)
    return None if closed is None else RoomPlan(worker, closed=closed)


def _throttle(
    victims: Sequence[Task],
    needed: float,
) -> tuple[Task, ...] | None:
    chosen = []
    for task in victims:
        gain = task.size.cpu * (task.wanted_share - THROTTLED_SHARE)
        if gain <= 0:
            continue
        chosen.append(task)
        needed -= gain
        if needed <= 0:
            return tuple(chosen)
    return None


def _close(
    victims: Sequence[Task],
    size: Size,
    room: Size,
) -> tuple[Task, ...] | None:
    chosen = []
    for task in victims:
        chosen.append(task)
        kept = task.kept
        room = Size(room.cpu + kept.cpu, room.memory + kept.memory)
        if size.fits(room):
            return tuple(chosen)
    return None


def _get_cost(plan: RoomPlan) -> tuple[float, float, str]:
    return plan.cost
