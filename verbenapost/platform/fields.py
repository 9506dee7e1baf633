"""Strict reading of fields of decoded JSON."""

from collections.abc import Mapping
from typing import Any

Fields = Mapping[str, Any]


class FieldError(ValueError):
    """A field that is missing or breaks a rule.

    :param field: path of the field.
    :param rule: what it has to be.
    """

    def __init__(self, field: str, rule: str) -> None:
        super().__init__(f'{field} {rule}')
        self.field = field
        self.rule = rule


def read_object(value: Any, field: str) -> Fields:
    """Return an object.

    :raises FieldError: when it is none.
    """
    if not isinstance(value, dict):
        raise FieldError(field, 'must be an object')
    return value


def read_rows(fields: Fields, name: str) -> list[Any]:
    """Return a list, empty when the field is left out."""
    value = fields.get(name) or []
    if not isinstance(value, list):
        raise FieldError(name, 'must be a list')
    return value


def read_text(fields: Fields, name: str, default: str | None = None) -> str:
    """Return a string field."""
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise FieldError(name, 'must be a string')
    return value


def read_count(fields: Fields, name: str, default: int | None = None) -> int:
    """Return a whole number that is not negative."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise FieldError(name, 'must be a whole number of 0 or more')
    return value


def read_number(
    fields: Fields,
    name: str,
    default: float | None = None,
) -> float:
    """Return a number that is not negative."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise FieldError(name, 'must be a number')
    if value < 0:
        raise FieldError(name, 'must not be negative')
    return value


def read_flag(fields: Fields, name: str) -> bool:
    """Return a truth value, ``False`` when the field is left out."""
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise FieldError(name, 'must be true or false')
    return value
