"""Whether a worker's life is over by what the platform lists of its VM.

Load pattern: a leader is replaced while VMs change pools. Entries of workers
whose VMs have moved stay in the store for some seconds, nobody answers for
them, and what the former leader may have started there would hold up every
older job of the pool until the longest lease has lapsed.
"""

from typing import Final

from verbenapost.state.workloads import FleetVm, VmState, WorkerEntry

#: Seconds for which a life is too young to be judged: the list lags by about
#: one, and the times of day of two VMs may differ by some.
YOUNG_SECONDS: Final = 6.0

_MILLI: Final = 1000
_ENDED_BY: Final = frozenset((VmState.MOVING, VmState.MAINTENANCE))


def is_replaced(
    entry: WorkerEntry,
    vm: FleetVm | None,
    wall: float,
) -> bool:
    """Return whether a worker can't run any more.

    Explanation
    ===========

    A move and a maintenance end all that runs on a VM at once, and what comes
    after is another worker. A VM that isn't listed has been removed. A list
    that is older than the worker would show the worker before it, so young
    ones are never judged.

    :param entry: what the worker has registered.
    :param vm: its VM as the platform lists it, if it does.
    :param wall: Unix seconds at which the list was asked for.
    """
    if wall - entry.born / _MILLI < YOUNG_SECONDS:
        return False
    if vm is None:
        return True
    if vm.state in _ENDED_BY or vm.pool != entry.service:
        return True
    return vm.worker not in {'', entry.worker}
