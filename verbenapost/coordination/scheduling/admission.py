"""Admission control: refuses jobs that an overloaded pool would start late.

Load pattern: a burst of one queue brings four to five times its mean rate for
some seconds. A job that would start after its objective has passed is worth
almost nothing to its caller and delays the jobs behind it.
"""

import dataclasses
import math
from collections.abc import Iterator
from typing import Final, final

from verbenapost.coordination.scheduling.jobs import StepRun
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.quotas import StartableTasks
from verbenapost.coordination.scheduling.workers import compute_booking
from verbenapost.state.workloads import Route

#: Share of a job's slack that it may spend waiting. The slack is the time
#: that the job's objective leaves beside its own work.
MAX_WAIT_SHARE: Final = 1.0

#: Bounds of Retry-After, in seconds.
RETRY_MIN: Final = 0.3
RETRY_MAX: Final = 3.0

_MILLI: Final = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class JobDemand:
    """A job whose admission is to be decided.

    :param route: route on which the job came in.
    :param steps: number of steps in the job's longest chain.
    :param due_in: seconds until the job's first occurrence is due.
    """

    route: Route
    steps: int = 1
    due_in: float = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Outcome of admission control for one job.

    :param accepted: whether the job may be accepted.
    :param wait: seconds that the job is expected to wait.
    :param limit: longest wait in seconds that still meets the objective.
    :param retry_after: seconds after which a retry may be accepted.
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


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """Steps that wait in a pool and are due.

    :param cores: capacity of the pool in thousandths of a core.
    :param steps: the steps, without those that fit on no worker.
    """

    cores: float
    steps: list[StepRun]


def decide_admission(
    pool_state: PoolState, demand: JobDemand, wait: float
) -> AdmissionDecision:
    """Return whether a job can still meet its objective.

    :param pool_state: state of the pool.
    :param demand: the job.
    :param wait: seconds until the current backlog has started.
    """
    route = demand.route
    wait = max(0, wait - demand.due_in)
    chain = demand.steps * pool_state.run_times.estimate(route.name)
    limit = MAX_WAIT_SHARE * (
        (route.slack_factor - 1) * chain + route.target_latency
    )
    if wait <= limit:
        return AdmissionDecision(accepted=True, wait=wait, limit=limit)
    retry_after = min(max(wait - limit, RETRY_MIN), RETRY_MAX)
    return AdmissionDecision(
        accepted=False, wait=wait, limit=limit, retry_after=retry_after
    )


class WaitEstimateCache:
    """Caches each pool's estimated wait.

    In a burst, many jobs need the same estimate at once.

    :param lifetime: seconds for which an estimate is reused.
    """

    def __init__(self, lifetime: float) -> None:
        self._lifetime = lifetime
        self._estimates: dict[str, _Wait] = {}

    def get_wait(
        self, pool_state: PoolState, incoming: float, moment: Moment
    ) -> float:
        """Return the seconds until the current backlog has started.

        :param incoming: cores of the VMs that are moving into the pool.
        :param moment: time of the request.
        """
        now = moment.now
        known = self._estimates.get(pool_state.service)
        if known is None or now - known.estimated_at > self._lifetime:
            known = _Wait(estimate_wait(pool_state, incoming, moment), now)
            self._estimates[pool_state.service] = known
        return known.seconds


def count_waiting_tasks(pool_state: PoolState) -> int:
    """Return the number of tasks that wait to start, due or not.

    Tasks of tenants at their caps have no turn.
    """
    return sum(
        step.count_waiting()
        for job in pool_state.list_open_jobs()
        if not pool_state.gate.is_capped(job.spec.tenant)
        for step in job.steps()
    )


def estimate_wait(
    pool_state: PoolState, incoming: float, moment: Moment
) -> float:
    """Return the seconds until the current backlog has started.

    An occurrence of a scheduled job belongs to the backlog if it becomes due
    before the rest has started. A step that fits on no worker of the pool, even
    on an empty one, takes no time of the others; while VMs are moving into the
    pool, it may fit on one of them. What a tenant's cap keeps from starting
    takes no time of the others either.

    :param incoming: cores of the VMs that are moving into the pool.
    :param moment: time of the estimate.
    """
    cores = _count_cores(pool_state, incoming, moment)
    kinds_known = bool(cores) and not incoming
    wait: float = 0
    for step, tasks in _find_competing(pool_state, kinds_known=kinds_known):
        if step.due_at > moment.wall + wait:
            break
        if not cores:
            return math.inf
        seconds = pool_state.run_times.estimate(step.job.spec.route)
        wait += tasks * seconds * step.spec.size.cpu / cores
    return wait


def _find_competing(
    pool_state: PoolState, *, kinds_known: bool
) -> Iterator[tuple[StepRun, int]]:
    """Yield the steps that wait, the first due first, and their tasks.

    Only the tasks count that the caps of their tenants let start.

    :param kinds_known: whether only the workers of the pool can run a step.
    """
    startable = StartableTasks(pool_state.gate)
    for step in sorted(_find_waiting(pool_state), key=_get_due_time):
        if kinds_known and _is_unschedulable(pool_state, step):
            continue
        tasks = startable.count(step)
        if tasks:
            yield step, tasks


def find_backlog(
    pool_state: PoolState, incoming: float, moment: Moment
) -> Backlog:
    """Return the steps that wait and are due, as in :func:`estimate_wait`.

    :param incoming: cores of the VMs that are moving into the pool.
    :param moment: time of the request.
    """
    cores = _count_cores(pool_state, incoming, moment)
    steps = [
        step
        for step in _find_waiting(pool_state)
        if step.due_at <= moment.wall
        and (incoming or not cores or not _is_unschedulable(pool_state, step))
    ]
    return Backlog(cores, steps)


def _count_cores(
    pool_state: PoolState, incoming: float, moment: Moment
) -> float:
    """Return the capacity of a pool in thousandths of a core."""
    cores: float = sum(
        worker.entry.capacity.cpu
        for worker in pool_state.workers.values()
        if worker.accepts_tasks(moment.now) or not worker.reconciled
    )
    return cores + incoming * _MILLI


def _find_waiting(pool_state: PoolState) -> Iterator[StepRun]:
    for job in pool_state.list_open_jobs():
        if job.long_running:
            continue
        for step in job.steps():
            if step.has_waiting():
                yield step


def _is_unschedulable(pool_state: PoolState, step: StepRun) -> bool:
    """Return whether no worker of the pool could run a task of a step."""
    size = compute_booking(step.spec)
    label = step.spec.requires
    return not any(
        size.fits(worker.entry.capacity)
        and (not label or label in worker.entry.labels)
        for worker in pool_state.workers.values()
    )


def _get_due_time(step: StepRun) -> float:
    return step.due_at


def estimate_run_seconds(pool_state: PoolState, step: StepRun) -> float:
    """Return the seconds that a step's waiting tasks run in total."""
    seconds = pool_state.run_times.estimate(step.job.spec.route)
    return step.count_waiting() * seconds
