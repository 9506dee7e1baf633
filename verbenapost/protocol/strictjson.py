"""Strict parsing of JSON documents that people write."""

import collections
import json
from typing import Any


def parse_json(text: str | bytes) -> Any:
    """Return the value of a JSON document.

    Examples
    ========

    >>> parse_json('{"a": 1}')
    {'a': 1}
    >>> parse_json('{"a": 1, "a": 2}')
    Traceback (most recent call last):
    ...
    ValueError: key 'a' is given twice

    :raises ValueError: when the text is not JSON, repeats a key, nests too
        deeply or holds a number that JSON does not have, such as ``NaN``.
    """
    try:
        return json.loads(
            text,
            object_pairs_hook=_refuse_duplicates,
            parse_constant=_refuse_constant,
        )
    except RecursionError as fault:
        raise ValueError('the document nests too deeply') from fault
    except json.JSONDecodeError as fault:
        position = f'line {fault.lineno} column {fault.colno}'
        raise ValueError(f'is not JSON: {fault.msg} at {position}') from fault


def _refuse_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) < len(pairs):
        counts = collections.Counter(name for name, _ in pairs)
        repeated = counts.most_common(1)[0][0]
        raise ValueError(f'key {repeated!r} is given twice')
    return members


def _refuse_constant(text: str) -> None:
    raise ValueError(f'{text} is no JSON number')
