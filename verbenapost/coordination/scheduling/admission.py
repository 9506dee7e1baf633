"""Whether a job is accepted while more comes than the pool can take.

Load pattern: a queue's turn brings four to five times its mean for some
seconds. A job that would start after its objective has passed is worth almost
nothing to its caller and delays those behind it.
"""

import dataclasses
from typing import Final, final

from verbenapost.coordination.scheduling.board import Board
from verbenapost.coordination.scheduling.jobs import TaskState
from verbenapost.state.workloads import Route

#: Share of the time left beside the job's own work that waiting may take.
PATIENCE: Final = 1.0

#: Shortest and longest Retry-After in seconds.
RETRY_MIN: Final = 0.3
RETRY_MAX: Final = 3.0

_MILLI: Final = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """A job that asks for room.

    :param route: route that it came by.
    :param steps: steps of its longest chain.
    """

    route: Route
    steps: int = 1


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether there is room.

    :param accepted: whether the job may be accepted.
    :param wait: seconds that it is expected to wait.
    :param limit: seconds that it may wait and still be in time.
    :param retry_after: seconds after which there may be room.
    """

    accepted: bool
    wait: float
    limit: float
    retry_after: float = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Wait:
    seconds: float
    estimated_at: float


def judge_demand(board: Board, demand: Demand, wait: float) -> Verdict:
    """Return whether a job can still be done in time.

    :param board: board of the pool.
    :param demand: the job.
    :param wait: seconds until the work that waits now has started.
    """
    route = demand.route
    chain = demand.steps * board.run_times.estimate(route.name)
    limit = PATIENCE * ((route.slack_factor - 1) * chain + route.target_latency)
    if wait <= limit:
        return Verdict(accepted=True, wait=wait, limit=limit)
    retry_after = min(max(wait - limit, RETRY_MIN), RETRY_MAX)
    return Verdict(
        accepted=False, wait=wait, limit=limit, retry_after=retry_after
    )


class WaitBook:
    """Keeps each pool's wait for a moment; in a burst many jobs ask at once.

    :param lifetime: seconds for which an estimate is used again.
    """

    def __init__(self, lifetime: float) -> None:
        self._lifetime = lifetime
        self._found: dict[str, _Wait] = {}

    def find(self, board: Board, incoming: float, now: float) -> float:
        """Return the seconds until the work that waits now has started.

        :param incoming: cores on their way into the pool.
        :param now: local seconds.
        """
        known = self._found.get(board.service)
        if known is None or now - known.estimated_at > self._lifetime:
            known = _Wait(estimate_wait(board, incoming, now), now)
            self._found[board.service] = known
        return known.seconds


def estimate_wait(board: Board, incoming: float, now: float) -> float:
    """Return the seconds until the work that waits now has started.

    :param incoming: cores on their way into the pool.
    :param now: local seconds.
    """
    cores: float = sum(
        worker.entry.room.cpu
        for worker in board.workers.values()
        if worker.can_take(now) or not worker.adopted
    )
    cores += incoming * _MILLI
    waiting = sum(
        task.step.size.cpu * board.run_times.estimate(job.spec.route)
        for job in board.open_jobs()
        if not job.long_running
        for task in job.tasks()
        if task.state is TaskState.WAITING
    )
    if not waiting:
        return 0
    if not cores:
        return float('inf')
    return waiting / cores
