"""The platform's list of VMs, as read so far."""

from collections.abc import Iterable, Mapping
from typing import Final

from verbenapost.state.workloads import FleetVm, Resources

#: Successive reads without a VM after which it counts as gone. The pages of
#: one read are not a snapshot, so a VM may be missing in a single read.
MIN_READS_WITHOUT_VM: Final = 2


class VmList:
    """The last read list of VMs and the VMs that have left it.

    Examples
    ========

    >>> from verbenapost.state.workloads import FleetVmState, Resources
    >>> vm = FleetVm('vm-1', 'routing', FleetVmState.UP, (), Resources(), '')
    >>> vm_list = VmList()
    >>> vm_list.replace([vm])
    >>> vm_list.replace([])
    >>> vm_list.has_left('vm-1')
    False
    >>> vm_list.replace([])
    >>> vm_list.has_left('vm-1')
    True
    """

    def __init__(self) -> None:
        self._vms: dict[str, FleetVm] = {}
        self._reads = 0
        self._last_reads: dict[str, int] = {}
        self._last_rows: dict[str, FleetVm] = {}

    @property
    def vms(self) -> Mapping[str, FleetVm]:
        """VMs of the last read by name."""
        return self._vms

    def replace(self, vms: Iterable[FleetVm]) -> None:
        """Store a read of the whole list."""
        self._reads += 1
        self._vms = {vm.vm: vm for vm in vms}
        for name in self._vms:
            self._last_reads[name] = self._reads
        self._last_rows.update(self._vms)

    def update(self, vm: FleetVm) -> None:
        """Store a change of one VM that the next read will show."""
        self._vms[vm.vm] = vm
        self._last_rows[vm.vm] = vm

    def find_present(self) -> list[FleetVm] | None:
        """Return the VMs that have not left the fleet, as last listed.

        :returns: the VMs, or ``None`` after too few reads to know them all.
        """
        if self._reads < MIN_READS_WITHOUT_VM:
            return None
        return [
            vm
            for name, vm in self._last_rows.items()
            if not self.has_left(name)
        ]

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
        absences = self._reads - self._last_reads.get(name, 0)
        return absences >= MIN_READS_WITHOUT_VM
