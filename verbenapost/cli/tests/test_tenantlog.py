"""Tests of the use of tenants from the logs of several daemons."""

import io
import json
import sys

from verbenapost.cli.main import run_command
from verbenapost.cli.tenantlog import COLUMNS, USAGE_EVENT, read_usage


def make_usage_line(tenant, second, event=USAGE_EVENT, **fields):
    record = {
        'timestamp': f'2026-01-01T00:00:0{second}',
        'event': event,
        'tenant': tenant,
        'running_cores': 12.5,
        'cap_cores': 20,
        'waiting': 0,
        **fields,
    }
    return f'  12.5 d1 {json.dumps(record)}\n'


LINES = [
    make_usage_line('two', 3, waiting=7, refused_quota=1),
    make_usage_line('one', 2, waiting=5),
    make_usage_line('one', 1, waiting=4),
    make_usage_line('one', 4, event='tenants: usage ended', waiting=9),
    make_usage_line('', 5),
    'd1 {"event": "tenants: usage", "tenant": "cut',
    'noise',
]


class TestUsage:
    def test_the_newest_line_of_each_tenant_counts(self):
        """Logs of several leaders are not in order."""
        rows = read_usage(LINES)
        found = [(row['tenant'], row['waiting']) for row in rows]
        assert found == [('one', 5), ('two', 7)]

    def test_a_later_line_of_the_same_time_counts(self):
        lines = [make_usage_line('one', 1, waiting=row) for row in (1, 2)]
        assert read_usage(lines)[0]['waiting'] == 2

    def test_the_command_prints_a_table(self, tmp_path, capsys):
        log = tmp_path / 'log'
        log.write_text(''.join(LINES))
        assert run_command(['tenants', str(log)]) == 0
        heading, one, two = capsys.readouterr().out.splitlines()
        assert heading.split()[:3] == ['TENANT', 'RUNNING', 'CORES']
        assert one.split()[:2] == ['one', '12.5']
        assert two.split()[-1] == '2026-01-01T00:00:03'

    def test_the_command_prints_json_from_standard_input(
        self, monkeypatch, capsys
    ):
        monkeypatch.setattr(sys, 'stdin', io.StringIO(''.join(LINES)))
        assert run_command(['--json', 'tenants']) == 0
        rows = json.loads(capsys.readouterr().out)
        assert [list(row) for row in rows] == [list(COLUMNS)] * 2
        assert rows[1]['refused_quota'] == 1
        assert rows[0]['refused_quota'] is None

    def test_logs_without_such_a_line_are_an_error(self, tmp_path, capsys):
        log = tmp_path / 'log'
        log.write_text('noise\n')
        assert run_command(['tenants', str(log)]) == 1
        assert USAGE_EVENT in capsys.readouterr().err

    def test_a_file_that_is_missing_is_an_error(self, capsys):
        assert run_command(['tenants', '/nowhere/log']) == 2
        assert '/nowhere/log' in capsys.readouterr().err
