"""How much work comes in by each pool.

Load pattern: the queues take turns; each brings several times its mean for
some seconds and next to nothing in between.
"""

import collections
import dataclasses
from typing import Final, final

from verbenapost.coordination.scheduling.board import Board
from verbenapost.coordination.scheduling.jobs import TaskState

#: Seconds over which arrivals are counted: long enough for some jobs of a
#: queue with two a second, short beside a turn of a few seconds.
WINDOW_SECONDS: Final = 2.5

#: Seconds of the short window that shows the begin of a turn.
ONSET_SECONDS: Final = 1.0

#: Share of the rate in the short window that is believed; it is noisy.
ONSET_SHARE: Final = 0.75

#: Seconds in which work that waits should have started.
CLEAR_SECONDS: Final = 1.5

#: Jobs whose asking is remembered, so that a caller who comes back counts
#: once.
MAX_REMEMBERED: Final = 4096

_MILLI: Final = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    at: float
    core_seconds: float


class DemandMeter:
    """Counts the work that callers ask a pool for, also when refused.

    Examples
    ========

    >>> meter = DemandMeter()
    >>> for number in range(3):
    ...     meter.note(f'job-{number}', core_seconds=6, now=number / 2)
    >>> meter.note('job-0', core_seconds=6, now=1)
    >>> meter.read_rate(now=1), meter.read_rate(now=5)
    (13.5, 0.0)
    """

    def __init__(self) -> None:
        self.seen = False
        self._arrivals: collections.deque[_Arrival] = collections.deque()
        self._asked: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def note(self, job: str, core_seconds: float, now: float) -> None:
        """Note that a job was asked for.

        :param job: identity of the job.
        :param core_seconds: work that it is expected to take.
        :param now: local seconds.
        """
        if job in self._asked or not core_seconds:
            return
        self._asked[job] = None
        self.seen = True
        if len(self._asked) > MAX_REMEMBERED:
            self._asked.popitem(last=False)
        self._arrivals.append(_Arrival(now, core_seconds))

    def read_rate(self, now: float) -> float:
        """Return the work that comes in, in cores."""
        oldest = now - WINDOW_SECONDS
        while self._arrivals and self._arrivals[0].at < oldest:
            self._arrivals.popleft()
        total = sum(row.core_seconds for row in self._arrivals)
        onset = sum(
            row.core_seconds
            for row in self._arrivals
            if row.at >= now - ONSET_SECONDS
        )
        return max(
            total / WINDOW_SECONDS,
            onset / ONSET_SECONDS * ONSET_SHARE,
        )


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Work of a pool, in cores.

    :param lasting: of tasks that run until they are cancelled.
    :param running: of other tasks that run or are about to.
    :param waiting: of other tasks that could start now.
    """

    lasting: float
    running: float
    waiting: float


def measure_load(board: Board, wall: float) -> Load:
    """Return the work of a pool.

    :param wall: Unix seconds.
    """
    lasting = 0
    running = 0
    waiting = 0
    steps = [step for job in board.open_jobs() for step in job.find_open(wall)]
    for step in steps:
        if step.spec.fills:
            continue
        states = collections.Counter(task.state for task in step.tasks)
        idle = states[TaskState.WAITING]
        busy = len(step.tasks) - idle - states[TaskState.DONE]
        if step.spec.long_running:
            lasting += step.spec.size.cpu * (idle + busy)
        else:
            running += step.spec.size.cpu * busy
            waiting += step.spec.size.cpu * idle
    return Load(lasting / _MILLI, running / _MILLI, waiting / _MILLI)
