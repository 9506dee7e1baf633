"""Decoding of the records of operators, workers and the cloud."""

import json
import re
from collections.abc import Callable
from typing import Any, Final, TypeVar

from result import Err, Ok, Result

from verbenapost.platform.addresses import parse_address
from verbenapost.platform.fields import (
    FieldError,
    Fields,
    check_text,
    read_count,
    read_flag,
    read_number,
    read_object,
    read_rows,
    read_text,
    read_texts,
    shorten,
)
from verbenapost.platform.tenants import read_tenants
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    AdviceTerms,
    FleetConfiguration,
    FleetVm,
    FleetVmState,
    MaintenanceWave,
    Route,
    ServicePool,
    WorkerEntry,
)

#: Largest capacity of a VM in thousandths of a core, in MB or in GPUs: a
#: million cores. A larger one names no VM, and would make each wait look short.
MAX_CAPACITY: Final = 10**9

_MS = 1000
_WORKER_STATES: Final = frozenset(('ready', 'draining'))
_VM_STATES: Final = {
    'up': FleetVmState.UP,
    'moving': FleetVmState.MOVING,
    'upkeep': FleetVmState.MAINTENANCE,
    'down': FleetVmState.DOWN,
}
_WORKER_NAME = re.compile('[!-~]+')
_Decoded = TypeVar('_Decoded')


def decode_configuration(value: bytes) -> Result[FleetConfiguration, str]:
    """Return the operator configuration, or the reason why it is invalid."""
    return _decode(value, _read_configuration)


def decode_wave(value: bytes) -> Result[MaintenanceWave, str]:
    """Return a maintenance wave, or the reason why it is invalid."""
    return _decode(value, _read_wave)


def decode_worker(worker: str, value: bytes) -> Result[WorkerEntry, str]:
    """Return a worker's entry, or the reason why it is invalid.

    :param worker: identity of the worker, which only the key contains.
    :param value: value of the key.
    """
    return _decode(value, lambda fields: _read_worker(worker, fields))


def encode_wave_status(*, completed: bool) -> bytes:
    """Return the value of a wave's status key."""
    state = 'completed' if completed else 'running'
    return json.dumps({'state': state}).encode()


def is_wave_completed(value: bytes) -> bool:
    """Return whether the value of a wave's status key shows its completion.

    >>> is_wave_completed(encode_wave_status(completed=True))
    True
    >>> is_wave_completed(b'[')
    False

    :param value: the value, possibly of another writer.
    """
    decoded = _decode(value, lambda fields: fields.get('state'))
    return decoded.ok() == 'completed'


def read_vm(row: Any) -> FleetVm:
    """Return a VM of the cloud's VM list.

    :param row: entry of the list.
    :raises FieldError: when a field is missing or has the wrong type.
    """
    fields = read_object(row, 'machines')
    state = read_text(fields, 'state')
    return FleetVm(
        vm=read_text(fields, 'machine'),
        pool=read_text(fields, 'pool'),
        state=_VM_STATES.get(state, FleetVmState.UNKNOWN),
        labels=_read_labels(fields),
        capacity=_read_capacity(fields),
        # The platform gives no worker as null.
        worker=check_text(fields.get('id') or '', 'id'),
    )


def _decode(
    value: bytes,
    read: Callable[[Fields], _Decoded],
) -> Result[_Decoded, str]:
    try:
        fields = read_object(json.loads(value), 'entry')
    except (ValueError, RecursionError) as fault:
        return Err(f'not decodable: {fault}')
    try:
        return Ok(read(fields))
    except (FieldError, ValueError) as refusal:
        return Err(str(refusal))


def _read_configuration(fields: Fields) -> FleetConfiguration:
    routes = [
        _read_route(read_object(row, 'routes'))
        for row in read_rows(fields, 'routes')
    ]
    services = [
        _read_service(read_object(row, 'services'))
        for row in read_rows(fields, 'services')
    ]
    return FleetConfiguration(
        version=read_count(fields, 'version'),
        routes={route.name: route for route in routes},
        services={service.name: service for service in services},
        tenants=read_tenants(fields),
    )


def _read_route(fields: Fields) -> Route:
    return Route(
        name=read_text(fields, 'name'),
        host=read_text(fields, 'hostname'),
        prefix=read_text(fields, 'prefix'),
        service=read_text(fields, 'service'),
        priority=read_count(fields, 'priority', 0),
        max_attempts=read_count(fields, 'max_attempts', 1),
        slack_factor=read_number(fields, 'slack_factor', 1),
        target_latency=read_number(fields, 'target_latency_ms', 0) / _MS,
        advice=_read_advice(fields),
        auth_exempt=read_flag(fields, 'auth_exempt'),
    )


def _read_advice(fields: Fields) -> AdviceTerms | None:
    terms = fields.get('recommendation')
    if not terms:
        return None
    found = read_object(terms, 'recommendation')
    return AdviceTerms(
        decide=read_number(found, 'decide_ms', 0) / _MS,
        per_worker=read_number(found, 'period_ms', 0) / _MS,
        valid=read_number(found, 'valid_ms', 0) / _MS,
    )


def _read_service(fields: Fields) -> ServicePool:
    return ServicePool(
        read_text(fields, 'name'),
        standby=read_flag(fields, 'standby'),
    )


def _read_worker(worker: str, fields: Fields) -> WorkerEntry:
    state = read_text(fields, 'state')
    if state not in _WORKER_STATES:
        raise FieldError('state', f'is {shorten(state)!r}, which is unknown')
    return WorkerEntry(
        worker=_check_worker(worker),
        started_at_ms=read_count(fields, 'born'),
        service=read_text(fields, 'service'),
        address=_read_address(fields),
        data_centre=read_text(fields, 'zone'),
        draining=state == 'draining',
        capacity=_read_capacity(fields),
        labels=_read_labels(fields),
        vm=read_text(fields, 'machine', ''),
    )


def _check_worker(worker: str) -> str:
    """Return the identity of a worker, which each call sends in a header."""
    if _WORKER_NAME.fullmatch(worker) is None:
        raise FieldError('id', 'must be printable ASCII without spaces')
    return worker


def _read_address(fields: Fields) -> str:
    address = read_text(fields, 'address')
    try:
        parse_address(address)
    except ValueError as fault:
        raise FieldError('address', str(fault)) from fault
    return address


def _read_capacity(fields: Fields) -> Resources:
    capacity = read_object(fields.get('capacity'), 'capacity')
    return Resources(
        read_count(capacity, 'cpu', 0, MAX_CAPACITY),
        read_count(capacity, 'mem_mb', 0, MAX_CAPACITY),
        read_count(capacity, 'gpu', 0, MAX_CAPACITY),
    )


def _read_labels(fields: Fields) -> tuple[str, ...]:
    return read_texts(fields, 'labels')


def _read_wave(fields: Fields) -> MaintenanceWave:
    return MaintenanceWave(
        number=read_count(fields, 'wave'),
        vms=read_texts(fields, 'machines'),
        duration=read_number(fields, 'duration_s', 0),
        cap=read_count(fields, 'cap', 1),
    )
