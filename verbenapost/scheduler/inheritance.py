"""The pause of jobs that a former leader may have started.

Load pattern: a leader is replaced while tasks run. Entries of live workers may
be missing, since the store was away and their leases have expired, or since the
workers can't reach the store. A task that such a worker still runs must not
start elsewhere.
"""

import dataclasses
from collections.abc import Collection
from typing import Final, final

from verbenapost.coordination.scheduling.leases import compute_lapse_seconds
from verbenapost.coordination.scheduling.poolstate import PoolState

#: Seconds after a takeover until workers without an entry count as gone where
#: there is no list of VMs. Live workers whose entries expired have registered
#: again by then.
REGISTRATION_SECONDS: Final = 2.5


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """What is known about a takeover when a pause may end.

    :param passed: seconds since the takeover.
    :param longest_lease: longest lease of a run in seconds.
    :param listed: workers of the pool that the platform's list of VMs shows,
        or ``None`` while the list has not been read.
    :param missing: VMs that former leaders have used and of which neither the
        list of VMs nor an entry shows what they run.
    :param lists_vms: whether the platform has a list of VMs.
    """

    passed: float
    longest_lease: float
    listed: Collection[str] | None
    missing: Collection[str] = ()
    lists_vms: bool = True


def find_silent_workers(pool_state: PoolState) -> list[str]:
    """Return the known workers that have not reported their runs yet."""
    return sorted(
        name
        for name, worker in pool_state.workers.items()
        if not worker.reconciled
    )


def find_unregistered_workers(
    pool_state: PoolState, takeover: Takeover
) -> list[str]:
    """Return the workers that the list of VMs shows and that have no entry."""
    return sorted(set(takeover.listed or ()) - pool_state.workers.keys())


def end_inherited_pause(pool_state: PoolState, takeover: Takeover) -> bool:
    """End the pause of jobs that a former leader may have started.

    The pause ends once every worker has reported its runs, or once every lease
    that the former leader may have granted has expired. A worker that the list
    of VMs shows as up may run tasks whether it has an entry or not, and so may
    one of a VM of which nothing is shown.

    :param pool_state: state of the pool.
    :param takeover: what is known about the takeover.
    :returns: whether this call ended the pause.
    """
    if not pool_state.recovering:
        return False
    lapsed = takeover.passed > compute_lapse_seconds(takeover.longest_lease)
    if lapsed or _have_all_reported(pool_state, takeover):
        pool_state.recovering = False
    return not pool_state.recovering


def _have_all_reported(pool_state: PoolState, takeover: Takeover) -> bool:
    if takeover.missing or find_silent_workers(pool_state):
        return False
    if not takeover.lists_vms:
        return takeover.passed > REGISTRATION_SECONDS
    return takeover.listed is not None and not find_unregistered_workers(
        pool_state, takeover
    )
