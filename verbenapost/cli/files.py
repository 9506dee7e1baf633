"""Arguments and files that operators write."""

from pathlib import Path
from typing import Any

from verbenapost.cli.exits import make_usage_error
from verbenapost.protocol.strictjson import parse_json

#: Bytes that a document file may have.
MAX_FILE_BYTES = 1_048_576


def parse_seconds(text: str) -> float:
    """Return a number that was typed.

    :raises CommandError: when it is none.
    """
    try:
        return float(text)
    except ValueError as fault:
        advice = 'give a number such as 10'
        raise make_usage_error(f'{text!r} is no number', advice) from fault


def read_document(name: str) -> dict[str, Any]:
    """Return a document file as ``config get`` writes it.

    :raises CommandError: when it can not be read or has another form.
    """
    advice = 'write it with: verbenapost config get TEAM > FILE'
    try:
        with Path(name).open('rb') as source:
            content = parse_json(source.read(MAX_FILE_BYTES))
    except (OSError, ValueError) as fault:
        raise make_usage_error(f'{name}: {fault}', advice) from fault
    expected = {'team': str, 'revision': int, 'document': dict}
    if not isinstance(content, dict) or content.keys() != expected.keys():
        names = ', '.join(expected)
        raise make_usage_error(f'{name}: needs just the keys {names}', advice)
    for key, kind in expected.items():
        found = content[key]
        if not isinstance(found, kind) or isinstance(found, bool):
            detail = f'{name}: {key} must be of type {kind.__name__}'
            raise make_usage_error(detail, advice)
    return content
