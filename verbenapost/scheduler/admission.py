"""Admission of submissions by the leader."""

from typing import Any, Final

from verbenapost.coordination.scheduling.admission import (
    JobDemand,
    WaitEstimateCache,
    count_waiting_tasks,
    decide_admission,
)
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.orderwindow import OrderWindow
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.scheduler.clock import read_moment
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.controller import FleetController
from verbenapost.scheduler.messages import AdmissionRequest, AdmissionResponse
from verbenapost.scheduler.poolstates import PoolStateSet
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

    def check(self, request: AdmissionRequest) -> AdmissionResponse:
        """Return whether a new job may be accepted now."""
        route = self._configuration.find_route(request.route)
        if route is None:
            return AdmissionResponse(accepted=True)
        pool_state = self._pool_states.find(request.service)
        moment = read_moment()
        self._record_demand(request, route, pool_state, moment.now)
        decision = decide_admission(
            pool_state,
            JobDemand(route, request.steps, request.due_in),
            self._estimate_wait(pool_state, moment),
        )
        self._log.info(
            'job admitted' if decision.accepted else 'job refused',
            job=request.job,
            route=request.route,
            wait=round(decision.wait, 3),
            limit=round(decision.limit, 3),
            retry_after=round(decision.retry_after, 2),
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

    def _estimate_wait(self, pool_state: PoolState, moment: Moment) -> float:
        incoming: float = 0
        if self._controller is not None:
            found = self._controller.find_incoming(pool_state.service)
            incoming = found.cores
        return max(
            self._wait_estimates.get_wait(pool_state, incoming, moment),
            self._estimate_order_wait(moment.now),
        )

    def _estimate_order_wait(self, now: float) -> float:
        """Return the seconds until the waiting tasks of all pools are sent."""
        if not self._window.is_exhausted(now):
            return 0
        waiting = sum(map(count_waiting_tasks, self._pool_states))
        return self._window.estimate_wait(waiting, now)
