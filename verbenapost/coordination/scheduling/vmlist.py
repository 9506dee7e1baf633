"""The platform's list of VMs, as read so far."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Final, final

from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    FleetVm,
)

#: Successive reads without a VM after which it counts as gone. The pages of
#: one read are not a snapshot, so a VM may be missing in a single read.
MIN_READS_WITHOUT_VM: Final = 2


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Absence:
    """How long the list has been without a VM.

    :param reads: successive reads without the VM, 0 while it is listed.
    :param seconds: seconds from the last read that showed the VM, or from the
        first read of all, to the last one.
    :param last: the VM as last listed, or ``None`` if no read has shown it.
    """

    reads: int
    seconds: float
    last: FleetVm | None


class VmList:
    """The last read list of VMs and the VMs that have left it.

    Examples
    ========

    >>> from verbenapost.state.workloads import FleetVmState, Resources
    >>> vm = FleetVm('vm-1', 'routing', FleetVmState.UP, (), Resources(), '')
    >>> vm_list = VmList()
    >>> vm_list.replace([vm], read_at=1)
    >>> vm_list.replace([], read_at=2)
    >>> vm_list.has_left('vm-1')
    False
    >>> vm_list.replace([], read_at=4)
    >>> vm_list.has_left('vm-1')
    True
    >>> absence = vm_list.measure_absence('vm-1')
    >>> absence.reads, absence.seconds
    (2, 3)
    """

    def __init__(self) -> None:
        self._vms: dict[str, FleetVm] = {}
        self._reads = 0
        self._first_read_at: float = 0
        self._read_at: float = 0
        self._last_reads: dict[str, int] = {}
        self._listed_at: dict[str, float] = {}
        self._last_rows: dict[str, FleetVm] = {}

    @property
    def vms(self) -> Mapping[str, FleetVm]:
        """VMs of the last read by name."""
        return self._vms

    def replace(self, vms: Iterable[FleetVm], read_at: float) -> None:
        """Store a read of the whole list.

        :param vms: all VMs that the list shows.
        :param read_at: local seconds of the read.
        """
        if not self._reads:
            self._first_read_at = read_at
        self._reads += 1
        self._read_at = read_at
        self._vms = {vm.vm: vm for vm in vms}
        for name in self._vms:
            self._last_reads[name] = self._reads
            self._listed_at[name] = read_at
        self._last_rows.update(self._vms)

    def update(self, vm: FleetVm) -> None:
        """Store a change of one VM that the next read will show."""
        self._vms[vm.vm] = vm
        self._last_rows[vm.vm] = vm

    def find_known(self) -> list[FleetVm] | None:
        """Return the VMs that any read has shown, as last listed.

        :returns: the VMs, or ``None`` after too few reads to know them all.
        """
        if self._reads < MIN_READS_WITHOUT_VM:
            return None
        return list(self._last_rows.values())

    def find_typical_capacity(self) -> Resources:
        """Return the median capacity of a VM, by processors."""
        capacities = sorted(
            (vm.capacity for vm in self._vms.values()),
            key=lambda capacity: capacity.cpu,
        )
        middle = len(capacities) // 2
        return capacities[middle] if capacities else Resources()

    def has_left(self, name: str) -> bool:
        """Return whether a VM is no longer part of the fleet."""
        return self._count_reads_without(name) >= MIN_READS_WITHOUT_VM

    def measure_absence(self, name: str) -> Absence:
        """Return how long the list has been without a VM."""
        since = self._listed_at.get(name, self._first_read_at)
        return Absence(
            self._count_reads_without(name),
            self._read_at - since,
            self._last_rows.get(name),
        )

    def _count_reads_without(self, name: str) -> int:
        return self._reads - self._last_reads.get(name, 0)
