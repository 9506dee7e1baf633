"""Store keys of the scheduler."""

import dataclasses
from typing import Final, final

TERM_KEY: Final = 'vp/term'
LEADER_KEY: Final = 'vp/leader'
LAST_LEADER_KEY: Final = 'vp/last'
FLEET_KEY: Final = 'vp/fleet'
WAVE_PREFIX: Final = 'vp/wave/'
WAVE_ORDERS_PREFIX: Final = 'vp/orders/'
WAVE_REMOVED_PREFIX: Final = 'vp/removed/'
SUBMITTED_PREFIX: Final = 'vp/in/'
PROGRESS_PREFIX: Final = 'vp/at/'

_SPEC: Final = 's'
_CANCEL: Final = 'c'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SubmittedKey:
    """A parsed key under the submission prefix.

    :param job: identity of the job.
    :param cancel: whether the key marks the job as cancelled.
    """

    job: str
    cancel: bool


def make_spec_key(job: str) -> str:
    """Return the key of a job's submission."""
    return f'{SUBMITTED_PREFIX}{job}/{_SPEC}'


def make_cancel_key(job: str) -> str:
    """Return the key that marks a job as cancelled."""
    return f'{SUBMITTED_PREFIX}{job}/{_CANCEL}'


def make_progress_key(job: str) -> str:
    """Return the key of a job's progress."""
    return f'{PROGRESS_PREFIX}{job}'


def make_wave_key(wave: int) -> str:
    """Return the key of the VMs of a wave whose maintenance has begun."""
    return f'{WAVE_PREFIX}{wave}'


def make_wave_orders_key(wave: int) -> str:
    """Return the key of the VMs of a wave for which an order may be sent."""
    return f'{WAVE_ORDERS_PREFIX}{wave}'


def make_wave_removed_key(wave: int) -> str:
    """Return the key of the VMs of a wave that were removed from the fleet."""
    return f'{WAVE_REMOVED_PREFIX}{wave}'


def parse_submitted(key: str) -> SubmittedKey:
    """Parse a key under the submission prefix.

    >>> parse_submitted('vp/in/5c0e7a21d94b36f8/c')
    SubmittedKey(job='5c0e7a21d94b36f8', cancel=True)
    """
    job, _, kind = key.removeprefix(SUBMITTED_PREFIX).partition('/')
    return SubmittedKey(job, cancel=kind == _CANCEL)
