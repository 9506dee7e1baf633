"""Detection of ended worker incarnations from the platform's VM list.

Load patterns: the workers of a rack crash at once, and their tasks would wait
until the longest lease has lapsed. A leader is replaced while VMs change pools;
the entries of workers whose VMs have moved stay in the store for some seconds,
and tasks that the former leader may have started there would block every older
job of the pool.
"""

from typing import Final

from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.state.workloads import FleetVm, FleetVmState, WorkerEntry

#: Age in seconds from which on an incarnation is older than any list; the
#: wall clocks of two VMs may differ by some seconds.
MIN_AGE_SECONDS: Final = 6.0

#: Seconds for which an entry must have been known when the list is requested.
#: Such a list shows the VM as it is after the worker has registered.
MIN_KNOWN_SECONDS: Final = 0.5

_MILLI: Final = 1000
_ENDING_STATES: Final = frozenset(
    (FleetVmState.MOVING, FleetVmState.MAINTENANCE, FleetVmState.DOWN)
)


def has_incarnation_ended(
    entry: WorkerEntry,
    vm: FleetVm | None,
    known_since: float,
    requested: Moment,
) -> bool:
    """Return whether the VM list shows that an incarnation has ended.

    Explanation
    ===========

    A move or a maintenance ends all processes on a VM at once, and another
    worker incarnation starts afterwards. A VM is listed as down once its worker
    has crashed, and as up while its worker only can't be reached. A list that
    is older than the worker would still show the previous worker, so the entry
    has to be older than the list: by the time for which it has been known here,
    or by its age. A VM that isn't listed ends nothing: its worker may still
    run, since the pages of a list are not a snapshot.

    :param entry: registration of the worker.
    :param vm: the worker's VM as the platform lists it, if listed.
    :param known_since: local seconds at which the entry was first read.
    :param requested: time at which the list was requested.
    """
    if vm is None:
        return False
    age = requested.wall - entry.started_at_ms / _MILLI
    known = requested.now - known_since
    if age < MIN_AGE_SECONDS and known < MIN_KNOWN_SECONDS:
        return False
    return contradicts(entry, vm)


def contradicts(entry: WorkerEntry, vm: FleetVm) -> bool:
    """Return whether a VM as listed can't have a worker with this entry.

    :param entry: registration of the worker.
    :param vm: the worker's VM as the platform lists it.
    """
    if vm.state in _ENDING_STATES or vm.pool != entry.service:
        return True
    return vm.worker not in {'', entry.worker}


def has_crashed(entry: WorkerEntry, vm: FleetVm | None) -> bool:
    """Return whether an incarnation that has ended did so by a crash.

    A move, a maintenance or a removal ends an incarnation by order.

    :param entry: registration of the worker.
    :param vm: the worker's VM as the platform lists it, if listed.
    """
    if vm is None or vm.pool != entry.service:
        return False
    return vm.state in {FleetVmState.DOWN, FleetVmState.UP}
