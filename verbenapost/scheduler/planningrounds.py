"""Planning rounds of the leader over all pools."""

from typing import Any, Final

from verbenapost.coordination.scheduling.orderwindow import OrderWindow
from verbenapost.coordination.scheduling.planning import StartPlanner
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.daemon.timers import read_clock
from verbenapost.scheduler.clock import read_moment
from verbenapost.scheduler.controller import FleetController
from verbenapost.scheduler.fleet import WorkerFleet
from verbenapost.scheduler.inheritance import (
    Takeover,
    end_inherited_pause,
    find_silent_workers,
    find_unregistered_workers,
)
from verbenapost.scheduler.poolstates import PoolStateSet
from verbenapost.scheduler.ports import LeaderPorts
from verbenapost.scheduler.recorder import Recorder

#: Names of VMs that one log line holds.
MAX_LOGGED_VMS: Final = 5


class PlanningRounds:
    """Plans the starts of all pools, round after round.

    :param ports: dependencies of the leader.
    :param pool_states: states of all pools.
    :param fleet: links to the workers.
    :param recorder: writes the progress of jobs.
    :param controller: control of the VMs, if there is a cloud.
    :param window: limit of unanswered starts.
    :param started_at: local seconds of the takeover.
    :param log: logger.
    :ivar round_seconds: duration of the last round in seconds.
    """

    def __init__(
        self,
        ports: LeaderPorts,
        pool_states: PoolStateSet,
        fleet: WorkerFleet,
        recorder: Recorder,
        controller: FleetController | None,
        window: OrderWindow,
        started_at: float,
        log: Any,
    ) -> None:
        self.round_seconds: float = 0
        self._ports = ports
        self._pool_states = pool_states
        self._fleet = fleet
        self._recorder = recorder
        self._controller = controller
        self._window = window
        self._started_at = started_at
        self._longest_lease = ports.settings.bounds.hold_seconds
        self._log = log
        self._first_pool = 0
        # Starts of this round, which are sent after it.
        self._planned = 0

    def run(self) -> None:
        """Plan one round over all pools and send its orders."""
        began_at = read_clock()
        self._planned = 0
        if self._ports.relays is not None:
            self._ports.relays.set_worker_count(self._fleet.count_live())
        missing: frozenset[str] = frozenset()
        if any(pool_state.recovering for pool_state in self._pool_states):
            missing = self._find_missing_vms()
        for pool_state in self._rotate_pools():
            self._end_inherited_pause(pool_state, began_at, missing)
            self._plan_starts(pool_state)
            self._recorder.mark_dirty(pool_state.pop_dirty_jobs())
        self.round_seconds = read_clock() - began_at

    def _end_inherited_pause(
        self, pool_state: PoolState, now: float, missing: frozenset[str]
    ) -> None:
        if not pool_state.recovering:
            return
        listed = None
        if self._controller is not None:
            listed = self._controller.find_listed_workers(pool_state.service)
        takeover = Takeover(
            now - self._started_at,
            self._longest_lease,
            listed,
            missing,
            lists_vms=self._controller is not None,
        )
        if end_inherited_pause(pool_state, takeover):
            self._log.info(
                'pool settled',
                pool=pool_state.service,
                seconds=round(takeover.passed, 2),
                listed=takeover.listed is not None,
                silent=find_silent_workers(pool_state),
                unregistered=find_unregistered_workers(pool_state, takeover),
                missing=len(takeover.missing),
                missing_vms=sorted(takeover.missing)[:MAX_LOGGED_VMS],
            )

    def _find_missing_vms(self) -> frozenset[str]:
        """Return the VMs of former leaders that may run unknown workers."""
        known = self._fleet.find_vms()
        if self._controller is not None:
            known |= self._controller.find_settled_vms()
        return self._fleet.record.inherited - known

    def _rotate_pools(self) -> list[PoolState]:
        """Return the pools, another one first in each round."""
        pool_states = list(self._pool_states)
        self._first_pool = (self._first_pool + 1) % max(len(pool_states), 1)
        return [
            *pool_states[self._first_pool :],
            *pool_states[: self._first_pool],
        ]

    def _plan_starts(self, pool_state: PoolState) -> None:
        moment = read_moment()
        free = self._window.free - self._planned
        starts = StartPlanner(pool_state, moment).plan(free)
        self._planned += len(starts)
        if len(starts) >= free:
            self._window.note_exhausted(moment.now)
        self._fleet.send(pool_state, starts)
