"""What operators see of each tenant: log lines and metrics."""

import asyncio
import collections
from collections.abc import Mapping
from typing import Any, Final

from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.tenantadmission import Refusal
from verbenapost.scheduler.clock import read_moment
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.scheduler.poolstates import PoolStateSet
from verbenapost.state.tenants import TenantTerms

#: Seconds between two log lines on a tenant.
REPORT_SECONDS: Final = 1.0

_MILLI: Final = 1000


class TenantStatus:
    """Reports the use and the waiting work of tenants while a leader leads.

    :param pool_states: states of all pools.
    :param configuration: the operator configuration.
    :param refused: number of refusals by tenant and reason.
    :param metrics: metrics of the daemon.
    :param log: logger.
    """

    def __init__(
        self,
        pool_states: PoolStateSet,
        configuration: ConfigurationFollower,
        refused: Mapping[tuple[str, Refusal], int],
        metrics: SchedulerMetrics,
        log: Any,
    ) -> None:
        self._pool_states = pool_states
        self._configuration = configuration
        self._refused = refused
        self._metrics = metrics
        self._log = log
        self._reported_refusals: dict[tuple[str, Refusal], int] = {}
        self._known: dict[str, TenantTerms] = {}

    async def run(self) -> None:
        """Report until the task is cancelled, and show no use afterwards."""
        try:
            while True:
                self.report(read_moment())
                await asyncio.sleep(REPORT_SECONDS)
        finally:
            self._clear_gauges()

    def report(self, moment: Moment) -> None:
        """Update the metrics; log each tenant that waits or is at its cap."""
        gate = self._pool_states.gate
        gate.begin_round(moment)
        waiting = self._count_waiting(moment.wall)
        refused = self._count_refusals()
        for name in sorted({*self._known, *gate.usage, *refused}):
            terms = self._find_terms(name)
            self._set_gauges(terms, waiting[name])
            if waiting[name] or name in refused or not gate.may_start(terms):
                self._log_usage(terms, waiting[name])

    def _count_waiting(self, wall: float) -> collections.Counter[str]:
        waiting: collections.Counter[str] = collections.Counter()
        for pool_state in self._pool_states:
            if not pool_state.has_tenants:
                continue
            for step in pool_state.find_waiting_steps(wall):
                stored = step.job.spec.tenant
                if stored is not None:
                    self._known[stored.name] = stored
                    waiting[stored.name] += step.count_waiting()
        return waiting

    def _count_refusals(self) -> set[str]:
        """Count refusals and return the tenants with new ones."""
        changed: set[str] = set()
        for (name, reason), total in self._refused.items():
            known = self._reported_refusals.get((name, reason), 0)
            if total > known:
                changed.add(name)
                self._reported_refusals[name, reason] = total
                labels = {'tenant': name, 'reason': reason.value}
                self._metrics.tenants.refused.add(labels, total - known)
        return changed

    def _find_terms(self, name: str) -> TenantTerms:
        found = self._configuration.find_tenant(name)
        terms = found or self._known.get(name) or TenantTerms(name)
        self._known.setdefault(name, terms)
        return terms

    def _set_gauges(self, terms: TenantTerms, waiting: int) -> None:
        labels = {'tenant': terms.name}
        used = self._pool_states.gate.read_use(terms.name)
        gauges = self._metrics.tenants
        gauges.running_cores.set(labels, used.cpu / _MILLI)
        gauges.cap_cores.set(labels, terms.cap.cpu / _MILLI)
        gauges.waiting_tasks.set(labels, waiting)

    def _clear_gauges(self) -> None:
        """Reset the gauges that the next leader sets from now on."""
        for name in self._known:
            labels = {'tenant': name}
            self._metrics.tenants.running_cores.set(labels, 0)
            self._metrics.tenants.waiting_tasks.set(labels, 0)

    def _log_usage(self, terms: TenantTerms, waiting: int) -> None:
        name = terms.name
        used = self._pool_states.gate.read_use(name)
        self._log.info(
            'usage',
            tenant=name,
            running_cores=used.cpu / _MILLI,
            running_memory_mb=used.memory,
            running_gpus=used.gpus,
            cap_cores=terms.cap.cpu / _MILLI,
            cap_memory_mb=terms.cap.memory,
            cap_gpus=terms.cap.gpus,
            waiting=waiting,
            **{
                f'refused_{reason.value}': self._refused.get((name, reason), 0)
                for reason in Refusal
            },
        )
