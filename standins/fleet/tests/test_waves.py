"""The rule on completed waves detects each history that violates it."""

import json

import pytest

from standins.fleet.waves import (
    COMPLETED,
    RUNNING,
    Maintained,
    VmAdded,
    VmRemoved,
    WaveRequested,
    WaveShown,
    find_wave_violations,
    read_wave_change,
)
from verbenapost.protocol.orders import KeyChange

REQUESTED = [VmAdded('a'), VmAdded('b'), WaveRequested(1, ('a', 'b'))]


def show(state, wave=1):
    return WaveShown(0, wave, state)


def maintain(vm, wave=1):
    return Maintained(0, vm, wave, 1, 1)


def find_rules(history):
    return [row.rule for row in find_wave_violations(history)]


COMPLETED_WAVE = [*REQUESTED, maintain('a'), maintain('b'), show(COMPLETED)]


class TestEarlyCompletion:
    """A wave was shown as completed without one of its VMs (issue 38)."""

    @pytest.mark.parametrize(
        'events',
        [
            [maintain('a'), show(COMPLETED)],
            [maintain('a'), show(COMPLETED), maintain('b'), show(COMPLETED)],
            [maintain('a'), maintain('b', wave=2), show(COMPLETED)],
            [maintain('a'), show(COMPLETED), VmRemoved('b')],
            [
                maintain('a'),
                VmRemoved('b'),
                VmAdded('b'),
                show(COMPLETED),
            ],
            [
                maintain('a'),
                maintain('b'),
                VmAdded('c'),
                WaveRequested(1, ('a', 'b', 'c')),
                show(COMPLETED),
            ],
        ],
    )
    def test_it_is_detected(self, events):
        assert find_rules([*REQUESTED, *events]) == ['mixed']

    @pytest.mark.parametrize(
        'events',
        [
            [show(RUNNING)],
            [maintain('a'), maintain('b'), show(COMPLETED), show(COMPLETED)],
            [maintain('a'), VmRemoved('b'), show(COMPLETED)],
            [
                WaveRequested(1, ('a', 'unknown')),
                maintain('a'),
                show(COMPLETED),
            ],
        ],
    )
    def test_a_valid_history_has_no_violations(self, events):
        assert find_rules([*REQUESTED, *events]) == []


class TestReopenedWave:
    """A completed wave was shown as running again."""

    def test_it_is_detected(self):
        history = [*COMPLETED_WAVE, show(RUNNING)]
        assert find_rules(history) == ['mixed']

    def test_the_request_of_another_wave_does_not_excuse_it(self):
        history = [*COMPLETED_WAVE, WaveRequested(2, ('a',)), show(RUNNING)]
        assert find_rules(history) == ['mixed']

    def test_a_changed_request_reopens_its_wave(self):
        history = [*COMPLETED_WAVE, WaveRequested(1, ('a',)), show(RUNNING)]
        assert find_rules(history) == []


class TestReadWaveChange:
    """A write to the store was not part of the history of waves."""

    def read(self, key, fields):
        value = None if fields is None else json.dumps(fields).encode()
        return read_wave_change(KeyChange(key, value, 7), 3.0)

    def test_a_request(self):
        fields = {'wave': 4, 'machines': ['a'], 'duration_s': 9, 'cap': 1}
        assert self.read('op/wave/4', fields) == WaveRequested(4, ('a',))
        assert self.read('op/wave/4', None) == WaveRequested(4, ())

    def test_a_state(self):
        event = self.read('status/wave/4', {'state': 'completed'})
        assert event == WaveShown(3.0, 4, COMPLETED)

    @pytest.mark.parametrize('key', ['op/config', 'servers/4', 'op/wave/x'])
    def test_other_keys_tell_nothing(self, key):
        assert self.read(key, {}) is None

    def test_an_invalid_request_is_ignored_as_daemons_ignore_it(self):
        assert self.read('op/wave/4', {'wave': 'four'}) is None
