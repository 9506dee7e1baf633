"""Eviction of running tasks: overdue checkpoints, leaving workers, memory."""

from collections.abc import Iterable

from verbenapost.coordination.jobs.commands import CheckpointTask, StopTask
from verbenapost.coordination.jobs.workers import Task, Worker

#: Seconds that a task has to save its checkpoint before it is stopped.
CHECKPOINT_TIMEOUT_SECONDS = 3.0


def stop_overdue(worker: Worker, now: float) -> list[StopTask]:
    """Return stops for the tasks whose checkpoint is overdue."""
    stops = []
    for task in worker.tasks.values():
        checkpoint_requested_at = task.checkpoint_requested_at
        if checkpoint_requested_at is None or task.stopping:
            continue
        if now - checkpoint_requested_at >= CHECKPOINT_TIMEOUT_SECONDS:
            task.stopping = True
            stops.append(StopTask(worker.name, task.job, task.attempt))
    return stops


def evict_tasks(worker: Worker, now: float) -> list[CheckpointTask]:
    """Checkpoint the tasks of a leaving worker or of one short of memory.

    On a worker short of memory, the least urgent tasks are evicted until the
    others fit.
    """
    if worker.capacity is None or worker.lost:
        return []
    running = [
        task
        for task in worker.tasks.values()
        if task.checkpoint_requested_at is None
        and task.expected_since is not None
    ]
    checkpoints = []
    for task in sorted(running, key=_rank_victim):
        if worker.accepting and _has_memory(worker):
            break
        task.checkpoint_requested_at = now
        checkpoints.append(CheckpointTask(worker.name, task.job, task.attempt))
    return checkpoints


def compute_usage(workers: Iterable[Worker]) -> dict[str, float]:
    """Return the processors in use by team."""
    usage: dict[str, float] = {}
    for worker in workers:
        for task in worker.tasks.values():
            used = usage.get(task.team, 0)
            usage[task.team] = used + task.used.cpu
    return usage


def _has_memory(worker: Worker) -> bool:
    capacity = worker.capacity
    if capacity is None:
        return True
    projected = (task.projected.memory for task in worker.tasks.values())
    return sum(projected) <= capacity.memory


def _rank_victim(task: Task) -> tuple[int, str]:
    return -task.urgency, task.job
