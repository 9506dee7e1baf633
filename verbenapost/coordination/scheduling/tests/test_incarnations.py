"""Tests of detecting ended worker incarnations from the VM list."""

import pytest

from verbenapost.coordination.scheduling.incarnations import (
    MIN_AGE_SECONDS,
    MIN_KNOWN_SECONDS,
    has_crashed,
    has_incarnation_ended,
)
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.tests.sample import (
    CAPACITY,
    make_entry,
)
from verbenapost.state.workloads import FleetVm, FleetVmState

STARTED_AT_MS = 1_000_000
OLD = STARTED_AT_MS / 1000 + MIN_AGE_SECONDS + 1
YOUNG = STARTED_AT_MS / 1000 + MIN_AGE_SECONDS - 0.1


def is_ended(vm, wall, known_seconds=0.0):
    """Check an incarnation whose entry was known before the list."""
    entry = make_entry(started_at_ms=STARTED_AT_MS)
    requested = Moment(100 + known_seconds, wall)
    return has_incarnation_ended(entry, vm, 100, requested)


def make_vm(**changes):
    fields = {
        'vm': 'vm-w0',
        'pool': 'routing',
        'state': FleetVmState.UP,
        'labels': ('a', 'r1'),
        'capacity': CAPACITY,
        'worker': 'w0',
    }
    return FleetVm(**(fields | changes))


class TestIncarnations:
    @pytest.mark.parametrize(
        ('changes', 'ended'),
        [
            ({}, False),
            ({'worker': ''}, False),
            ({'state': FleetVmState.DOWN}, True),
            ({'pool': 'standby', 'worker': ''}, True),
            ({'pool': 'booking', 'worker': 'w9'}, True),
            ({'worker': 'w9'}, True),
            ({'state': FleetVmState.MOVING}, True),
            ({'state': FleetVmState.MAINTENANCE}, True),
        ],
    )
    def test_a_contradicting_vm_list_ends_an_incarnation(self, changes, ended):
        vm = make_vm(**changes)
        assert is_ended(vm, OLD) is ended
        assert is_ended(vm, YOUNG, MIN_KNOWN_SECONDS) is ended

    @pytest.mark.parametrize('wall', [OLD, YOUNG])
    @pytest.mark.parametrize('known_seconds', [0, MIN_KNOWN_SECONDS, 5, 60])
    def test_a_vm_that_is_not_listed_ends_nothing(self, wall, known_seconds):
        assert not is_ended(None, wall, known_seconds)

    def test_a_list_that_may_be_older_than_the_worker_ends_nothing(self):
        vm = make_vm(worker='w9')
        assert not is_ended(vm, YOUNG)
        assert not is_ended(vm, YOUNG, MIN_KNOWN_SECONDS - 0.1)


class TestCrashes:
    @pytest.mark.parametrize(
        ('changes', 'crashed'),
        [
            ({'state': FleetVmState.DOWN}, True),
            ({'worker': 'w9'}, True),
            ({'pool': 'standby', 'worker': ''}, False),
            ({'pool': 'booking', 'worker': 'w9'}, False),
            ({'state': FleetVmState.MOVING}, False),
            ({'state': FleetVmState.MAINTENANCE}, False),
        ],
    )
    def test_an_end_by_order_is_no_crash(self, changes, crashed):
        assert has_crashed(make_entry(), make_vm(**changes)) is crashed

    def test_a_removed_vm_has_not_crashed(self):
        assert not has_crashed(make_entry(), None)
