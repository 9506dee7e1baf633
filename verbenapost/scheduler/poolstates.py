"""The scheduling states of all pools."""

from collections.abc import Iterator

from verbenapost.coordination.scheduling.inheritedusage import InheritedUsage
from verbenapost.coordination.scheduling.interference import Interference
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.quotas import FindTerms, QuotaGate


class PoolStateSet:
    """Creates the state of each pool on first use.

    :param token: fencing token of the leader that owns the pool states.
    :param find_terms: finds a tenant's terms in the version in force.
    :param interference: the leader's findings of interference, if it detects
        any.
    :ivar gate: caps of the tenants over all pools.
    """

    def __init__(
        self,
        token: int,
        find_terms: FindTerms | None = None,
        interference: Interference | None = None,
    ) -> None:
        self._token = token
        self._interference = interference
        self._pool_states: dict[str, PoolState] = {}
        inherited = InheritedUsage(self._pool_states.values)
        self.gate = QuotaGate(find_terms, inherited.count)

    def __iter__(self) -> Iterator[PoolState]:
        """Yield the pool states that there are now.

        A pool may be added while the caller awaits between two of them.
        """
        return iter(tuple(self._pool_states.values()))

    def find(self, service: str) -> PoolState:
        """Return the state of a service's pool."""
        pool_state = self._pool_states.get(service)
        if pool_state is None:
            pool_state = PoolState(
                service, self._token, self.gate, self._interference
            )
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
