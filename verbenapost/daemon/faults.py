"""Faults in a JSON document, each with its path, value and rule."""

import dataclasses
import functools
import json
from collections.abc import Iterable
from typing import Any, final

import pydantic

#: Text shown in place of a value that is or may contain a secret.
MASK = '***'

#: Largest number of characters of a value that a fault shows.
MAX_SHOWN_CHARACTERS = 80

#: Field names for which it is remembered whether they hold a secret.
MAX_CACHED_NAMES = 1024

_SECRET_PARTS = ('_key', 'token', 'secret', 'password', 'authorization')
_ROOT = '(document)'
_MISSING = '(missing)'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Violation of one rule by one value.

    Examples
    ========

    >>> print(Fault('listen.port', '70000', 'must be at most 65535'))
    listen.port: 70000: must be at most 65535

    :param path: location in the document, such as ``peers[2].address``.
    :param value: shortened value, or a mask for secrets.
    :param rule: rule that the value violates.
    """

    path: str
    value: str
    rule: str

    def __str__(self) -> str:
        """Return the fault as one readable line."""
        return f'{self.path}: {self.value}: {self.rule}'


@functools.lru_cache(maxsize=MAX_CACHED_NAMES)
def is_secret_name(name: str) -> bool:
    """Return whether a field of this name holds a secret.

    >>> is_secret_name('peer_key'), is_secret_name('peer_key_file')
    (True, False)
    """
    lowered = name.lower()
    if lowered.endswith('_file'):
        return False
    return any(part in lowered for part in _SECRET_PARTS)


def list_faults(error: pydantic.ValidationError) -> list[Fault]:
    """Return a fault for each error that pydantic found."""
    return [
        _make_fault(detail)
        for detail in error.errors(include_url=False, include_context=False)
    ]


def format_path(steps: Iterable[str | int]) -> str:
    """Format keys and indices as a path.

    >>> format_path(('peers', 2, 'address'))
    'peers[2].address'
    """
    path = ''
    for step in steps:
        if isinstance(step, int):
            path = f'{path}[{step}]'
        else:
            path = f'{path}.{step}' if path else step
    return path or _ROOT


def show_value(path: Iterable[str | int], json_value: Any) -> str:
    """Return a value as shortened JSON, masked when it may be secret.

    :param path: keys and indices that lead to the value.
    :param json_value: the value as decoded from JSON.
    """
    if any(isinstance(step, str) and is_secret_name(step) for step in path):
        return MASK
    if isinstance(json_value, (dict, list, tuple)):
        return 'an object' if isinstance(json_value, dict) else 'an array'
    if isinstance(json_value, str) and '@' in json_value:
        return MASK
    shown = json.dumps(json_value, default=str)
    if len(shown) > MAX_SHOWN_CHARACTERS:
        return f'{shown[:MAX_SHOWN_CHARACTERS]}...'
    return shown


def _make_fault(detail: Any) -> Fault:
    location = detail['loc']
    if detail['type'] == 'missing':
        return Fault(format_path(location), _MISSING, 'this key is needed')
    rule = detail['msg'].removeprefix('Value error, ')
    if detail['type'] == 'unexpected_keyword_argument':
        rule = 'this key is not known'
    shown = show_value(location, detail['input'])
    return Fault(format_path(location), shown, rule)
