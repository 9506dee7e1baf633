"""Choice of a worker for a job, and of the tasks to preempt for it."""

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
class PreemptionPlan:
    """Tasks of a worker to preempt so that a job fits.

    :param worker: worker on which the job will start.
    :param throttled: tasks to throttle.
    :param checkpointed: tasks to checkpoint and end.
    """

    worker: Worker
    throttled: tuple[Task, ...] = ()
    checkpointed: tuple[Task, ...] = ()

    @property
    def cost(self) -> tuple[float, float, str]:
        """Sort key by the processors that other tasks lose; lowest is best."""
        return (
            sum(task.size.cpu for task in self.checkpointed),
            sum(task.size.cpu for task in self.throttled),
            self.worker.name,
        )


def pick_worker(
    workers: Iterable[Worker],
    size: Size,
    avoided: Collection[str],
) -> Worker | None:
    """Return the worker with the least free capacity that fits a job.

    :param workers: workers of the pool.
    :param size: size of the job.
    :param avoided: VMs to use only as a last resort, as the job failed there.
    """
    fitting = [
        worker
        for worker in workers
        if worker.usable and size.fits(worker.compute_free())
    ]
    return min(
        fitting,
        key=lambda worker: (
            worker.name in avoided,
            worker.compute_free().cpu,
            worker.name,
        ),
        default=None,
    )


def plan_preemption(
    workers: Iterable[Worker],
    size: Size,
    urgency: int,
    avoided: Collection[str],
) -> PreemptionPlan | None:
    """Return the cheapest plan to preempt less urgent tasks for a job.

    :param workers: workers of the pool.
    :param size: size of the job.
    :param urgency: urgency of the job.
    :param avoided: VMs to exclude.
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
) -> PreemptionPlan | None:
    victims = sorted(
        (
            task
            for task in worker.tasks.values()
            if task.urgency > urgency
            and task.checkpoint_requested_at is None
            and task.expected_since is not None
        ),
        key=lambda task: (-task.urgency, -task.attempt, task.job),
    )
    free = worker.compute_projected_free()
    if size.fits(free):
        return PreemptionPlan(worker)
    if size.memory <= free.memory:
        throttled = _choose_throttled(victims, size.cpu - free.cpu)
        if throttled is not None:
            return PreemptionPlan(worker, throttled=throttled)
    checkpointed = _choose_checkpointed(victims, size, free)
    return (
        None
        if checkpointed is None
        else PreemptionPlan(worker, checkpointed=checkpointed)
    )


def _choose_throttled(
    victims: Sequence[Task],
    needed: float,
) -> tuple[Task, ...] | None:
    chosen = []
    for task in victims:
        gain = task.size.cpu * (task.requested_share - THROTTLED_SHARE)
        if gain <= 0:
            continue
        chosen.append(task)
        needed -= gain
        if needed <= 0:
            return tuple(chosen)
    return None


def _choose_checkpointed(
    victims: Sequence[Task],
    size: Size,
    free: Size,
) -> tuple[Task, ...] | None:
    chosen = []
    for task in victims:
        chosen.append(task)
        projected = task.projected
        free = Size(free.cpu + projected.cpu, free.memory + projected.memory)
        if size.fits(free):
            return tuple(chosen)
    return None


def _get_cost(plan: PreemptionPlan) -> tuple[float, float, str]:
    return plan.cost
