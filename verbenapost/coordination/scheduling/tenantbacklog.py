"""The waiting work of each tenant in a pool.

Load pattern: one tenant's backlog grows to many times that of the others, and
each new job needs the wait of its own tenant's part.
"""

import collections
import dataclasses
import math
from collections.abc import Collection, Iterable, Mapping
from typing import Final, final

from verbenapost.coordination.scheduling.admission import (
    estimate_run_seconds,
    find_backlog,
)
from verbenapost.coordination.scheduling.jobs import StepRun
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.quotas import StartableTasks
from verbenapost.state.resources import Resources

#: Seconds until an accepted job shows in the state of its pool: its entry has
#: to store it, and the leader has to read it.
ARRIVAL_SECONDS: Final = 0.25


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TenantBacklog:
    """Work that waits in a pool, by tenant, in resources times seconds.

    :param cores: capacity in thousandths of a core.
    :param free: free capacity of the workers that accept tasks.
    :param work: waiting work of each tenant that has some.
    :param weights: weights of the tenants with tasks that could start, each in
        proportion to the tasks that the tenant's cap lets start.
    :param capped: tenants whose caps keep some of these tasks from starting.
    """

    cores: float
    free: float
    work: Mapping[str, Resources]
    weights: Mapping[str, float]
    capped: Collection[str] = ()

    def estimate_fair_wait(self, tenant: str, weight: float) -> float:
        """Return the seconds that a tenant's work takes at its fair share.

        :param tenant: name of the tenant.
        :param weight: weight of the tenant.
        """
        work = self.work.get(tenant)
        if work is None:
            return 0
        total = sum({**self.weights, tenant: weight}.values())
        if not weight or not self.cores:
            return math.inf
        return work.cpu / (self.cores * weight / total)


def measure_backlog(
    pool_state: PoolState, incoming: float, moment: Moment
) -> TenantBacklog:
    """Return the work that waits in a pool and is due.

    :param pool_state: state of the pool.
    :param incoming: cores of the VMs that are moving into the pool.
    :param moment: time of the measurement.
    """
    backlog = find_backlog(pool_state, incoming, moment)
    work: dict[str, Resources] = collections.defaultdict(Resources)
    for step in backlog.steps:
        name = step.job.tenant_name
        seconds = estimate_run_seconds(pool_state, step)
        work[name] = work[name].plus(_multiply(step.spec.size, seconds))
    free = sum(
        max(0, worker.entry.capacity.cpu - worker.get_committed().cpu)
        for worker in pool_state.workers.values()
        if worker.accepts_tasks(moment.now)
    )
    shares = _measure_startable(pool_state, backlog.steps)
    weights = {
        name: share.weight * share.startable / share.waiting
        for name, share in shares.items()
        if share.startable
    }
    capped = {
        name
        for name, share in shares.items()
        if share.startable < share.waiting
    }
    return TenantBacklog(backlog.cores, free, work, weights, capped)


@dataclasses.dataclass(slots=True)
class _Share:
    """Waiting tasks of a tenant in steps that are open.

    :param weight: weight of the tenant.
    :param waiting: number of these tasks.
    :param startable: those of them that the tenant's cap lets start.
    """

    weight: float
    waiting: int = 0
    startable: int = 0


def _measure_startable(
    pool_state: PoolState, steps: Iterable[StepRun]
) -> Mapping[str, _Share]:
    startable = StartableTasks(pool_state.gate)
    shares: dict[str, _Share] = {}
    for step in steps:
        if not step.is_open():
            continue
        weight = pool_state.gate.find_weight(step.job.spec.tenant)
        share = shares.setdefault(step.job.tenant_name, _Share(weight))
        share.waiting += step.count_waiting()
        share.startable += startable.count(step)
    return shares


class BacklogCache:
    """Caches the backlog of each pool, and what was accepted since.

    :param lifetime: seconds for which a backlog is reused.
    """

    def __init__(self, lifetime: float) -> None:
        self._lifetime = lifetime
        self._backlogs: dict[str, tuple[float, TenantBacklog]] = {}
        self._accepted: dict[str, collections.deque[tuple[float, float]]] = (
            collections.defaultdict(collections.deque)
        )

    def get(
        self, pool_state: PoolState, incoming: float, moment: Moment
    ) -> TenantBacklog:
        """Return the backlog of a pool.

        :param pool_state: state of the pool.
        :param incoming: cores of the VMs that are moving into the pool.
        :param moment: time of the request.
        """
        name = pool_state.service
        measured_at, known = self._backlogs.get(name, (-math.inf, None))
        if known is None or moment.now - measured_at > self._lifetime:
            known = measure_backlog(pool_state, incoming, moment)
            self._backlogs[name] = (moment.now, known)
        return known

    def note_accepted(self, service: str, cores: float, now: float) -> None:
        """Record a job that may not show in the pool's state yet.

        :param service: name of the pool's service.
        :param cores: capacity that the job uses first, in thousandths.
        :param now: local seconds.
        """
        self._accepted[service].append((now, cores))
        self._forget_arrived(service, now)

    def count_arriving(self, service: str, now: float) -> float:
        """Return the capacity that jobs on their way will use.

        :param service: name of the pool's service.
        :param now: local seconds.
        """
        self._forget_arrived(service, now)
        return sum(cores for _, cores in self._accepted[service])

    def _forget_arrived(self, service: str, now: float) -> None:
        arriving = self._accepted[service]
        while arriving and now - arriving[0][0] > ARRIVAL_SECONDS:
            arriving.popleft()


def _multiply(size: Resources, seconds: float) -> Resources:
    return Resources(
        round(size.cpu * seconds),
        round(size.memory * seconds),
        round(size.gpus * seconds),
    )
