"""Tests of the use of tenants from the logs of several daemons."""

import io
import json
import sys

from verbenapost.cli.main import run_command
from verbenapost.cli.tenantlog import COLUMNS


def make_line(tenant, second, waiting, event='tenants: usage'):
    timestamp = f'2026-01-01T00:00:0{second}'
    record = {'timestamp': timestamp, 'event': event, 'tenant': tenant}
    return f'd1 {json.dumps(record | {"waiting": waiting})}\n'


LOG = ''.join(
    (
        make_line('two', 3, 7),
        make_line('one', 2, 4),
        make_line('one', 2, 5),
        make_line('one', 1, 6),
        make_line('one', 4, 9, 'tenants: usage ended'),
        make_line('', 5, 9),
        'd1 {"event": "tenants: usage", "tenant": "cut\nnoise\n',
    )
)


class TestTenants:
    """An older line must not be shown as the use of a tenant."""

    def test_the_newest_line_of_each_tenant_is_shown(self, tmp_path, capsys):
        """Logs of several leaders are not in order."""
        log = tmp_path / 'log'
        log.write_text(LOG)
        assert run_command(['tenants', str(log)]) == 0
        heading, *rows = capsys.readouterr().out.splitlines()
        assert heading.startswith('TENANT  RUNNING CORES')
        found = [(row.split()[0], row.split()[7]) for row in rows]
        assert found == [('one', '5'), ('two', '7')]

    def test_json_has_every_field(self, monkeypatch, capsys):
        monkeypatch.setattr(sys, 'stdin', io.StringIO(LOG))
        assert run_command(['--json', 'tenants']) == 0
        rows = json.loads(capsys.readouterr().out)
        assert [tuple(row) for row in rows] == [COLUMNS] * 2

    def test_logs_without_such_a_line_are_an_error(self, monkeypatch, capsys):
        monkeypatch.setattr(sys, 'stdin', io.StringIO('noise'))
        assert run_command(['tenants']) == 1
        assert 'no line tenants: usage' in capsys.readouterr().err
