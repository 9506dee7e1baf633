"""Care for the tasks that run: late, in the way, or too large."""

from collections.abc import Iterable

from verbenapost.coordination.jobs.commands import CheckpointTask, StopTask
from verbenapost.coordination.jobs.workers import Task, Worker

#: Seconds that a task has to save its progress before it is stopped.
CHECKPOINT_SECONDS = 3.0


def stop_late(worker: Worker, now: float) -> list[StopTask]:
    """Stop the tasks whose checkpoint takes too long."""
    stops = []
    for task in worker.tasks.values():
        closing_at = task.closing_at
        if closing_at is None or task.stopping:
            continue
        if now - closing_at >= CHECKPOINT_SECONDS:
            task.stopping = True
            stops.append(StopTask(worker.name, task.job, task.attempt))
    return stops


def relieve(worker: Worker, now: float) -> list[CheckpointTask]:
    """Empty a leaving worker and relieve one whose memory is short."""
    if worker.capacity is None or worker.lost:
        return []
    running = [
        task
        for task in worker.tasks.values()
        if task.closing_at is None and task.settled_at is not None
    ]
    saved = []
    for task in sorted(running, key=_order_victims):
        if worker.accepting and _has_memory(worker):
            break
        task.closing_at = now
        saved.append(CheckpointTask(worker.name, task.job, task.attempt))
    return saved


def count_usage(workers: Iterable[Worker]) -> dict[str, float]:
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
    kept = (task.kept.memory for task in worker.tasks.values())
    return sum(kept) <= capacity.memory


def _order_victims(task: Task) -> tuple[int, str]:
    return -task.urgency, task.job
