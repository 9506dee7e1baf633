"""Stored form of submitted jobs."""

import dataclasses
from typing import Any

import msgpack

from verbenapost.state.workloads import JobSpec, Resources, StepSpec


def pack_job(spec: JobSpec) -> bytes:
    """Return a job as bytes for the store.

    >>> spec = JobSpec('5c0e7a21d94b36f8', 'plan', 'x', (StepSpec(2),))
    >>> unpack_job(pack_job(spec)) == spec
    True
    """
    packed: bytes = msgpack.packb(dataclasses.asdict(spec))
    return packed


def unpack_job(packed: bytes) -> JobSpec:
    """Return the job from its bytes.

    :raises ValueError: when the bytes are not a job.
    """
    fields: Any = msgpack.unpackb(packed)
    try:
        steps = tuple(_read_step(row) for row in fields.pop('steps'))
        return JobSpec(steps=steps, **fields)
    except (AttributeError, KeyError, TypeError) as fault:
        raise ValueError(f'malformed job: {fault}') from fault


def _read_step(row: dict[str, Any]) -> StepSpec:
    size = Resources(**row.pop('size'))
    after = tuple(row.pop('after'))
    return StepSpec(size=size, after=after, **row)
