"""Plain-text tables."""

from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

#: Text between two columns.
COLUMN_GAP = '  '

#: Shown for an empty cell.
EMPTY_CELL = '-'


def format_table(
    columns: Sequence[str],
    rows: Sequence[Mapping[str, Any]],
) -> str:
    """Return aligned rows under a heading, with numbers aligned right.

    Examples
    ========

    >>> print(format_table(['name', 'need'], [{'name': 'a', 'need': 10}]))
    NAME  NEED
    a       10

    :param columns: keys of the rows, in order.
    :param rows: cells by key; keys that are not columns are left out.
    """
    heading = [column.replace('_', ' ').upper() for column in columns]
    cells = [[format_cell(row.get(key)) for key in columns] for row in rows]
    lines_of_cells = [heading, *cells]
    widths = [
        max(len(line[index]) for line in lines_of_cells)
        for index in range(len(columns))
    ]
    right_aligned = [
        bool(rows) and all(_is_number(row.get(key)) for row in rows)
        for key in columns
    ]
    lines = [
        COLUMN_GAP.join(
            cell.rjust(width) if align_right else cell.ljust(width)
            for cell, width, align_right in zip(
                line, widths, right_aligned, strict=True
            )
        ).rstrip()
        for line in lines_of_cells
    ]
    return '\n'.join(lines)


def format_fields(fields: Mapping[str, Any]) -> str:
    """Return one line for each field.

    >>> print(format_fields({'name': 'd-1', 'ready': True}))
    name   d-1
    ready  yes
    """
    width = max((len(name) for name in fields), default=0)
    lines = []
    for name, value in fields.items():
        label = name.replace('_', ' ').ljust(width)
        lines.append(f'{label}{COLUMN_GAP}{format_cell(value)}')
    return '\n'.join(lines)


def format_cell(value: Any) -> str:
    """Return the text of a value on one line without control characters."""
    if value is None or value == '':
        return EMPTY_CELL
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.6g}'
    if isinstance(value, list):
        return ', '.join(format_cell(part) for part in value) or EMPTY_CELL
    return ''.join(
        character if character.isprintable() else '?'
        for character in str(value)
    )


def format_time(seconds: float | None) -> str:
    """Return a Unix time in UTC.

    >>> format_time(0.0), format_time(None)
    ('1970-01-01 00:00:00Z', '-')
    """
    if seconds is None:
        return EMPTY_CELL
    moment = datetime.fromtimestamp(seconds, UTC)
    return f'{moment:%Y-%m-%d %H:%M:%S}Z'


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)
