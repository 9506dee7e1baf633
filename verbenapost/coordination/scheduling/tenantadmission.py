"""Admission of the jobs of tenants.

Load pattern: one tenant sends five times its usual load into a full pool. Its
jobs beyond its rate are refused while others wait, and what it is accepted with
waits behind its own backlog, so that the other tenants are neither refused nor
delayed for it.
"""

import collections
import dataclasses
import enum
from typing import Final, final

from verbenapost.coordination.scheduling.admission import (
    RETRY_MIN,
    AdmissionDecision,
    JobDemand,
    decide_admission,
)
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.ratebuckets import RateBucket
from verbenapost.coordination.scheduling.tenantbacklog import (
    BacklogCache,
    TenantBacklog,
)
from verbenapost.state.tenants import TenantTerms

#: Seconds for which a measured backlog is reused.
BACKLOG_SECONDS: Final = 0.03

_MILLI: Final = 1000


@enum.unique
class Refusal(enum.StrEnum):
    """Reason for which a tenant's job is refused.

    ``RATE``: the tenant is beyond its rate and others wait. ``QUOTA``: its cap
    keeps the job from starting in time. ``FULL``: its backlog at its fair share
    of the pool does.
    """

    RATE = 'rate'
    QUOTA = 'quota'
    FULL = 'full'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TenantJob:
    """A job of a tenant whose admission is to be decided.

    :param job: identity of the job.
    :param terms: terms of the tenant in the version in force.
    :param demand: what decides whether the job can be in time.
    :param task_cores: total cores of its tasks, without long-running ones.
    """

    job: str
    terms: TenantTerms
    demand: JobDemand
    task_cores: float = 0

    @property
    def first_cores(self) -> float:
        """Typical capacity of one step, in thousandths of a core."""
        return self.task_cores * _MILLI / max(self.demand.steps, 1)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PoolWait:
    """What new jobs of a pool have to wait for.

    :param whole: seconds until the whole backlog has started.
    :param orders: seconds until the waiting starts of all pools are sent.
    :param incoming: cores of the VMs that are moving into the pool.
    """

    whole: float
    orders: float = 0
    incoming: float = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TenantDecision:
    """Outcome of admission control for a tenant's job.

    :param outcome: whether the job may be accepted, and the expected wait.
    :param reason: reason of a refusal.
    """

    outcome: AdmissionDecision
    reason: Refusal | None = None


class TenantAdmission:
    """Decides which jobs of tenants are accepted.

    :ivar refused: number of refusals by tenant and reason.
    """

    def __init__(self) -> None:
        self.refused: collections.Counter[tuple[str, Refusal]] = (
            collections.Counter()
        )
        self._buckets: dict[str, RateBucket] = {}
        self._backlogs = BacklogCache(BACKLOG_SECONDS)

    def decide(
        self,
        pool_state: PoolState,
        job: TenantJob,
        wait: PoolWait,
        moment: Moment,
    ) -> TenantDecision:
        """Return whether a job may be accepted.

        :param pool_state: state of the job's pool.
        :param job: the job.
        :param wait: what new jobs of the pool have to wait for.
        :param moment: time of the request.
        """
        backlog = self._backlogs.get(pool_state, wait.incoming, moment)
        decision = self._choose(pool_state, job, wait, backlog, moment.now)
        if decision.reason is None:
            self._backlogs.note_accepted(
                pool_state.service, job.first_cores, moment.now
            )
        else:
            self.refused[job.terms.name, decision.reason] += 1
        return decision

    def note_accepted(self, service: str, cores: float, now: float) -> None:
        """Record an accepted job of no tenant.

        :param service: name of the pool's service.
        :param cores: total cores of its tasks.
        :param now: local seconds.
        """
        self._backlogs.note_accepted(service, cores * _MILLI, now)

    def _choose(
        self,
        pool_state: PoolState,
        job: TenantJob,
        wait: PoolWait,
        backlog: TenantBacklog,
        now: float,
    ) -> TenantDecision:
        terms = job.terms
        fair = min(
            backlog.estimate_fair_wait(terms.name, terms.weight), wait.whole
        )
        capped = _estimate_cap_wait(pool_state, terms, backlog)
        seconds = max(fair, capped, wait.orders)
        outcome = decide_admission(pool_state, job.demand, seconds)
        bucket = self._find_bucket(terms, now)
        if bucket.take(job.job, terms.weight, now):
            if outcome.accepted:
                return TenantDecision(outcome)
            beyond_cap = capped > max(fair, wait.orders)
            return TenantDecision(
                outcome, Refusal.QUOTA if beyond_cap else Refusal.FULL
            )
        if not seconds and self._starts_at_once(pool_state, job, backlog, now):
            return TenantDecision(outcome)
        retry_after = max(bucket.promise(now), outcome.retry_after, RETRY_MIN)
        return TenantDecision(
            dataclasses.replace(
                outcome, accepted=False, retry_after=retry_after
            ),
            Refusal.RATE,
        )

    def _starts_at_once(
        self,
        pool_state: PoolState,
        job: TenantJob,
        backlog: TenantBacklog,
        now: float,
    ) -> bool:
        """Return whether a job would start without waiting behind others."""
        arriving = self._backlogs.count_arriving(pool_state.service, now)
        return (
            not backlog.weights
            and arriving + job.first_cores <= backlog.free
            and pool_state.gate.may_start(job.terms)
        )

    def _find_bucket(self, terms: TenantTerms, now: float) -> RateBucket:
        bucket = self._buckets.get(terms.name)
        if bucket is None:
            bucket = RateBucket(terms.weight, now)
            self._buckets[terms.name] = bucket
        return bucket


def _estimate_cap_wait(
    pool_state: PoolState, terms: TenantTerms, backlog: TenantBacklog
) -> float:
    """Return the seconds that a tenant's work waits because of its cap.

    At its cap, the tenant's work in a pool goes on with what it uses there.
    """
    work = backlog.work.get(terms.name)
    if work is None or terms.name not in backlog.capped:
        return 0
    used = pool_state.usage.read(terms.name)
    cap = terms.cap
    return max(
        _divide(work.cpu, used.cpu, cap.cpu),
        _divide(work.memory, used.memory, cap.memory),
        _divide(work.gpus, used.gpus, cap.gpus),
    )


def _divide(work: int, used: int, cap: int) -> float:
    return work / (used or cap) if cap else 0
