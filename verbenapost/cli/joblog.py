"""The story of one job, told from the logs of the daemons."""

import dataclasses
import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final, final

from verbenapost.cli.exits import CommandError, ExitCode, make_usage_error

#: Fields that stand in every line and tell nothing of the job.
_COMMON: Final = frozenset(('event', 'timestamp', 'level', 'job'))


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StoryLine:
    """One decision on a job.

    :param timestamp: when, as logged.
    :param daemon: text before the record, such as the daemon's name.
    :param event: what was decided.
    :param fields: what decided it, and the outcome.
    """

    timestamp: str
    daemon: str
    event: str
    fields: dict[str, Any]

    def show(self) -> str:
        """Return the line for people."""
        details = ' '.join(f'{key}={text}' for key, text in self.fields.items())
        return f'{self.timestamp}  {self.daemon}  {self.event}  {details}'


def read_story(job: str, lines: Iterable[str]) -> list[StoryLine]:
    """Return what the logs tell of a job, in order of time.

    Lines of several daemons may be mixed, and each may have a prefix before
    its record, such as the name of the daemon.

    Examples
    ========

    >>> line = 'front-1 {"job": "5c0e", "event": "jobs: job taken", "steps": 2}'
    >>> read_story('5c0e', [line, 'noise', '{"job": "other"}'])[0].show()
    '  front-1  jobs: job taken  steps=2'

    :param job: identity of the job.
    :param lines: lines of the logs.
    """
    return sorted(_find_lines(job, lines), key=_read_timestamp)


def _find_lines(job: str, lines: Iterable[str]) -> Iterator[StoryLine]:
    for line in lines:
        prefix, brace, rest = line.partition('{')
        if not brace or job not in rest:
            continue
        try:
            record = json.loads(brace + rest)
        except ValueError:
            # A line that was cut is no record of a decision.
            continue
        if record.get('job') == job:
            yield _make_line(prefix, record)


def _make_line(prefix: str, record: dict[str, Any]) -> StoryLine:
    words = prefix.split()
    fields = {key: row for key, row in record.items() if key not in _COMMON}
    return StoryLine(
        record.get('timestamp', ''),
        words[-1] if words else '',
        record.get('event', ''),
        fields,
    )


def _read_timestamp(line: StoryLine) -> str:
    return line.timestamp


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """A wish to be told the story of a job; asks no daemon.

    :param job: identity of the job.
    :param files: files with logs; standard input when there are none.
    """

    job: str
    files: tuple[str, ...] = ()

    def tell(self) -> list[StoryLine]:
        """Return the story.

        :raises CommandError: when a file can't be read or says nothing.
        """
        story = read_story(self.job, self._read_lines())
        if not story:
            raise CommandError(
                ExitCode.REFUSED,
                f'no line on job {self.job}',
                'give the logs of all daemons of that time',
            )
        return story

    def _read_lines(self) -> list[str]:
        if not self.files:
            return list(sys.stdin)
        lines: list[str] = []
        for name in self.files:
            try:
                text = Path(name).read_text(errors='replace')
            except OSError as fault:
                advice = 'give files with logs, or none for standard input'
                raise make_usage_error(f'{name}: {fault}', advice) from fault
            lines.extend(text.splitlines())
        return lines
