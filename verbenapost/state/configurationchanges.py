"""Differences between two versions of the operator configuration."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Any, Final, final

from verbenapost.state.tenants import Tenant
from verbenapost.state.workloads import FleetConfiguration

_ABSENT: Final = 'absent'
_PRESENT: Final = 'present'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """One difference between two versions.

    :param path: what differs.
    :param before: value in the older version, as text.
    :param after: value in the newer version, as text.
    """

    path: str
    before: str
    after: str


def list_changes(
    before: FleetConfiguration, after: FleetConfiguration
) -> Iterator[ConfigurationChange]:
    """Yield the differences; API keys are only counted."""
    yield from _compare('version', before.version, after.version)
    yield from _compare_rows('routes', before.routes, after.routes)
    yield from _compare_rows('services', before.services, after.services)
    if before.tenants is None or after.tenants is None:
        yield from _compare(
            'tenants',
            _describe_presence(before.tenants),
            _describe_presence(after.tenants),
        )
    yield from _compare_rows(
        'tenants', before.tenants or {}, after.tenants or {}
    )


def _compare_rows(
    name: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[ConfigurationChange]:
    for key in sorted({*before, *after}):
        path = f'{name}.{key}'
        old = before.get(key)
        new = after.get(key)
        if old is None or new is None:
            yield from _compare(
                path, _describe_presence(old), _describe_presence(new)
            )
        elif isinstance(old, Tenant):
            yield from _compare_tenants(path, old, new)
        else:
            yield from _compare(path, old, new)


def _compare_tenants(
    path: str, before: Tenant, after: Tenant
) -> Iterator[ConfigurationChange]:
    yield from _compare(path, before.terms, after.terms)
    removed = len(before.key_digests - after.key_digests)
    added = len(after.key_digests - before.key_digests)
    if removed or added:
        yield ConfigurationChange(
            f'{path}.keys', f'{removed} removed', f'{added} added'
        )


def _compare(
    path: str, before: Any, after: Any
) -> Iterator[ConfigurationChange]:
    """Yield the fields of two values that differ."""
    if before == after:
        return
    if dataclasses.is_dataclass(before) and dataclasses.is_dataclass(after):
        for field in dataclasses.fields(before):
            yield from _compare(
                f'{path}.{field.name}',
                getattr(before, field.name),
                getattr(after, field.name),
            )
        return
    yield ConfigurationChange(path, _show(before), _show(after))


def _describe_presence(value: Any) -> str:
    return _ABSENT if value is None else _PRESENT


def _show(value: Any) -> str:
    return _ABSENT if value is None else str(value)
