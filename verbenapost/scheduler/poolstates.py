"""The scheduling states of all pools."""

from collections.abc import Iterator
from typing import Final

from verbenapost.coordination.scheduling.poolstate import PoolState

#: Multiple of the longest lease to wait for an unreachable worker after a
#: takeover. More than 1, since its clock may run slow and orders take time to
#: arrive.
PAUSE_FACTOR: Final = 1.05


def end_inherited_pause(
    pool_state: PoolState, passed: float, longest_lease: float
) -> bool:
    """End the pause of jobs that a previous leader may have started.

    The pause ends once every worker has reported its runs, or once every lease
    that the previous leader may have granted has expired.

    :param pool_state: state of the pool.
    :param passed: seconds since the takeover.
    :param longest_lease: longest lease of a run in seconds.
    :returns: whether this call ended the pause.
    """
    if not pool_state.recovering:
        return False
    all_reported = all(
        worker.reconciled for worker in pool_state.workers.values()
    )
    if all_reported or passed > longest_lease * PAUSE_FACTOR:
        pool_state.recovering = False
    return not pool_state.recovering


class PoolStateSet:
    """Creates the state of each pool on first use.

    :param token: fencing token of the leader that owns the pool states.
    """

    def __init__(self, token: int) -> None:
        self._token = token
        self._pool_states: dict[str, PoolState] = {}

    def __iter__(self) -> Iterator[PoolState]:
        """Yield the pool states."""
        return iter(self._pool_states.values())

    def find(self, service: str) -> PoolState:
        """Return the state of a service's pool."""
        pool_state = self._pool_states.get(service)
        if pool_state is None:
            pool_state = PoolState(service, self._token)
            # The first leader inherits no runs to wait for.
            pool_state.recovering = self._token > 1
            self._pool_states[service] = pool_state
        return pool_state

    def count_pending(self, route: str) -> int:
        """Return how many jobs of a route have not started."""
        return sum(
            pool_state.count_pending(route)
            for pool_state in self._pool_states.values()
        )
