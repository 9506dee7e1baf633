"""Parsing of numeric arguments and of document files."""

from pathlib import Path
from typing import Any

from verbenapost.cli.exits import make_usage_error
from verbenapost.protocol.strictjson import parse_json

#: Bytes of a document file that are read.
MAX_FILE_BYTES = 1_048_576


def parse_number(text: str) -> float:
    """Return the number in an argument.

    :raises CommandError: when the text is not a number.
    """
    try:
        return float(text)
    except ValueError as fault:
        advice = 'give a number such as 10'
        raise make_usage_error(f'{text!r} is no number', advice) from fault


def read_document(name: str) -> dict[str, Any]:
    """Return the content of a file in the format of ``config get``.

    :raises CommandError: when the file cannot be read or has another format.
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
    for key, expected_type in expected.items():
        value = content[key]
        if not isinstance(value, expected_type) or isinstance(value, bool):
            detail = f'{name}: {key} must be of type {expected_type.__name__}'
            raise make_usage_error(detail, advice)
    return content
