"""Maintenance of VMs that the operators have asked for."""

import dataclasses
import math
from collections.abc import Sequence
from typing import Final, final

from verbenapost.coordination.scheduling.capacity import VmView
from verbenapost.state.workloads import MaintenanceWave, VmState

#: Seconds that one VM takes, from choosing it until it is back.
TURN_SECONDS: Final = 5.0

#: Seconds beyond its maintenance for which a VM counts as down; the list of
#: VMs is read once a second.
BACK_MARGIN: Final = 0.5

#: Seconds for which an order without an answer may still be carried out.
DOUBT_SECONDS: Final = 15.0

#: Share of a wave's time in which it is planned to be over.
TIME_SHARE: Final = 0.7


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MaintainVm:
    """Begin a VM's maintenance."""

    vm: str
    wave: int


@dataclasses.dataclass(slots=True)
class WaveProgress:
    """How far a wave has come.

    :param wave: the wave.
    :param seen_at: local seconds at which it was first seen.
    :param quiet_until: local seconds until which VMs may be down by the orders
        of a leader before this one.
    :param begun: VMs whose maintenance has begun.
    :param down: local seconds until which a VM is down for it, at least.
    :param emptying: VMs that are being emptied.
    """

    wave: MaintenanceWave
    seen_at: float
    quiet_until: float = 0
    begun: set[str] = dataclasses.field(default_factory=set)
    down: dict[str, float] = dataclasses.field(default_factory=dict)
    emptying: set[str] = dataclasses.field(default_factory=set)

    def is_complete(self, views: Sequence[VmView]) -> bool:
        """Return whether each VM that is still there has had its turn."""
        there = {view.vm.vm for view in views}
        return all(vm in self.begun or vm not in there for vm in self.wave.vms)


class WavePlanner:
    """Decides which VMs of a wave are emptied and maintained next.

    :param maintenance: seconds that a VM is down.
    """

    def __init__(self, maintenance: float) -> None:
        self._maintenance = maintenance

    def plan(
        self,
        progress: WaveProgress,
        views: Sequence[VmView],
        now: float,
    ) -> list[MaintainVm]:
        """Return the VMs to maintain now; marks those to be emptied.

        :param views: all VMs, also those that can't be used.
        :param now: local seconds.
        """
        self._drop_back(progress, views, now)
        due = [
            view
            for view in views
            if view.vm.vm in progress.wave.vms
            and view.vm.vm not in progress.begun
            and view.vm.state is VmState.UP
        ]
        due.sort(key=_rank)
        self._choose_emptying(progress, due, now)
        if now < progress.quiet_until:
            return []
        free = max(0, progress.wave.cap - _count_down(progress, views))
        chosen = [view for view in due if view.empty][:free]
        for empty in chosen:
            _mark_leaving(empty)
        return [MaintainVm(view.vm.vm, progress.wave.number) for view in chosen]

    def note_ordered(self, progress: WaveProgress, vm: str) -> None:
        """Note that an order is on its way; the VM counts as down."""
        progress.down[vm] = math.inf
        progress.emptying.discard(vm)

    def note_begun(self, progress: WaveProgress, vm: str, now: float) -> None:
        """Note that a VM's maintenance has begun."""
        progress.begun.add(vm)
        progress.down[vm] = now + self._maintenance + BACK_MARGIN

    def note_failed(
        self,
        progress: WaveProgress,
        vm: str,
        now: float,
        *,
        doubtful: bool,
    ) -> None:
        """Note that an order was refused or has no answer."""
        progress.down.pop(vm, None)
        if doubtful:
            progress.down[vm] = now + DOUBT_SECONDS

    def _drop_back(
        self,
        progress: WaveProgress,
        views: Sequence[VmView],
        now: float,
    ) -> None:
        states = {view.vm.vm: view.vm.state for view in views}
        for vm, until in list(progress.down.items()):
            if now > until and states.get(vm) is not VmState.MAINTENANCE:
                progress.down.pop(vm)

    def _choose_emptying(
        self,
        progress: WaveProgress,
        due: Sequence[VmView],
        now: float,
    ) -> None:
        """Empty so many VMs at a time that the wave ends in time."""
        busy = [view for view in due if not view.empty]
        wave = progress.wave
        end = progress.seen_at + wave.duration * TIME_SHARE
        turns = max(1, (end - now) / TURN_SECONDS)
        most = min(wave.cap, math.ceil(len(busy) / turns))
        progress.emptying &= {view.vm.vm for view in busy}
        for view in busy:
            if len(progress.emptying) >= most:
                break
            progress.emptying.add(view.vm.vm)
        for view in busy:
            if view.vm.vm in progress.emptying:
                _mark_leaving(view)


def _mark_leaving(view: VmView) -> None:
    if view.worker is not None:
        view.worker.leaving = True


def _count_down(progress: WaveProgress, views: Sequence[VmView]) -> int:
    """Return how many VMs are down for a wave, by whosever order."""
    listed = {
        view.vm.vm
        for view in views
        if view.vm.vm in progress.wave.vms
        and view.vm.state is VmState.MAINTENANCE
    }
    return len(listed | progress.down.keys())


def _rank(view: VmView) -> tuple[bool, int, str]:
    tasks = 0 if view.worker is None else len(view.worker.tasks)
    return view.lasting, tasks, view.vm.vm
