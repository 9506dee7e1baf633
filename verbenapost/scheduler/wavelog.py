"""Log lines on the VMs for which a wave waits, and on those it counts."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any, Final

from verbenapost.coordination.scheduling.capacity import VmView
from verbenapost.coordination.scheduling.waveprogress import (
    CountedVm,
    CountReason,
    WaveProgress,
)
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.state.workloads import FleetVmState

#: Seconds between two log lines on a wave.
LOG_SECONDS: Final = 2.0

#: VMs that one line describes.
MAX_DESCRIBED: Final = 5


class WaveLog:
    """Tells operators what holds up a wave, and why it counts as completed.

    :param log: logger.
    :param metrics: metrics of the daemon.
    """

    def __init__(self, log: Any, metrics: SchedulerMetrics) -> None:
        self._log = log
        self._metrics = metrics
        self._logged_at: dict[int, float] = {}
        self._counted: dict[int, dict[str, CountReason]] = {}

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

    def note_counted(
        self, progress: WaveProgress, counted: Iterable[CountedVm], now: float
    ) -> None:
        """Log and count each VM of a wave that is about to be completed.

        A completion that is stored in a further attempt is logged once.

        :param progress: progress of the wave.
        :param counted: its VMs, with why the wave doesn't wait for them.
        :param now: local seconds.
        """
        number = progress.wave.number
        rows = list(counted)
        reasons = {row.vm: row.reason for row in rows}
        if self._counted.get(number) == reasons:
            return
        self._counted[number] = reasons
        for row in rows:
            self._metrics.wave_vms.inc({'reason': row.reason.value})
            self._log.info(
                'wave VM counted', wave=number, **describe_counted(row, now)
            )


def describe_counted(row: CountedVm, now: float) -> dict[str, Any]:
    """Return the fields that tell why a wave doesn't wait for a VM.

    :param row: the VM.
    :param now: local seconds.
    """
    absence = row.absence
    fields: dict[str, Any] = {'vm': row.vm, 'reason': row.reason.value}
    if row.confirmation is not None:
        fields['term'] = row.confirmation.term
        fields['confirmed_age'] = round(now - row.confirmation.at, 3)
    if row.maintenance_seen_at is not None:
        fields['maintenance_seen_age'] = round(now - row.maintenance_seen_at, 3)
    if row.removed_at is not None:
        fields['removed_age'] = round(now - row.removed_at, 3)
    if absence.reads:
        fields['reads_without'] = absence.reads
        fields['seconds_without'] = round(absence.seconds, 3)
    last = absence.last
    fields['listed'] = 'never' if last is None else last.state.value
    return fields


def describe_vm(view: VmView) -> str:
    """Return a VM with what keeps its maintenance from beginning."""
    worker = view.worker
    name = view.vm.vm
    if view.unlisted:
        return f'{name} is not listed'
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
