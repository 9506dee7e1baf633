"""Use of the fleet by tenants, read from the logs of the daemons."""

import dataclasses
import json
from collections.abc import Iterable
from typing import Any, Final, final

from verbenapost.cli.exits import CommandError, ExitCode
from verbenapost.cli.loglines import LogRecord, find_records, read_lines
from verbenapost.cli.tables import format_table

#: Event of the log lines with the use of one tenant.
USAGE_EVENT: Final = 'tenants: usage'

#: Fields of these lines that are shown, in order.
COLUMNS: Final = (
    'tenant',
    'running_cores',
    'running_memory_mb',
    'running_gpus',
    'cap_cores',
    'cap_memory_mb',
    'cap_gpus',
    'waiting',
    'refused_rate',
    'refused_quota',
    'refused_full',
    'timestamp',
)


def read_usage(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the newest use of each tenant, by name.

    The lines need not be in order, since each leader has its own log.

    Examples
    ========

    >>> line = '{"event": "tenants: usage", "tenant": "a", "waiting": 2}'
    >>> read_usage([line])[0]['waiting']
    2

    :param lines: lines of the logs.
    """
    newest: dict[str, LogRecord] = {}
    for record in find_records(USAGE_EVENT, lines):
        tenant = record.fields.get('tenant')
        if record.fields.get('event') != USAGE_EVENT or not tenant:
            continue
        known = newest.get(str(tenant))
        if known is None or known.timestamp <= record.timestamp:
            newest[str(tenant)] = record
    return [
        {column: newest[name].fields.get(column) for column in COLUMNS}
        for name in sorted(newest)
    ]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TenantsCommand:
    """The command ``tenants``, which reads logs and sends no request.

    :param files: log files; standard input when there are none.
    """

    files: tuple[str, ...] = ()

    def run(self, *, as_json: bool) -> str:
        """Return the newest use of each tenant as text.

        :param as_json: whether the text is JSON instead of a table.
        :raises CommandError: when a file can't be read or has no such line.
        """
        rows = read_usage(read_lines(self.files))
        if not rows:
            raise CommandError(
                ExitCode.REFUSED,
                f'no line {USAGE_EVENT}',
                'give the logs of all daemons; a tenant has such lines while '
                'it is at its cap, has work waiting or had a job refused',
            )
        if as_json:
            return json.dumps(rows, indent=2)
        return format_table(COLUMNS, rows)
