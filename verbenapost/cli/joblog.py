"""Events of one job, read from the logs of the daemons."""

import dataclasses
import json
from collections.abc import Iterable, Iterator
from typing import Any, Final, final

from verbenapost.cli.exits import CommandError, ExitCode
from verbenapost.cli.loglines import LogRecord, find_records, read_lines

#: Fields that every record has and that :class:`JobEvent` does not repeat.
_COMMON_FIELDS: Final = frozenset(('event', 'timestamp', 'level', 'job'))


@final
@dataclasses.dataclass(frozen=True, slots=True)
class JobEvent:
    """One log record of a decision on a job.

    :param timestamp: time of the decision, as logged.
    :param daemon: last word before the record, such as the daemon's name.
    :param event: what was decided.
    :param fields: reasons for the decision, and the outcome.
    """

    timestamp: str
    daemon: str
    event: str
    fields: dict[str, Any]

    def show(self) -> str:
        """Return the event as a line of text."""
        details = ' '.join(f'{key}={text}' for key, text in self.fields.items())
        return f'{self.timestamp}  {self.daemon}  {self.event}  {details}'


def read_job_events(job: str, lines: Iterable[str]) -> list[JobEvent]:
    """Return the events of a job, in order of their timestamps.

    Lines of several daemons may be mixed, and each may have a prefix before
    its record, such as the name of the daemon.

    Examples
    ========

    >>> line = 'front-1 {"job": "5c0e", "event": "jobs: job taken", "steps": 2}'
    >>> read_job_events('5c0e', [line, 'noise', '{"job": "other"}'])[0].show()
    '  front-1  jobs: job taken  steps=2'

    :param job: identity of the job.
    :param lines: lines of the logs.
    """
    return sorted(_find_events(job, lines), key=_get_timestamp)


def _find_events(job: str, lines: Iterable[str]) -> Iterator[JobEvent]:
    for record in find_records(job, lines):
        if record.fields.get('job') == job:
            yield _make_event(record)


def _make_event(record: LogRecord) -> JobEvent:
    fields = {
        key: value
        for key, value in record.fields.items()
        if key not in _COMMON_FIELDS
    }
    return JobEvent(
        record.timestamp,
        record.daemon,
        record.fields.get('event', ''),
        fields,
    )


def _get_timestamp(job_event: JobEvent) -> str:
    return job_event.timestamp


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ExplainCommand:
    """The command ``explain``, which reads logs and sends no request.

    :param job: identity of the job.
    :param files: log files; standard input when there are none.
    """

    job: str
    files: tuple[str, ...] = ()

    def run(self, *, as_json: bool) -> str:
        """Return the events of the job as text.

        :param as_json: whether the text is JSON instead of lines.
        :raises CommandError: when a file cannot be read or there are no
            events.
        """
        events = read_job_events(self.job, read_lines(self.files))
        if not events:
            raise CommandError(
                ExitCode.REFUSED,
                f'no line on job {self.job}',
                'give the logs of all daemons of that time',
            )
        if as_json:
            rows = [dataclasses.asdict(job_event) for job_event in events]
            return json.dumps(rows, indent=2)
        return '\n'.join(job_event.show() for job_event in events)
