"""Records in the logs of the daemons."""

import dataclasses
import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any, final

from verbenapost.cli.exits import make_usage_error


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a log.

    :param daemon: last word before the record, such as the daemon's name.
    :param fields: fields of the record.
    """

    daemon: str
    fields: dict[str, Any]

    @property
    def timestamp(self) -> str:
        """Time of the record, as logged."""
        return str(self.fields.get('timestamp', ''))


def read_lines(files: Sequence[str]) -> list[str]:
    """Return the lines of log files, or of standard input without a file.

    :param files: names of the files.
    :raises CommandError: when a file can't be read.
    """
    if not files:
        return list(sys.stdin)
    lines: list[str] = []
    for name in files:
        try:
            text = Path(name).read_text(errors='replace')
        except OSError as fault:
            advice = 'give files with logs, or none for standard input'
            raise make_usage_error(f'{name}: {fault}', advice) from fault
        lines.extend(text.splitlines())
    return lines


def find_records(word: str, lines: Iterable[str]) -> Iterator[LogRecord]:
    """Yield the records of the lines that contain a word.

    Lines of several daemons may be mixed, and each may have a prefix before
    its record, such as the name of the daemon.

    >>> [row.fields for row in find_records('a', ['d {"a": 1}', '{"a', '{}'])]
    [{'a': 1}]

    :param word: text that the records contain.
    :param lines: lines of the logs.
    """
    for line in lines:
        prefix, brace, rest = line.partition('{')
        if not brace or word not in rest:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            # A truncated line holds no complete record.
            continue
        words = prefix.split()
        yield LogRecord(words[-1] if words else '', fields)
