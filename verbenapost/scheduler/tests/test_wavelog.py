"""Log lines on the VMs for which a wave waits."""

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
from verbenapost.coordination.scheduling.waves import WaveProgress
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

    def test_a_vm_without_a_worker(self):
        assert describe_vm(VmView(VM, None)) == 'vm-w0 has no worker'


class TestInterval:
    def test_a_wave_is_logged_at_intervals(self):
        log = Log()
        wave_log = WaveLog(log)
        wave = MaintenanceWave(1, ('vm-w0',), 20, 1)
        progress = WaveProgress(wave, seen_at=5)
        for now in (5, 6, 5 + LOG_SECONDS, 6 + LOG_SECONDS):
            wave_log.note_waiting(progress, [make_view()], now)
        ((message, fields),) = log.lines
        assert message == 'wave waits'
        assert fields['left'] == 1
