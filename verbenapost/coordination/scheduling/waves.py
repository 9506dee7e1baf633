"""Planning of the VM maintenance that operators have requested."""

import dataclasses
import math
from collections.abc import Sequence
from typing import Final, final

from verbenapost.coordination.scheduling.capacity import VmView
from verbenapost.coordination.scheduling.waveprogress import (
    UNCONFIRMED_ORDER_SECONDS,
    Confirmation,
    WaveProgress,
)
from verbenapost.state.workloads import FleetVmState

#: Estimated seconds of one VM's maintenance, from its selection until the VM
#: is up again.
VM_CYCLE_SECONDS: Final = 5.0

#: Seconds after its maintenance for which a VM still counts as down; the VM
#: list is read once a second.
RETURN_MARGIN_SECONDS: Final = 0.5

#: Seconds between two orders for a VM that the list of VMs doesn't show; one
#: that exists is ordered again once it is listed.
UNLISTED_ORDER_SECONDS: Final = 1.0

#: Refused orders after which a VM that the list doesn't show counts as removed.
#: A VM that is moving or starting again is refused as well, for some seconds.
MAX_UNLISTED_REFUSALS: Final = 3

#: Share of a wave's duration within which the wave is planned to end.
PLANNED_TIME_SHARE: Final = 0.7


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MaintainVm:
    """Order to begin a VM's maintenance."""

    vm: str
    wave: int


class WavePlanner:
    """Decides which VMs of a wave are emptied and maintained next.

    :param maintenance: seconds for which a VM is down.
    """

    def __init__(self, maintenance: float) -> None:
        self._maintenance = maintenance

    def plan(
        self,
        progress: WaveProgress,
        views: Sequence[VmView],
        now: float,
    ) -> list[MaintainVm]:
        """Return the VMs to maintain now; marks the VMs to be emptied.

        :param progress: progress of the wave.
        :param views: all VMs, including those that are not up.
        :param now: local seconds.
        """
        self._drop_returned(progress, views, now)
        due = [
            view
            for view in views
            if view.vm.vm in progress.wave.vms
            and view.vm.vm not in progress.begun
            and _may_order(progress, view, now)
        ]
        due.sort(key=_rank)
        # Orders for VMs that may have been removed are refused at once.
        due.sort(key=lambda view: not view.unlisted)
        due.sort(key=lambda view: view.vm.vm not in progress.inherited)
        self._choose_emptying(progress, due, now)
        if now < progress.quiet_until:
            return []
        free = max(0, progress.wave.cap - _count_down(progress, views))
        empty = [view for view in due if view.empty]
        # A VM that counts as down for a former leader's order may be ordered
        # again, which also prevents a late effect of that order.
        chosen = [view for view in empty if view.vm.vm in progress.inherited]
        others = [view for view in empty if view not in chosen]
        chosen.extend(others[:free])
        for leaving in chosen:
            _mark_leaving(leaving)
            if leaving.unlisted:
                progress.unlisted_orders[leaving.vm.vm] = now
        return [MaintainVm(view.vm.vm, progress.wave.number) for view in chosen]

    def note_ordered(self, progress: WaveProgress, vm: str) -> None:
        """Record that an order is being sent; the VM counts as down."""
        progress.down[vm] = math.inf
        progress.inherited.discard(vm)
        progress.emptying.discard(vm)

    def note_begun(
        self, progress: WaveProgress, vm: str, now: float, term: int = 0
    ) -> None:
        """Record that a VM's maintenance has begun.

        :param progress: progress of the wave.
        :param vm: name of the VM.
        :param now: local seconds.
        :param term: fencing token of the leader whose order was confirmed.
        """
        progress.begun[vm] = Confirmation(term, now)
        progress.ordered.discard(vm)
        progress.down[vm] = now + self._maintenance + RETURN_MARGIN_SECONDS

    def note_failed(
        self,
        progress: WaveProgress,
        vm: str,
        now: float,
        *,
        outcome_unknown: bool,
    ) -> None:
        """Record that an order was refused or not answered.

        :param progress: progress of the wave.
        :param vm: name of the VM.
        :param now: local seconds.
        :param outcome_unknown: whether the order may still take effect.
        """
        progress.down.pop(vm, None)
        if outcome_unknown:
            progress.down[vm] = now + UNCONFIRMED_ORDER_SECONDS
        else:
            progress.ordered.discard(vm)

    def note_refused(
        self, progress: WaveProgress, vm: str, now: float, *, known: bool
    ) -> None:
        """Record that the platform has refused an order for a VM.

        :param progress: progress of the wave.
        :param vm: name of the VM.
        :param now: local seconds.
        :param known: whether the platform knows such a VM, which may be down,
            on its way or removed.
        """
        progress.down.pop(vm, None)
        progress.ordered.discard(vm)
        if vm not in progress.unlisted_orders:
            return
        progress.refusals[vm] += 1
        if not known or progress.refusals[vm] >= MAX_UNLISTED_REFUSALS:
            progress.removed[vm] = now

    def _drop_returned(
        self,
        progress: WaveProgress,
        views: Sequence[VmView],
        now: float,
    ) -> None:
        states = {view.vm.vm: view.vm.state for view in views}
        for vm, until in list(progress.down.items()):
            if now > until and states.get(vm) is not FleetVmState.MAINTENANCE:
                progress.down.pop(vm)

    def _choose_emptying(
        self,
        progress: WaveProgress,
        due: Sequence[VmView],
        now: float,
    ) -> None:
        """Empty as many VMs at a time as the planned duration requires."""
        busy = [view for view in due if not view.empty]
        wave = progress.wave
        end = progress.seen_at + wave.duration * PLANNED_TIME_SHARE
        cycles = max(1, (end - now) / VM_CYCLE_SECONDS)
        limit = min(wave.cap, math.ceil(len(busy) / cycles))
        progress.emptying &= {view.vm.vm for view in busy}
        for view in busy:
            if len(progress.emptying) >= limit:
                break
            progress.emptying.add(view.vm.vm)
        for view in busy:
            if view.vm.vm in progress.emptying:
                _mark_leaving(view)


def _may_order(progress: WaveProgress, view: VmView, now: float) -> bool:
    """Return whether a VM can be maintained, or may have been removed.

    Only the platform's answers to orders tell a VM that was removed from one
    that the list leaves out.
    """
    if not view.unlisted:
        return view.vm.state is FleetVmState.UP
    ordered_at = progress.unlisted_orders.get(view.vm.vm, -math.inf)
    return now - ordered_at >= UNLISTED_ORDER_SECONDS


def _mark_leaving(view: VmView) -> None:
    if view.worker is not None:
        view.worker.leaving = True


def _count_down(progress: WaveProgress, views: Sequence[VmView]) -> int:
    """Return how many VMs of a wave are down, whichever leader ordered it."""
    listed = {
        view.vm.vm
        for view in views
        if view.vm.vm in progress.wave.vms
        and view.vm.state is FleetVmState.MAINTENANCE
    }
    return len(listed | progress.down.keys())


def _rank(view: VmView) -> tuple[bool, int, str]:
    tasks = 0 if view.worker is None else len(view.worker.tasks)
    return view.has_long_running, tasks, view.vm.vm
