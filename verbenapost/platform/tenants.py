"""Decoding of the tenants in the operator configuration.

No error repeats an API key, or a value that could be one: only numbers are
shown.
"""

from collections.abc import Mapping
from typing import Any, Final, TypeVar

from verbenapost.platform.authorization import digest_key
from verbenapost.platform.fields import (
    MAX_NUMBER,
    FieldError,
    Fields,
    check_text,
    read_object,
    shorten,
)
from verbenapost.state.resources import Resources
from verbenapost.state.tenants import Tenant, TenantTerms

_TENANTS: Final = 'tenants'

_Number = TypeVar('_Number', int, float)


def read_tenants(fields: Fields) -> Mapping[str, Tenant] | None:
    """Return the tenants by name, or ``None`` without the field.

    :param fields: the operator configuration.
    :raises FieldError: when the list is invalid.
    """
    if _TENANTS not in fields:
        return None
    tenants: dict[str, Tenant] = {}
    #: Path of each key, by the key's digest.
    paths: dict[bytes, str] = {}
    for number, row in enumerate(_check_list(fields[_TENANTS], _TENANTS)):
        path = f'{_TENANTS}.{number}'
        tenant = _read_tenant(read_object(row, path), path, paths)
        name = tenant.terms.name
        if name in tenants:
            raise FieldError(
                f'{path}.name', f'is {shorten(name)!r}, which is given twice'
            )
        tenants[name] = tenant
    return tenants


def _read_tenant(fields: Fields, path: str, paths: dict[bytes, str]) -> Tenant:
    name = check_text(fields.get('name'), f'{path}.name')
    if not name:
        raise FieldError(f'{path}.name', 'must not be empty')
    weight = _check_number(fields.get('weight', 1), f'{path}.weight')
    cap = _read_cap(fields.get('cap', {}), f'{path}.cap')
    keys_path = f'{path}.api_keys'
    # A list that is empty may be given as null.
    keys = _check_list(fields.get('api_keys') or [], keys_path)
    digests = [
        _read_key(key, f'{keys_path}.{number}', paths)
        for number, key in enumerate(keys)
    ]
    return Tenant(TenantTerms(name, weight, cap), frozenset(digests))


def _read_cap(row: Any, path: str) -> Resources:
    fields = read_object(row, path)
    return Resources(
        _check_count(fields.get('cpu', 0), f'{path}.cpu'),
        _check_count(fields.get('mem_mb', 0), f'{path}.mem_mb'),
        _check_count(fields.get('gpu', 0), f'{path}.gpu'),
    )


def _read_key(key: Any, path: str, paths: dict[bytes, str]) -> bytes:
    """Return the digest of a key and record its path."""
    text = check_text(key, path)
    if not text:
        raise FieldError(path, 'must not be empty')
    digest = digest_key(text.encode())
    earlier = paths.setdefault(digest, path)
    if earlier != path:
        raise FieldError(path, f'is the same key as {earlier}')
    return digest


def _check_list(row: Any, path: str) -> list[Any]:
    if not isinstance(row, list):
        raise FieldError(path, 'must be a list')
    return row


def _check_count(found: Any, path: str) -> int:
    if isinstance(found, bool) or not isinstance(found, int):
        raise FieldError(path, f'{_show(found)}must be a whole number')
    return _check_range(found, path)


def _check_number(found: Any, path: str) -> float:
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise FieldError(path, 'must be a number')
    return _check_range(found, path)


def _check_range(found: _Number, path: str) -> _Number:
    # No comparison with NaN holds.
    if not found >= 0:
        raise FieldError(path, f'{_show(found)}must be 0 or more')
    if found > MAX_NUMBER:
        raise FieldError(path, f'must be at most {MAX_NUMBER}')
    return found


def _show(found: Any) -> str:
    """Return a number for an error, and nothing for any other value."""
    if isinstance(found, (int, float)):
        return f'is {shorten(str(found))}, '
    return ''
