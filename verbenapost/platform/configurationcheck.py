"""Checks of an operator configuration before it is sent."""

import dataclasses
import enum
import json
import math
from collections.abc import Iterator, Mapping
from typing import Any, Final, final

from result import Err, Ok, Result

from verbenapost.platform.fields import Fields, shorten
from verbenapost.platform.records import decode_configuration
from verbenapost.protocol.strictjson import parse_json
from verbenapost.state.workloads import FleetConfiguration, Route

#: Parts of a configuration whose rows can be decoded one by one.
_LISTS: Final = ('routes', 'services')

_LIMITS: Final = (
    'max_header_bytes',
    'max_body_bytes',
    'header_timeout_ms',
    'idle_timeout_ms',
)

_MS: Final = 1000

# Smallest configuration without a fault.
_EMPTY: Final[Fields] = {'version': 1}


@enum.unique
class FindingKind(enum.StrEnum):
    """Kind of a finding.

    ``UNREACHABLE`` is a route that no request can match, ``CONTRADICTION`` a
    value that another one makes useless.
    """

    ERROR = 'error'
    UNREACHABLE = 'unreachable'
    CONTRADICTION = 'contradiction'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationFinding:
    """A fault of a configuration.

    :param kind: kind of the fault.
    :param path: path of the value, empty for the whole configuration.
    :param value: the value as JSON, shortened; empty when there is none or it
        may hold a secret.
    :param rule: rule that is violated.
    """

    kind: FindingKind
    path: str
    value: str
    rule: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CheckedConfiguration:
    """A configuration with what was found.

    :param decoded: the configuration, or ``None`` if it can't be decoded.
    :param findings: its faults.
    """

    decoded: FleetConfiguration | None
    findings: tuple[ConfigurationFinding, ...]


def check_configuration(packed: bytes) -> CheckedConfiguration:
    """Return a configuration with all its faults.

    :param packed: the configuration, as it would be stored.
    """
    parsed = _parse(packed)
    if isinstance(parsed, Err):
        error = _make_error('', None, parsed.err_value)
        return CheckedConfiguration(None, (error,))
    fields = parsed.ok_value
    findings = [*_check_fields(fields), *_check_limits(fields)]
    decoded = decode_configuration(packed)
    if isinstance(decoded, Err):
        if not any(row.kind is FindingKind.ERROR for row in findings):
            findings.append(_make_error('', None, decoded.err_value))
        return CheckedConfiguration(None, tuple(findings))
    configuration = decoded.ok_value
    duplicates = list(_check_duplicates(fields))
    findings.extend(duplicates or _check_routes(configuration))
    return CheckedConfiguration(configuration, tuple(findings))


def check_version(
    configuration: FleetConfiguration, in_force: FleetConfiguration
) -> Iterator[ConfigurationFinding]:
    """Yield an error if daemons would not adopt a configuration."""
    if configuration.version <= in_force.version:
        yield _make_error(
            'version',
            configuration.version,
            f'must be above {in_force.version}, which is in force',
        )


def _parse(packed: bytes) -> Result[Fields, str]:
    try:
        fields = parse_json(packed)
    except ValueError as fault:
        return Err(str(fault))
    if not isinstance(fields, dict):
        return Err('must be an object')
    return Ok(fields)


def _check_fields(fields: Fields) -> Iterator[ConfigurationFinding]:
    """Yield the errors of each part and of each row of a list.

    Each part is decoded by itself, since decoding ends at the first error.
    """
    for name, part in fields.items():
        if name in _LISTS and isinstance(part, list):
            for number, row in enumerate(part):
                yield from _check_row(name, number, row)
        else:
            refusal = decode_configuration(_pack({**_EMPTY, name: part})).err()
            if refusal is not None:
                yield _make_part_error(name, part, refusal)
    if 'version' not in fields:
        refusal = decode_configuration(_pack({})).err() or ''
        yield _make_part_error('version', None, refusal)


def _make_part_error(
    name: str, part: Any, refusal: str
) -> ConfigurationFinding:
    # Only these parts hold no API keys.
    shown = part if name in {*_LISTS, 'version'} else None
    return _make_error(name, shown, refusal.removeprefix(f'{name} '))


def _check_row(
    name: str, number: int, row: Any
) -> Iterator[ConfigurationFinding]:
    refusal = decode_configuration(_pack({**_EMPTY, name: [row]})).err()
    if refusal is None:
        return
    field, _separator, rule = refusal.partition(' ')
    path = f'{name}.{number}'
    if not isinstance(row, dict):
        yield _make_error(path, row, rule)
        return
    for group, members in row.items():
        if field not in row and isinstance(members, dict) and field in members:
            path = f'{path}.{group}'
            row = members
    yield _make_error(f'{path}.{field}', row.get(field), rule)


def _check_duplicates(fields: Fields) -> Iterator[ConfigurationFinding]:
    """Yield the rows that an earlier one of the same name would replace."""
    for name in _LISTS:
        seen: dict[str, int] = {}
        for number, row in enumerate(fields.get(name) or ()):
            first = seen.setdefault(row['name'], number)
            if first != number:
                yield _make_error(
                    f'{name}.{number}.name',
                    row['name'],
                    f'must be unique, but is that of {name}.{first}',
                )


def _check_limits(fields: Fields) -> Iterator[ConfigurationFinding]:
    limits = fields.get('limits')
    if limits is None:
        return
    if not isinstance(limits, dict):
        yield _make_error('limits', limits, 'must be an object')
        return
    for name in _LIMITS:
        if name in limits and math.isnan(_read_positive(limits, name)):
            yield _make_error(
                f'limits.{name}', limits[name], 'must be a number above 0'
            )
    head = _read_positive(limits, 'header_timeout_ms')
    idle = _read_positive(limits, 'idle_timeout_ms')
    if head > idle:
        yield ConfigurationFinding(
            FindingKind.CONTRADICTION,
            'limits.header_timeout_ms',
            _show(head),
            f'must be at most idle_timeout_ms, which is {idle}',
        )


def _check_routes(
    configuration: FleetConfiguration,
) -> Iterator[ConfigurationFinding]:
    """Yield the faults of routes; called when no two have the same name."""
    first: dict[tuple[str, str], int] = {}
    for number, route in enumerate(configuration.routes.values()):
        path = f'routes.{number}'
        if route.service not in configuration.services:
            yield _make_error(
                f'{path}.service', route.service, 'must be one of services'
            )
        owner = first.setdefault((route.host, route.prefix), number)
        if owner != number:
            rule = f'is hidden by routes.{owner}, which has the same address'
            yield _make_unreachable(path, route, rule)
        elif route.prefix and not route.prefix.startswith('/'):
            yield _make_unreachable(path, route, 'must begin with /')
        yield from _check_advice(path, route)


def _check_advice(path: str, route: Route) -> Iterator[ConfigurationFinding]:
    advice = route.advice
    if advice is not None and advice.valid <= advice.decide:
        yield ConfigurationFinding(
            FindingKind.CONTRADICTION,
            f'{path}.recommendation.valid_ms',
            _show(round(advice.valid * _MS)),
            'must be above decide_ms, or tickets end before they are known',
        )


def _make_unreachable(
    path: str, route: Route, rule: str
) -> ConfigurationFinding:
    return ConfigurationFinding(
        FindingKind.UNREACHABLE, f'{path}.prefix', _show(route.prefix), rule
    )


def _make_error(path: str, value: Any, rule: str) -> ConfigurationFinding:
    return ConfigurationFinding(FindingKind.ERROR, path, _show(value), rule)


def _read_positive(fields: Fields, name: str) -> float:
    """Return a number above 0; NaN for anything else, or for none."""
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return math.nan
    return value if value > 0 else math.nan


def _show(value: Any) -> str:
    return '' if value is None else shorten(json.dumps(value))


def _pack(fields: Mapping[str, Any]) -> bytes:
    return json.dumps(fields).encode()
