"""Log lines on the VMs for which a wave waits, and on those it counts."""

import dataclasses

import pytest

from verbenapost.coordination.scheduling.capacity import VmView
from verbenapost.coordination.scheduling.tests.sample import (
    CAPACITY,
    SMALL,
    add_job,
    make_pool_state,
    start_all,
)
from verbenapost.coordination.scheduling.vmlist import VmList
from verbenapost.coordination.scheduling.waveprogress import WaveProgress
from verbenapost.coordination.scheduling.waves import WavePlanner
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.scheduler.wavelog import LOG_SECONDS, WaveLog, describe_vm
from verbenapost.state.workloads import (
    FleetVm,
    FleetVmState,
    MaintenanceWave,
    StepSpec,
)

VM = FleetVm('vm-w0', 'routing', FleetVmState.UP, (), CAPACITY, 'w0')


class Log:
    def __init__(self):
        self.lines = []

    def info(self, message, **fields):
        self.lines.append((message, fields))


def make_view(*steps):
    pool_state = make_pool_state()
    if steps:
        add_job(pool_state, *steps)
        start_all(pool_state)
    return VmView(VM, pool_state.workers['w0'])


class TestDescription:
    def test_the_tasks_are_counted_by_kind_and_state(self):
        steps = StepSpec(1, SMALL, long_running=True), StepSpec(2, SMALL)
        assert describe_vm(make_view(*steps)) == (
            'vm-w0 has 1 long-running running, 2 short running'
        )

    @pytest.mark.parametrize(
        ('reachable', 'state', 'text'),
        [
            (True, FleetVmState.UP, 'vm-w0 has no tasks'),
            (False, FleetVmState.UP, 'vm-w0 does not answer'),
            (True, FleetVmState.DOWN, 'vm-w0 is down'),
        ],
    )
    def test_a_vm_without_tasks(self, reachable, state, text):
        view = make_view()
        view.worker.reachable = reachable
        vm = dataclasses.replace(VM, state=state)
        assert describe_vm(VmView(vm, view.worker)) == text

    def test_a_vm_that_the_list_leaves_out(self):
        view = VmView(VM, None, unlisted=True)
        assert describe_vm(view) == 'vm-w0 is not listed'

    def test_a_vm_without_a_worker(self):
        assert describe_vm(VmView(VM, None)) == 'vm-w0 has no worker'


class TestInterval:
    def test_a_wave_is_logged_at_intervals(self):
        log = Log()
        wave_log = WaveLog(log, SchedulerMetrics())
        wave = MaintenanceWave(1, ('vm-w0',), 20, 1)
        progress = WaveProgress(wave, seen_at=5)
        for now in (5, 6, 5 + LOG_SECONDS, 6 + LOG_SECONDS):
            wave_log.note_waiting(progress, [make_view()], now)
        ((message, fields),) = log.lines
        assert message == 'wave waits'
        assert fields['left'] == 1


class TestCountedVms:
    """A wave was completed without a VM, and no log told why (issue 38)."""

    def make_progress(self):
        wave = MaintenanceWave(1, ('vm-a', 'vm-b', 'vm-w0'), 20, 3)
        progress = WaveProgress(wave, seen_at=5)
        progress.note_recorded({'vm-a': 2})
        WavePlanner(maintenance=2).note_begun(progress, 'vm-b', 7, term=3)
        vm_list = VmList()
        vm_list.replace([VM], read_at=6)
        vm_list.replace([], read_at=8)
        vm_list.replace([], read_at=9)
        progress.note_former_removals(['vm-w0'])
        return progress, vm_list

    def test_each_vm_has_a_line_with_the_reason_and_ages(self):
        log = Log()
        metrics = SchedulerMetrics()
        progress, vm_list = self.make_progress()
        wave_log = WaveLog(log, metrics)
        for now in (10, 11):
            counted = progress.find_counted(vm_list)
            wave_log.note_counted(progress, counted, now)
        lines = {fields['vm']: fields for _, fields in log.lines}
        assert len(log.lines) == len(lines) == 3
        assert lines['vm-a'] == {
            'wave': 1,
            'vm': 'vm-a',
            'reason': 'recorded',
            'term': 2,
            'confirmed_age': 5,
            'reads_without': 3,
            'seconds_without': 3,
            'listed': 'never',
        }
        assert lines['vm-b']['reason'] == 'confirmed'
        assert lines['vm-b']['confirmed_age'] == 3
        assert lines['vm-w0'] == {
            'wave': 1,
            'vm': 'vm-w0',
            'reason': 'removed',
            'removed_age': 5,
            'reads_without': 2,
            'seconds_without': 3,
            'listed': 'up',
        }
        text = metrics.render().decode()
        assert 'verbenapost_wave_vms_total{reason="removed"} 1' in text

    def test_a_list_that_shows_the_maintenance_is_told(self):
        log = Log()
        progress, vm_list = self.make_progress()
        state = FleetVmState.MAINTENANCE
        vm_list.replace([dataclasses.replace(VM, state=state)], read_at=9)
        progress.note_listed(vm_list, 9)
        WavePlanner(maintenance=2).note_begun(progress, 'vm-w0', 9, term=3)
        wave_log = WaveLog(log, SchedulerMetrics())
        wave_log.note_counted(progress, progress.find_counted(vm_list), 10)
        assert log.lines[-1][1]['maintenance_seen_age'] == 1
