"""Observations of how slow the tasks of a worker are, and beside which images.

Load patterns: an image is slow where it has just started, where it is far from
its data, and where the worker has no processor left. None of these tells
anything about the images beside it, so such runs are not observed.
"""

import dataclasses
import math
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Final, final

from verbenapost.coordination.scheduling.jobs import (
    FULL_PACE,
    FULL_PROGRESS,
    Task,
    TaskState,
)
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.protocol.orders import RunEnd, RunEndKind, WorkerReport

#: Seconds for which a serving task must have run to be observed. The first
#: response times of a run are those of empty caches.
WARM_UP_SECONDS: Final = 3.0

#: Percent of full speed from which a best-effort task affects others as it
#: does unthrottled.
ACTIVE_PACE: Final = FULL_PACE // 2

#: Share of a short task's run that another task must have been beside it.
MIN_OVERLAP: Final = 0.25

#: Images beside a task that one observation names.
MAX_NEIGHBOURS: Final = 16

#: Seconds between two figures of a serving task.
FIGURE_SECONDS: Final = 0.45

_MS: Final = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VictimKey:
    """Image whose slowdown is measured in one pool.

    :param service: name of the pool's service.
    :param image: the image.
    :param serving: whether the measure is the tail of response times rather
        than the run time of a short task.
    """

    service: str
    image: str
    serving: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Slowdown:
    """Speed of one task beside others; a higher measure is slower.

    :param victim: the image and its measure.
    :param measure: logarithm of the tail as a share of its target, or of the
        run time in seconds.
    :param neighbours: images that ran beside the task.
    """

    victim: VictimKey
    measure: float
    neighbours: frozenset[str]


def list_serving(
    worker: Worker, report: WorkerReport, now: float
) -> Iterator[Slowdown]:
    """Yield an observation of each serving task that a report lists.

    :param worker: the worker, to which the report is not applied yet.
    :param report: the report.
    :param now: local seconds.
    """
    tasks = _match_tasks(worker, report)
    if tasks is None:
        return
    serving = [task for task in tasks if _is_serving(worker, task, now)]
    images = _count_images(tasks) if serving else None
    if images is None:
        return
    loads = {row.task: row.load for row in report.running}
    for task in serving:
        share = loads[task.key] / (task.step.target * _MS)
        # A task without requests has no response times.
        if share > 0:
            yield _observe(worker, task, math.log(share), images)


def list_ended(
    worker: Worker, ends: Sequence[RunEnd], first_run: int, now: float
) -> Iterator[Slowdown]:
    """Yield an observation of each short task that is done.

    Best-effort tasks are no victims, since their speed is limited on purpose,
    and neither is the member of a gang, which waits for the other members.

    :param worker: the worker, to which the ends are not applied yet.
    :param ends: run ends that were not applied before.
    :param first_run: lowest run number of this leader. It doesn't know when
        earlier runs have started.
    :param now: local seconds.
    """
    for end in ends:
        task = worker.tasks.get(end.task)
        if task is None or task.run != end.run or task.run < first_run:
            continue
        seconds = now - task.started_at
        if seconds > 0 and _is_short(worker, task, end):
            images = _count_images(_list_beside(worker, task, now))
            if images is not None:
                yield _observe(worker, task, math.log(seconds), images)


def is_full(worker: Worker) -> bool:
    """Return whether all processors of a worker are booked."""
    booked = worker.used.cpu + worker.unbooked.cpu
    return booked >= worker.entry.capacity.cpu


def _match_tasks(worker: Worker, report: WorkerReport) -> list[Task] | None:
    """Return the listed tasks, or ``None`` when an unknown run is listed."""
    found: list[Task] = []
    for row in report.running:
        task = worker.tasks.get(row.task)
        if task is None or task.run != row.run:
            return None
        found.append(task)
    return found


def _list_beside(worker: Worker, task: Task, now: float) -> list[Task]:
    """Return a task that ends and those beside it when it ends.

    Those that came last have hardly slowed it.
    """
    latest = now - (now - task.started_at) * MIN_OVERLAP
    return [
        other
        for other in worker.tasks.values()
        if other is task or other.started_at <= latest
    ]


def _count_images(tasks: Sequence[Task]) -> Counter[str] | None:
    """Return the tasks by image, without best-effort tasks that are stopped.

    :returns: the counts, or ``None`` when a best-effort task is throttled so
        far that it may or may not slow the others.
    """
    images: Counter[str] = Counter()
    for task in tasks:
        if not task.step.fills:
            images[task.step.image] += 1
        elif task.pace is None or 0 < task.pace < ACTIVE_PACE:
            return None
        elif task.pace:
            images[task.step.image] += 1
    # Tasks without an image are no neighbours.
    del images['']
    return images


def _observe(
    worker: Worker, task: Task, measure: float, images: Counter[str]
) -> Slowdown:
    image = task.step.image
    beside = sorted(
        name for name, count in images.items() if count > (name == image)
    )
    return Slowdown(
        VictimKey(worker.entry.service, image, bool(task.step.target)),
        measure,
        frozenset(beside[:MAX_NEIGHBOURS]),
    )


def _is_serving(worker: Worker, task: Task, now: float) -> bool:
    return (
        bool(task.step.target and task.step.image)
        and task.state is TaskState.RUNNING
        and task.progress >= FULL_PROGRESS
        and now - task.confirmed_at >= WARM_UP_SECONDS
        and _is_near_data(worker, task)
    )


def _is_short(worker: Worker, task: Task, end: RunEnd) -> bool:
    step = task.step
    excluded = step.long_running or step.fills or step.gang or step.target
    return (
        end.kind is RunEndKind.DONE
        and bool(step.image)
        and not excluded
        and not task.checkpoint
        and _is_near_data(worker, task)
    )


def _is_near_data(worker: Worker, task: Task) -> bool:
    rack = task.step.affinity
    return not rack or rack in worker.entry.labels
