"""Measurement of the work that comes in for each pool.

Load pattern: the queues have bursts one after another. Each brings several
times its mean rate for some seconds and next to nothing in between.
"""

import collections
import dataclasses
from typing import Final, final

from verbenapost.coordination.scheduling.demandforecast import (
    Arrival,
    DemandForecast,
)
from verbenapost.coordination.scheduling.jobs import TaskState
from verbenapost.coordination.scheduling.poolstate import PoolState

#: Seconds over which arrivals are counted: long enough to see several jobs of
#: a queue with two a second, and short compared with a burst of a few seconds.
WINDOW_SECONDS: Final = 2.5

#: Seconds of the short window that detects the onset of a burst.
ONSET_SECONDS: Final = 1.0

#: Weight of the rate in the short window; that rate is noisy.
ONSET_WEIGHT: Final = 0.75

#: Seconds within which the backlog should have started.
BACKLOG_DRAIN_SECONDS: Final = 1.5

#: Jobs that are remembered, so that a job that is submitted again after a
#: refusal is counted once.
MAX_REMEMBERED: Final = 4096

_MILLI: Final = 1000


class DemandMeter:
    """Measures the work that callers request, including refused jobs.

    Examples
    ========

    >>> meter = DemandMeter()
    >>> for number in range(3):
    ...     meter.record_job(f'job-{number}', core_seconds=6, now=number / 2)
    >>> meter.record_job('job-0', core_seconds=6, now=1)
    >>> meter.read_rate(now=1), meter.read_rate(now=5)
    (13.5, 0.0)
    """

    def __init__(self) -> None:
        self.has_demand = False
        self._forecast = DemandForecast()
        self._arrivals: collections.deque[Arrival] = collections.deque()
        self._recorded_jobs: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def record_job(self, job: str, core_seconds: float, now: float) -> None:
        """Record that a job was requested; a repeated job is ignored.

        :param job: identity of the job.
        :param core_seconds: expected work of the job.
        :param now: local seconds.
        """
        self.has_demand = True
        if job in self._recorded_jobs or not core_seconds:
            return
        self._recorded_jobs[job] = None
        if len(self._recorded_jobs) > MAX_REMEMBERED:
            self._recorded_jobs.popitem(last=False)
        self._arrivals.append(Arrival(now, core_seconds))

    def read_rate(self, now: float) -> float:
        """Return the rate of incoming work in core-seconds per second."""
        oldest = now - WINDOW_SECONDS
        while self._arrivals and self._arrivals[0].at < oldest:
            self._arrivals.popleft()
        total = sum(arrival.core_seconds for arrival in self._arrivals)
        onset = sum(
            arrival.core_seconds
            for arrival in self._arrivals
            if arrival.at >= now - ONSET_SECONDS
        )
        return max(
            total / WINDOW_SECONDS,
            onset / ONSET_SECONDS * ONSET_WEIGHT,
        )

    def predict_rate(self, now: float, lead: float) -> float:
        """Return the rate to expect, which is the present one or a higher one.

        :param now: local seconds.
        :param lead: seconds until a VM that is ordered now has joined.
        """
        present = self.read_rate(now)
        return max(present, self._forecast.predict(self._arrivals, now, lead))


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of a pool, in cores.

    :param long_running: cores of tasks that run until they are cancelled.
    :param long_running_memory: memory in MB of those tasks, including the
        best-effort ones.
    :param running: cores of other tasks that run or are being started.
    :param waiting: cores of other tasks that could start now.
    """

    long_running: float
    long_running_memory: int
    running: float
    waiting: float


def measure_load(pool_state: PoolState, wall: float) -> Load:
    """Return the load of a pool.

    :param wall: Unix seconds.
    """
    long_running = 0
    memory = 0
    running = 0
    waiting = 0
    steps = [
        step
        for job in pool_state.list_open_jobs()
        for step in job.find_open_steps(wall)
    ]
    for step in steps:
        if step.spec.long_running:
            memory += step.spec.size.memory * len(step.tasks)
        if step.spec.fills:
            continue
        states = collections.Counter(task.state for task in step.tasks)
        waiting_tasks = states[TaskState.WAITING]
        placed_tasks = len(step.tasks) - waiting_tasks - states[TaskState.DONE]
        if pool_state.gate.is_capped(step.job.spec.tenant):
            # Further VMs would not let these tasks start.
            waiting_tasks = 0
        if step.spec.long_running:
            long_running += step.spec.size.cpu * (waiting_tasks + placed_tasks)
        else:
            running += step.spec.size.cpu * placed_tasks
            waiting += step.spec.size.cpu * waiting_tasks
    return Load(
        long_running / _MILLI, memory, running / _MILLI, waiting / _MILLI
    )
