"""Tests of detecting ended worker incarnations from the VM list."""

import pytest

from verbenapost.coordination.scheduling.incarnations import (
    MIN_AGE_SECONDS,
    has_incarnation_ended,
)
from verbenapost.coordination.scheduling.tests.sample import (
    CAPACITY,
    make_entry,
)
from verbenapost.state.workloads import FleetVm, FleetVmState

STARTED_AT_MS = 1_000_000
NOW = STARTED_AT_MS / 1000 + MIN_AGE_SECONDS + 1


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
            ({'state': FleetVmState.DOWN}, False),
            ({'pool': 'standby', 'worker': ''}, True),
            ({'pool': 'booking', 'worker': 'w9'}, True),
            ({'worker': 'w9'}, True),
            ({'state': FleetVmState.MOVING}, True),
            ({'state': FleetVmState.MAINTENANCE}, True),
        ],
    )
    def test_a_contradicting_vm_list_ends_an_incarnation(self, changes, ended):
        vm = make_vm(**changes)
        assert (
            has_incarnation_ended(
                make_entry(started_at_ms=STARTED_AT_MS), vm, NOW
            )
            is ended
        )

    def test_a_vm_that_is_not_listed_was_removed(self):
        entry = make_entry(started_at_ms=STARTED_AT_MS)
        assert has_incarnation_ended(entry, None, NOW)
        assert not has_incarnation_ended(entry, None, STARTED_AT_MS / 1000)

    def test_a_young_incarnation_is_never_ended(self):
        vm = make_vm(worker='w9')
        early = STARTED_AT_MS / 1000 + MIN_AGE_SECONDS - 0.1
        assert not has_incarnation_ended(
            make_entry(started_at_ms=STARTED_AT_MS), vm, early
        )
