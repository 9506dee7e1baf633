"""Strict parsing of JSON documents that people write."""

import collections
import itertools
import json
from collections.abc import Callable
from typing import Any

_Pairs = list[tuple[str, Any]]
_Hook = Callable[[_Pairs], dict[str, Any]]


def parse_json(text: str | bytes, max_objects: int | None = None) -> Any:
    """Return the value of a JSON document.

    Examples
    ========

    >>> parse_json('{"a": 1}')
    {'a': 1}
    >>> parse_json('{"a": 1, "a": 2}')
    Traceback (most recent call last):
    ...
    ValueError: key 'a' is given twice

    :param text: the document.
    :param max_objects: objects of the document; reading stops above it.
    :raises ValueError: when the text is not JSON, repeats a key, nests too
        deeply or holds a number that JSON does not have, such as ``NaN``.
    """
    try:
        return json.loads(
            text,
            object_pairs_hook=_make_hook(max_objects),
            parse_constant=_refuse_constant,
        )
    except RecursionError as fault:
        raise ValueError('the document nests too deeply') from fault
    except json.JSONDecodeError as fault:
        position = f'line {fault.lineno} column {fault.colno}'
        raise ValueError(f'is not JSON: {fault.msg} at {position}') from fault


def _make_hook(max_objects: int | None) -> _Hook:
    if max_objects is None:
        return _refuse_duplicates
    remaining = itertools.count(max_objects, -1)

    def read_object(pairs: _Pairs) -> dict[str, Any]:
        if next(remaining) <= 0:
            raise ValueError(f'must have at most {max_objects} objects')
        return _refuse_duplicates(pairs)

    return read_object


def _refuse_duplicates(pairs: _Pairs) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) < len(pairs):
        counts = collections.Counter(name for name, _ in pairs)
        repeated = counts.most_common(1)[0][0]
        raise ValueError(f'key {repeated!r} is given twice')
    return members


def _refuse_constant(text: str) -> None:
    raise ValueError(f'{text} is no JSON number')
