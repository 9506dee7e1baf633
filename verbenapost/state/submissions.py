"""Stored form of submitted jobs."""

import dataclasses
import math
from typing import Any, Final, TypeVar

import msgpack

from verbenapost.state.resources import Resources
from verbenapost.state.tenants import TenantTerms
from verbenapost.state.workloads import (
    AdviceTerms,
    JobSpec,
    Route,
    StepSpec,
)

_Record = TypeVar(
    '_Record', JobSpec, StepSpec, Resources, Route, AdviceTerms, TenantTerms
)

#: Types of the values of a field, by the field's own type.
_ACCEPTED: Final[dict[Any, tuple[type, ...]]] = {
    str: (str,),
    int: (int,),
    float: (int, float),
    bool: (bool,),
}


def pack_job(spec: JobSpec) -> bytes:
    """Return a job as bytes for the store.

    >>> route = Route('plan', 'host', '/plan/', 'routing', max_attempts=3)
    >>> steps = (StepSpec(2),)
    >>> spec = JobSpec('5c0e7a21d94b36f8', 'plan', 'x', steps, terms=route)
    >>> unpack_job(pack_job(spec)) == spec
    True
    """
    fields = dataclasses.asdict(spec)
    # Daemons of an older version refuse a record with a field that they don't
    # know, so that fields without effect are left out.
    if spec.tenant is None:
        fields.pop('tenant')
    if spec.terms is not None and not spec.terms.auth_exempt:
        fields['terms'].pop('auth_exempt')
    packed: bytes = msgpack.packb(fields)
    return packed


def unpack_job(packed: bytes) -> JobSpec:
    """Return the job from its bytes.

    :raises ValueError: when the bytes are not a job.
    """
    fields: Any = msgpack.unpackb(packed)
    try:
        steps = tuple(
            _read_step(row, number)
            for number, row in enumerate(fields.pop('steps'))
        )
        terms = _read_terms(fields.pop('terms', None))
        tenant = _read_tenant(fields.pop('tenant', None))
        return _check_fields(
            JobSpec(steps=steps, terms=terms, tenant=tenant, **fields)
        )
    except (AttributeError, KeyError, TypeError) as fault:
        raise ValueError(f'malformed job: {fault}') from fault


def read_owner(packed: bytes) -> str:
    """Return the name of a stored job's tenant, empty for a job of no tenant.

    Fields that a newer version has added don't matter here.

    :raises ValueError: when the bytes are not a job.
    """
    fields: Any = msgpack.unpackb(packed)
    try:
        tenant = _read_tenant(fields.get('tenant'))
    except (AttributeError, KeyError, TypeError) as fault:
        raise ValueError(f'malformed job: {fault}') from fault
    return '' if tenant is None else tenant.name


def _read_step(row: dict[str, Any], number: int) -> StepSpec:
    size = _check_fields(Resources(**row.pop('size')))
    after = tuple(row.pop('after'))
    if not set(after) <= set(range(number)):
        raise ValueError(f'step {number} is after one that is not earlier')
    return _check_fields(StepSpec(size=size, after=after, **row))


def _read_terms(row: dict[str, Any] | None) -> Route | None:
    if row is None:
        return None
    advice = row.pop('advice', None)
    if advice is not None:
        advice = _check_fields(AdviceTerms(**advice))
    return _check_fields(Route(advice=advice, **row))


def _read_tenant(row: dict[str, Any] | None) -> TenantTerms | None:
    if row is None:
        return None
    cap = _check_fields(Resources(**row.pop('cap')))
    return _check_fields(TenantTerms(cap=cap, **row))


def _check_fields(record: _Record) -> _Record:
    """Return a record whose texts, numbers and flags are valid.

    :raises ValueError: when a field has another type, or a number is negative
        or not finite.
    """
    for field in dataclasses.fields(record):
        accepted = _ACCEPTED.get(field.type)
        if accepted and not _is_valid(getattr(record, field.name), accepted):
            raise ValueError(f'malformed job: {field.name} is not valid')
    return record


def _is_valid(found: Any, accepted: tuple[type, ...]) -> bool:
    if isinstance(found, bool):
        # A bool is an int in Python, but it is no number.
        return bool in accepted
    known = isinstance(found, accepted)
    return known and (isinstance(found, str) or 0 <= found < math.inf)
