"""Lives that the platform's list of VMs shows to be over."""

import pytest

from verbenapost.coordination.scheduling.lives import (
    YOUNG_SECONDS,
    is_replaced,
)
from verbenapost.coordination.scheduling.tests.sample import ROOM, make_entry
from verbenapost.state.workloads import FleetVm, VmState

BORN = 1_000_000
NOW = BORN / 1000 + YOUNG_SECONDS + 1


def make_vm(**changes):
    fields = {
        'vm': 'vm-w0',
        'pool': 'routing',
        'state': VmState.UP,
        'labels': ('a', 'r1'),
        'room': ROOM,
        'worker': 'w0',
    }
    return FleetVm(**(fields | changes))


class TestLives:
    @pytest.mark.parametrize(
        ('changes', 'over'),
        [
            ({}, False),
            ({'worker': ''}, False),
            ({'state': VmState.DOWN}, False),
            ({'pool': 'standby', 'worker': ''}, True),
            ({'pool': 'booking', 'worker': 'w9'}, True),
            ({'worker': 'w9'}, True),
            ({'state': VmState.MOVING}, True),
            ({'state': VmState.MAINTENANCE}, True),
        ],
    )
    def test_a_vm_that_is_listed_otherwise_has_ended_it(self, changes, over):
        vm = make_vm(**changes)
        assert is_replaced(make_entry(born=BORN), vm, NOW) is over

    def test_a_vm_that_is_not_listed_was_removed(self):
        entry = make_entry(born=BORN)
        assert is_replaced(entry, None, NOW)
        assert not is_replaced(entry, None, BORN / 1000)

    def test_a_young_life_may_be_newer_than_the_list(self):
        vm = make_vm(worker='w9')
        early = BORN / 1000 + YOUNG_SECONDS - 0.1
        assert not is_replaced(make_entry(born=BORN), vm, early)
