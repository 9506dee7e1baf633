"""Detection of ended worker incarnations from the platform's VM list.

Load pattern: a leader is replaced while VMs change pools. The entries of
workers whose VMs have moved stay in the store for some seconds, and no process
answers for them. Without this check, tasks that the former leader may have
started on them would block every older job of the pool until the longest lease
has lapsed.
"""

from typing import Final

from verbenapost.state.workloads import FleetVm, FleetVmState, WorkerEntry

#: Age in seconds below which an incarnation never counts as ended: the
#: list lags by about one second, and the wall clocks of two VMs may differ by
#: some seconds.
MIN_AGE_SECONDS: Final = 6.0

_MILLI: Final = 1000
_ENDING_STATES: Final = frozenset(
    (FleetVmState.MOVING, FleetVmState.MAINTENANCE)
)


def has_incarnation_ended(
    entry: WorkerEntry,
    vm: FleetVm | None,
    wall: float,
) -> bool:
    """Return whether the VM list shows that an incarnation has ended.

    Explanation
    ===========

    A move or a maintenance ends all processes on a VM at once, and another
    worker incarnation starts afterwards. A VM that isn't listed has been
    removed. A list that is older than the worker would still show the
    previous worker, so a young incarnation is never reported as ended.

    :param entry: registration of the worker.
    :param vm: the worker's VM as the platform lists it, if listed.
    :param wall: Unix seconds at which the list was requested.
    """
    if wall - entry.started_at_ms / _MILLI < MIN_AGE_SECONDS:
        return False
    if vm is None:
        return True
    if vm.state in _ENDING_STATES or vm.pool != entry.service:
        return True
    return vm.worker not in {'', entry.worker}
