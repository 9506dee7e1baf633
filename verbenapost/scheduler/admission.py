"""Admission of submissions by the leader."""

from typing import Any, Final

from verbenapost.coordination.scheduling.admission import (
    AdmissionDecision,
    JobDemand,
    WaitEstimateCache,
    count_waiting_tasks,
    decide_admission,
)
from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.orderwindow import OrderWindow
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.tenantadmission import (
    PoolWait,
    Refusal,
    TenantAdmission,
    TenantJob,
)
from verbenapost.daemon.logs import make_logger
from verbenapost.scheduler.clock import read_moment
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.controller import FleetController
from verbenapost.scheduler.messages import AdmissionRequest, AdmissionResponse
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.scheduler.poolstates import PoolStateSet
from verbenapost.scheduler.tenantstatus import TenantStatus
from verbenapost.state.tenants import TenantTerms
from verbenapost.state.workloads import Route

#: Seconds for which a pool's estimated wait is reused.
WAIT_CACHE_SECONDS: Final = 0.03


class Admission:
    """Decides which new jobs are accepted, and records their demand.

    :param configuration: the operator configuration.
    :param pool_states: states of all pools.
    :param controller: control of the VMs, if there is a cloud.
    :param window: limit of unanswered starts.
    :param log: logger.
    :ivar tenants: admission of the jobs of tenants.
    """

    def __init__(
        self,
        configuration: ConfigurationFollower,
        pool_states: PoolStateSet,
        controller: FleetController | None,
        window: OrderWindow,
        log: Any,
    ) -> None:
        self._configuration = configuration
        self._pool_states = pool_states
        self._controller = controller
        self._window = window
        self._log = log
        self._wait_estimates = WaitEstimateCache(WAIT_CACHE_SECONDS)
        self.tenants = TenantAdmission()

    def check(self, request: AdmissionRequest) -> AdmissionResponse:
        """Return whether a new job may be accepted now."""
        route = self._configuration.find_route(request.route)
        if route is None:
            return AdmissionResponse(accepted=True)
        pool_state = self._pool_states.find(request.service)
        moment = read_moment()
        if request.tenant:
            return self._check_tenant(request, route, pool_state, moment)
        self._record_demand(request, route, pool_state, moment.now)
        wait = self._estimate_wait(pool_state, moment)
        decision = decide_admission(
            pool_state,
            JobDemand(route, request.steps, request.due_in),
            max(wait.whole, wait.orders),
        )
        if decision.accepted:
            self.tenants.note_accepted(
                request.service, request.task_cores, moment.now
            )
        return self._answer(request, decision)

    def note_job(self, pool_state: PoolState, job: Job) -> None:
        """Record the demand of an added job, unless a cap holds it back."""
        capped = pool_state.gate.is_capped(job.spec.tenant)
        if self._controller is not None and not capped:
            self._controller.demands.note_job(pool_state, job)

    def make_status(self, metrics: SchedulerMetrics) -> TenantStatus:
        """Return the reports on the tenants.

        :param metrics: metrics of the daemon.
        """
        return TenantStatus(
            self._pool_states,
            self._configuration,
            self.tenants.refused,
            metrics,
            make_logger('tenants'),
        )

    def _check_tenant(
        self,
        request: AdmissionRequest,
        route: Route,
        pool_state: PoolState,
        moment: Moment,
    ) -> AdmissionResponse:
        terms = self._configuration.find_tenant(request.tenant)
        if terms is None:
            # The entry knows another version of the configuration.
            terms = TenantTerms(request.tenant)
        pool_state.gate.begin_round(moment)
        decision = self.tenants.decide(
            pool_state,
            TenantJob(
                request.job,
                terms,
                JobDemand(route, request.steps, request.due_in),
                request.task_cores,
            ),
            self._estimate_wait(pool_state, moment),
            moment,
        )
        # VMs are of no use to work that its tenant's rate or cap holds back.
        if decision.reason in {None, Refusal.FULL}:
            self._record_demand(request, route, pool_state, moment.now)
        fields = {'tenant': terms.name}
        if decision.reason is not None:
            fields['reason'] = decision.reason.value
        return self._answer(request, decision.outcome, **fields)

    def _answer(
        self,
        request: AdmissionRequest,
        decision: AdmissionDecision,
        **fields: str,
    ) -> AdmissionResponse:
        self._log.info(
            'job admitted' if decision.accepted else 'job refused',
            job=request.job,
            route=request.route,
            wait=round(decision.wait, 3),
            limit=round(decision.limit, 3),
            retry_after=round(decision.retry_after, 2),
            **fields,
        )
        return AdmissionResponse(
            decision.accepted,
            retry_after=decision.retry_after,
            wait=decision.wait,
        )

    def _record_demand(
        self,
        request: AdmissionRequest,
        route: Route,
        pool_state: PoolState,
        now: float,
    ) -> None:
        """Record the work of a job that may start at once."""
        if self._controller is None or request.due_in:
            return
        seconds = pool_state.run_times.estimate(route.name)
        self._controller.demands.record_job(
            request.service, request.job, request.task_cores * seconds, now
        )

    def _estimate_wait(self, pool_state: PoolState, moment: Moment) -> PoolWait:
        incoming: float = 0
        if self._controller is not None:
            found = self._controller.find_incoming(pool_state.service)
            incoming = found.cores
        return PoolWait(
            self._wait_estimates.get_wait(pool_state, incoming, moment),
            self._estimate_order_wait(moment.now),
            incoming,
        )

    def _estimate_order_wait(self, now: float) -> float:
        """Return the seconds until the waiting tasks of all pools are sent."""
        if not self._window.is_exhausted(now):
            return 0
        waiting = sum(map(count_waiting_tasks, self._pool_states))
        return self._window.estimate_wait(waiting, now)
