"""Progress of a maintenance wave, and what shows it for each VM."""

import dataclasses
import enum
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import Final, final

from verbenapost.coordination.scheduling.vmlist import Absence, VmList
from verbenapost.state.workloads import FleetVmState, MaintenanceWave

#: Seconds for which an unanswered order may still take effect.
UNCONFIRMED_ORDER_SECONDS: Final = 15.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """The platform's confirmation that a VM's maintenance has begun.

    :param term: fencing token of the leader whose order was confirmed; 0 for a
        record of a version that did not store it.
    :param at: local seconds at which this daemon learned it.
    :param recorded: whether it was read from the record of an earlier leader.
    """

    term: int
    at: float
    recorded: bool = False


@enum.unique
class CountReason(enum.StrEnum):
    """Why the completion of a wave doesn't wait for a VM.

    An order of this leader was confirmed, an earlier leader has recorded the
    confirmation, or the VM was removed from the fleet: the list of VMs is
    without it, and the platform has refused orders for it.
    """

    CONFIRMED = 'confirmed'
    RECORDED = 'recorded'
    REMOVED = 'removed'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CountedVm:
    """A VM for which the completion of a wave doesn't wait.

    :param vm: name of the VM.
    :param reason: why it doesn't.
    :param confirmation: the confirmation of its maintenance, if known.
    :param maintenance_seen_at: local seconds at which a list first showed it in
        maintenance, if any has.
    :param removed_at: local seconds at which refused orders have shown that the
        VM was removed, if they have.
    :param absence: how long the list has been without the VM.
    """

    vm: str
    reason: CountReason
    confirmation: Confirmation | None
    maintenance_seen_at: float | None
    removed_at: float | None
    absence: Absence


@dataclasses.dataclass(slots=True)
class WaveProgress:
    """Progress of a maintenance wave.

    :param wave: the wave.
    :param seen_at: local seconds at which the wave was first seen.
    :param quiet_until: local seconds until which VMs may be down because of
        orders from a former leader that the VM list doesn't show yet.
    :param begun: confirmations that the maintenance of VMs has begun.
    :param maintenance_seen: local seconds at which a list of VMs first showed a
        VM of the wave in maintenance.
    :param removed: local seconds at which refused orders have shown that a VM
        was removed, until a list shows the VM.
    :param unlisted_orders: local seconds of the last order for each VM that the
        list has not shown since.
    :param refusals: refused orders for these VMs.
    :param down: local seconds until which each VM counts as down at least.
    :param emptying: VMs that are being emptied.
    :param ordered: VMs for which an order may be sent or may have been sent,
        also by a former leader, and that are not known to have begun.
    :param inherited: those of them that only a former leader has ordered.
    """

    wave: MaintenanceWave
    seen_at: float
    quiet_until: float = 0
    begun: dict[str, Confirmation] = dataclasses.field(default_factory=dict)
    maintenance_seen: dict[str, float] = dataclasses.field(default_factory=dict)
    removed: dict[str, float] = dataclasses.field(default_factory=dict)
    unlisted_orders: dict[str, float] = dataclasses.field(default_factory=dict)
    refusals: Counter[str] = dataclasses.field(default_factory=Counter)
    down: dict[str, float] = dataclasses.field(default_factory=dict)
    emptying: set[str] = dataclasses.field(default_factory=set)
    ordered: set[str] = dataclasses.field(default_factory=set)
    inherited: set[str] = dataclasses.field(default_factory=set)

    def note_recorded(self, terms: Mapping[str, int]) -> None:
        """Record the confirmations that earlier leaders have stored.

        :param terms: fencing token of the confirmed leader, by VM.
        """
        for vm, term in terms.items():
            self.begun[vm] = Confirmation(term, self.seen_at, recorded=True)

    def note_former_orders(self, vms: Collection[str]) -> None:
        """Record that a former leader may have ordered VMs until now.

        Such an order may still take effect, so the VMs count as down.

        :param vms: names of the VMs.
        """
        self.ordered.update(vms)
        self.inherited.update(vms)
        until = self.seen_at + UNCONFIRMED_ORDER_SECONDS
        self.down.update(dict.fromkeys(vms, until))

    def note_former_removals(self, vms: Collection[str]) -> None:
        """Record the VMs that were removed, as a former leader has stored.

        :param vms: names of the VMs.
        """
        self.removed.update(dict.fromkeys(vms, self.seen_at))

    def note_listed(self, vm_list: VmList, now: float) -> None:
        """Record which VMs the list shows, and which in maintenance.

        :param vm_list: all VMs.
        :param now: local seconds.
        """
        for vm in self.wave.vms:
            listed = vm_list.vms.get(vm)
            if listed is None:
                continue
            self.removed.pop(vm, None)
            self.unlisted_orders.pop(vm, None)
            self.refusals.pop(vm, None)
            if listed.state is FleetVmState.MAINTENANCE:
                self.maintenance_seen.setdefault(vm, now)

    def has_listed_left(self, vm_list: VmList) -> bool:
        """Return whether a VM that the list shows has yet to begin.

        :param vm_list: all VMs.
        """
        return any(
            vm in vm_list.vms and vm not in self.begun for vm in self.wave.vms
        )

    def find_unlisted(self, vm_list: VmList, seconds: float) -> list[str]:
        """Return the VMs that are neither listed nor known to be removed.

        :param vm_list: all VMs.
        :param seconds: seconds for which the list must be without the VM.
        """
        return [
            vm
            for vm in self.wave.vms
            if vm not in self.begun
            and vm not in self.removed
            and vm_list.has_left(vm)
            and vm_list.measure_absence(vm).seconds >= seconds
        ]

    def is_complete(self, vm_list: VmList) -> bool:
        """Return whether maintenance has begun on every VM of the fleet.

        :param vm_list: all VMs, including those with a pending order.
        """
        return all(
            self._find_reason(vm, vm_list) is not None for vm in self.wave.vms
        )

    def find_counted(self, vm_list: VmList) -> Iterable[CountedVm]:
        """Return the VMs for which the wave doesn't wait, with the reasons.

        :param vm_list: all VMs.
        """
        for vm in self.wave.vms:
            reason = self._find_reason(vm, vm_list)
            if reason is not None:
                yield CountedVm(
                    vm,
                    reason,
                    self.begun.get(vm),
                    self.maintenance_seen.get(vm),
                    self.removed.get(vm),
                    vm_list.measure_absence(vm),
                )

    def _find_reason(self, vm: str, vm_list: VmList) -> CountReason | None:
        confirmation = self.begun.get(vm)
        if confirmation is None:
            removed = vm in self.removed and vm_list.has_left(vm)
            return CountReason.REMOVED if removed else None
        if confirmation.recorded:
            return CountReason.RECORDED
        return CountReason.CONFIRMED
