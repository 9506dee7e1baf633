"""Strictly typed access to the fields of decoded JSON."""

from collections.abc import Mapping
from typing import Any, Final

Fields = Mapping[str, Any]

#: Largest number of a field, that of a signed integer of 64 bits: it can be
#: packed, and divided as a float.
MAX_NUMBER: Final = 9_223_372_036_854_775_807

#: Characters of another writer's text that an error repeats.
MAX_SHOWN_CHARACTERS: Final = 40


class FieldError(ValueError):
    """Raised for a missing or invalid field.

    :param field: path of the field.
    :param rule: rule that the field violates.
    """

    def __init__(self, field: str, rule: str) -> None:
        super().__init__(f'{field} {rule}')
        self.field = field
        self.rule = rule


def read_object(value: Any, field: str) -> Fields:
    """Return a value that has to be an object.

    :param value: the value.
    :param field: path of the field for the error.
    :raises FieldError: when the value is not an object.
    """
    if not isinstance(value, dict):
        raise FieldError(field, 'must be an object')
    return value


def read_rows(fields: Fields, name: str) -> list[Any]:
    """Return a list field, empty when the field is missing."""
    value = fields.get(name) or []
    if not isinstance(value, list):
        raise FieldError(name, 'must be a list')
    return value


def read_text(fields: Fields, name: str, default: str | None = None) -> str:
    """Return a string field that UTF-8 can encode.

    JSON can hold half a character, which can be neither sent nor packed.

    :raises FieldError: when the value is of another type or can't be encoded.
    """
    return check_text(fields.get(name, default), name)


def read_texts(fields: Fields, name: str) -> tuple[str, ...]:
    """Return a list of strings, empty when the field is missing."""
    return tuple(check_text(row, name) for row in read_rows(fields, name))


def shorten(text: str) -> str:
    """Return the beginning of a text, for an error.

    >>> shorten('x' * 1000) == 'x' * MAX_SHOWN_CHARACTERS
    True
    """
    return text[:MAX_SHOWN_CHARACTERS]


def check_text(value: Any, field: str) -> str:
    """Return a value that has to be a string that UTF-8 can encode.

    :param value: the value.
    :param field: path of the field for the error.
    :raises FieldError: when the value is no such string.
    """
    if not isinstance(value, str):
        raise FieldError(field, 'must be a string')
    try:
        value.encode()
    except UnicodeEncodeError as fault:
        raise FieldError(field, 'must be encodable in UTF-8') from fault
    return value


def read_count(
    fields: Fields,
    name: str,
    default: int | None = None,
    limit: int = MAX_NUMBER,
) -> int:
    """Return a non-negative integer field.

    Examples
    ========

    >>> read_count({'count': 3}, 'count')
    3
    >>> read_count({'count': 3}, 'count', limit=2)
    Traceback (most recent call last):
    ...
    verbenapost.platform.fields.FieldError: count must be at most 2

    :param fields: the fields.
    :param name: name of the field.
    :param default: value of a missing field, or ``None`` if it is required.
    :param limit: largest value.
    :raises FieldError: when the value is of another type or out of range.
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise FieldError(name, 'must be a whole number of 0 or more')
    if value > limit:
        raise FieldError(name, f'must be at most {limit}')
    return value


def read_number(
    fields: Fields,
    name: str,
    default: float | None = None,
) -> float:
    """Return a non-negative number field.

    JSON's ``1e999`` is read as infinity, and ``NaN`` as no number at all; both
    are refused.

    :raises FieldError: when the value is of another type or out of range.
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise FieldError(name, 'must be a number')
    if not 0 <= value <= MAX_NUMBER:
        raise FieldError(name, f'must be from 0 to {MAX_NUMBER}')
    return value


def read_flag(fields: Fields, name: str) -> bool:
    """Return a boolean field, ``False`` when the field is missing."""
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise FieldError(name, 'must be true or false')
    return value
