"""Tests of the events of a job from the logs of several daemons."""

import io
import json
import sys

from verbenapost.cli.joblog import read_job_events
from verbenapost.cli.main import run_command


def make_log_line(daemon, timestamp, event, **fields):
    record = {'timestamp': timestamp, 'event': event, **fields}
    return f'  12.5 {daemon} {json.dumps(record)}\n'


LINES = [
    make_log_line('d2', '2026-01-01T00:00:02', 'entry: submission', job='a'),
    make_log_line('d1', '2026-01-01T00:00:03', 'fleet: order', job='a', run=1),
    make_log_line('d1', '2026-01-01T00:00:01', 'leader: admitted', job='a'),
    make_log_line('d1', '2026-01-01T00:00:01', 'leader: admitted', job='b'),
    'd1 {"job": "a", "event": "cut',
]


class TestJobEvents:
    def test_events_of_all_daemons_are_sorted_by_time(self):
        events = read_job_events('a', LINES)
        assert [job_event.daemon for job_event in events] == ['d1', 'd2', 'd1']
        assert events[-1].fields == {'run': 1}

    def test_the_command_reads_standard_input(self, monkeypatch, capsys):
        monkeypatch.setattr(sys, 'stdin', io.StringIO(''.join(LINES)))
        assert run_command(['explain', 'a']) == 0
        assert 'fleet: order  run=1' in capsys.readouterr().out

    def test_a_job_that_the_log_does_not_know_is_an_error(
        self, tmp_path, capsys
    ):
        log = tmp_path / 'log'
        log.write_text(''.join(LINES))
        assert run_command(['explain', 'c', str(log)]) == 1
        assert 'no line on job c' in capsys.readouterr().err

    def test_a_file_that_is_missing_is_an_error(self, capsys):
        assert run_command(['explain', 'c', '/nowhere/log']) == 2
        assert '/nowhere/log' in capsys.readouterr().err
