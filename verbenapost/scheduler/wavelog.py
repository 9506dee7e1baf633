"""Log lines on the VMs for which a maintenance wave still waits."""

from collections import Counter
from collections.abc import Sequence
from typing import Any, Final

from verbenapost.coordination.scheduling.capacity import VmView
from verbenapost.coordination.scheduling.waves import WaveProgress
from verbenapost.state.workloads import FleetVmState

#: Seconds between two log lines on a wave.
LOG_SECONDS: Final = 2.0

#: VMs that one line describes.
MAX_DESCRIBED: Final = 5


class WaveLog:
    """Tells operators what holds up a wave.

    :param log: logger.
    """

    def __init__(self, log: Any) -> None:
        self._log = log
        self._logged_at: dict[int, float] = {}

    def note_waiting(
        self, progress: WaveProgress, views: Sequence[VmView], now: float
    ) -> None:
        """Log which VMs have not begun, every :data:`LOG_SECONDS`.

        :param progress: progress of the wave.
        :param views: all VMs without a pending order.
        :param now: local seconds.
        """
        wave = progress.wave
        if now - self._logged_at.get(wave.number, progress.seen_at) < (
            LOG_SECONDS
        ):
            return
        self._logged_at[wave.number] = now
        left = [
            view
            for view in views
            if view.vm.vm in wave.vms and view.vm.vm not in progress.begun
        ]
        self._log.info(
            'wave waits',
            wave=wave.number,
            begun=len(progress.begun),
            left=len(left),
            vms=[describe_vm(view) for view in left[:MAX_DESCRIBED]],
        )


def describe_vm(view: VmView) -> str:
    """Return a VM with what keeps its maintenance from beginning."""
    worker = view.worker
    name = view.vm.vm
    if view.vm.state is not FleetVmState.UP:
        return f'{name} is {view.vm.state.value}'
    if worker is None:
        return f'{name} has no worker'
    if not worker.reachable:
        return f'{name} does not answer'
    states = Counter(
        f'{"long-running" if task.step.long_running else "short"} {task.state}'
        for task in worker.tasks.values()
    )
    tasks = ', '.join(f'{count} {kind}' for kind, count in states.items())
    return f'{name} has {tasks or "no tasks"}'
