"""Moves that restore the demands of all pools."""

from collections.abc import Awaitable, Callable, Collection
from typing import TypeAlias, final

from result import Err, Ok, Result

from verbenapost.coordination.pools.assignment import (
    FIXED_FLEET_BUFFER_WEIGHT,
    Assignment,
    AssignmentModel,
)
from verbenapost.coordination.pools.demands import read_demands, read_racks
from verbenapost.coordination.pools.keeper import PoolKeeper
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.records import Fleet
from verbenapost.coordination.pools.sequence import collect
from verbenapost.coordination.pools.transfers import plan_transfers
from verbenapost.protocol.errors import Failure

_Solved: TypeAlias = Result[Assignment, Failure]
RunBlocking: TypeAlias = Callable[[Callable[[], _Solved]], Awaitable[_Solved]]


def plan_assignment(
    policy: FleetPolicy,
    fleet: Fleet,
    leaving: Collection[str] = (),
) -> Result[Assignment, Failure]:
    """Return an assignment of a fixed fleet.

    The call blocks until the solver has finished.

    :param policy: configuration in force.
    :param fleet: VM records.
    :param leaving: names of VMs that the platform is about to remove.
    """
    model = AssignmentModel(
        read_racks(fleet, leaving),
        read_demands(policy),
        policy.spare_pool,
    )
    return model.solve(FIXED_FLEET_BUFFER_WEIGHT)


@final
class Rebalancer:
    """Solves the assignment and starts the moves that demands require.

    Explanation
    ===========

    If a budget refuses a move, the next round plans the move again.

    :param keeper: keeper of the same process.
    :param run_blocking: runs a blocking function in a thread and awaits it.
    """

    def __init__(
        self,
        keeper: PoolKeeper,
        run_blocking: RunBlocking,
    ) -> None:
        self._keeper = keeper
        self._run_blocking = run_blocking
        self.last: Assignment | None = None

    async def rebalance(self, now: float) -> Result[int, Failure]:
        """Plan moves and start those that the budgets allow.

        :param now: Unix time in seconds.
        :returns: number of moves that were started.
        """
        snapshot = await self._keeper.reader.read()
        if isinstance(snapshot, Err):
            return snapshot
        policy = self._keeper.read_policy()
        fleet = snapshot.ok_value.fleet
        leaving = self._keeper.leaving
        planned = await self._run_blocking(
            lambda: plan_assignment(policy, fleet, leaving),
        )
        if isinstance(planned, Err):
            return planned
        self.last = planned.ok_value
        outages = plan_transfers(
            fleet,
            planned.ok_value,
            policy.spare_pool,
            leaving,
        )
        started = await collect(
            lambda outage: self._keeper.starter.start_outage(outage, now),
            outages,
        )
        return Ok(sum(answer.is_ok() for answer in started))
