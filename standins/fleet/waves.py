"""History of maintenance waves, and the rules that it must obey."""

import dataclasses
import json

from result import Err

from standins.fleet.rules import Violation
from verbenapost.platform.names import WAVE_PREFIX, WAVE_STATUS_PREFIX
from verbenapost.platform.records import decode_wave

RUNNING = 'running'
COMPLETED = 'completed'


@dataclasses.dataclass(frozen=True)
class VmAdded:
    """A VM joined the fleet."""

    vm: str


@dataclasses.dataclass(frozen=True)
class VmRemoved:
    """A VM was removed from the fleet for good."""

    vm: str


@dataclasses.dataclass(frozen=True)
class WaveRequested:
    """Operators wrote or removed the request of a wave."""

    wave: int
    vms: tuple


@dataclasses.dataclass(frozen=True)
class WaveShown:
    """The state of a wave was written."""

    at: float
    wave: int
    state: str


@dataclasses.dataclass(frozen=True)
class Maintained:
    """The maintenance of a VM began.

    :param at: virtual seconds.
    :param down: VMs that are in maintenance, this one included.
    :param down_for_wave: those of them that are for the same wave.
    """

    at: float
    vm: str
    wave: int
    down: int
    down_for_wave: int


def read_wave_change(change, at):
    """Return what the change of a key of the store tells of a wave.

    :param change: the change.
    :param at: seconds of the change.
    :returns: the event, or ``None`` if the key is no wave's or another writer
        left a value there that daemons ignore.
    """
    prefix, _, number = change.key.rpartition('/')
    prefix = f'{prefix}/'
    if prefix not in {WAVE_PREFIX, WAVE_STATUS_PREFIX} or not number.isdigit():
        return None
    if prefix == WAVE_STATUS_PREFIX:
        return _read_state(int(number), change.value, at)
    if change.value is None:
        return WaveRequested(int(number), ())
    wave = decode_wave(change.value)
    if isinstance(wave, Err):
        return None
    return WaveRequested(wave.ok_value.number, tuple(wave.ok_value.vms))


def _read_state(wave, packed, at):
    if packed is None:
        return None
    return WaveShown(at, wave, json.loads(packed)['state'])


def find_wave_violations(history):
    """Return all violations of the rule ``mixed`` in a history of waves.

    A wave that is shown as completed has no VM that exists and has not begun
    its maintenance, and is shown as running again only after its request was
    written again.

    :param history: events of VMs and waves, in order.
    """
    return [*_find_early_completions(history), *_find_reopened(history)]


def _find_early_completions(history):
    for index, event in enumerate(history):
        if isinstance(event, WaveShown) and event.state == COMPLETED:
            waiting = _find_waiting(history[:index], event.wave)
            if waiting:
                yield Violation('mixed', f'{event} without {waiting}')


def _find_waiting(history, wave):
    """Return the VMs of a wave that exist and have not begun."""
    requested = set()
    existing = set()
    begun = set()
    for event in history:
        match event:
            case WaveRequested(number, vms) if number == wave:
                requested = set(vms)
            case VmAdded(vm):
                existing.add(vm)
            case VmRemoved(vm):
                existing.discard(vm)
            case Maintained(vm=vm, wave=number) if number == wave:
                begun.add(vm)
    return sorted((requested & existing) - begun)


def _find_reopened(history):
    completed = set()
    for event in history:
        match event:
            case WaveRequested(wave):
                completed.discard(wave)
            case WaveShown(_, wave, state) if state == COMPLETED:
                completed.add(wave)
            case WaveShown(_, wave) if wave in completed:
                yield Violation('mixed', f'{event} after its completion')
