"""Plain text tables for people."""

from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

#: Characters between two columns.
GAP = '  '

#: Shown for an empty cell.
EMPTY = '-'


def format_table(
    columns: Sequence[str],
    rows: Sequence[Mapping[str, Any]],
) -> str:
    """Return aligned rows under a heading; numbers are set to the right.

    Examples
    ========

    >>> print(format_table(['name', 'need'], [{'name': 'a', 'need': 10}]))
    NAME  NEED
    a       10

    :param columns: keys of the rows, in order.
    :param rows: cells by key; others than the columns are left out.
    """
    heading = [column.replace('_', ' ').upper() for column in columns]
    cells = [[format_cell(row.get(key)) for key in columns] for row in rows]
    texts = [heading, *cells]
    widths = [
        max(len(line[index]) for line in texts) for index in range(len(columns))
    ]
    rights = [
        bool(rows) and all(_is_number(row.get(key)) for row in rows)
        for key in columns
    ]
    lines = [
        GAP.join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(line, widths, rights, strict=True)
        ).rstrip()
        for line in texts
    ]
    return '\n'.join(lines)


def format_fields(fields: Mapping[str, Any]) -> str:
    """Return one line a field.

    >>> print(format_fields({'name': 'd-1', 'ready': True}))
    name   d-1
    ready  yes
    """
    width = max((len(name) for name in fields), default=0)
    lines = []
    for name, found in fields.items():
        title = name.replace('_', ' ').ljust(width)
        lines.append(f'{title}{GAP}{format_cell(found)}')
    return '\n'.join(lines)


def format_cell(found: Any) -> str:
    """Return a value as one line without control characters."""
    if found is None or found == '':
        return EMPTY
    if isinstance(found, bool):
        return 'yes' if found else 'no'
    if isinstance(found, float):
        return f'{found:.6g}'
    if isinstance(found, list):
        return ', '.join(format_cell(part) for part in found) or EMPTY
    return ''.join(
        letter if letter.isprintable() else '?' for letter in str(found)
    )


def format_time(seconds: float | None) -> str:
    """Return a Unix time in UTC.

    >>> format_time(0.0), format_time(None)
    ('1970-01-01 00:00:00Z', '-')
    """
    if seconds is None:
        return EMPTY
    moment = datetime.fromtimestamp(seconds, UTC)
    return f'{moment:%Y-%m-%d %H:%M:%S}Z'


def _is_number(found: Any) -> bool:
    return isinstance(found, (int, float)) and not isinstance(found, bool)
