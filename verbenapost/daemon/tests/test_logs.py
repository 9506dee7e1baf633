"""Tests of the log."""

import io
import json

import pytest
from pydantic import SecretStr

from verbenapost.daemon.logs import bind_request, configure_logs, make_logger
from verbenapost.daemon.settings import LogSettings


@pytest.fixture
def stream():
    lines = io.StringIO()
    configure_logs(LogSettings(), lines)
    yield lines
    configure_logs(LogSettings())


def read_lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class TestLogs:
    def test_prefix_level_and_request_id(self, stream):
        log = make_logger('queue')
        with bind_request('r-1'):
            log.info('granted', service='booking')
        log.warning('owner lost')
        first, second = read_lines(stream)
        assert first['event'] == 'queue: granted'
        assert (first['request_id'], first['level']) == ('r-1', 'info')
        assert second['event'] == 'queue: owner lost'
        assert 'request_id' not in second

    def test_no_secret_is_written(self, stream):
        make_logger('peers').error(
            'sent authorization: Bearer hush-1',
            peer_key='hush-2',
            headers={'Authorization': 'hush-3', 'x': ['bearer hush-4']},
            shared=SecretStr('hush-5'),
        )
        assert 'hush' not in stream.getvalue()
        assert 'peers: sent' in stream.getvalue()

    def test_traceback_is_masked_too(self, stream):
        try:
            int('Bearer hush')
        except ValueError:
            make_logger('entry').exception('failed')
        assert 'ValueError' in read_lines(stream)[0]['exception']
        assert 'hush' not in stream.getvalue()

    def test_level_and_console_format(self, stream):
        configure_logs(LogSettings('console', 'warning'), stream)
        make_logger('queue').info('hidden')
        make_logger('queue').warning('shown')
        assert 'hidden' not in stream.getvalue()
        assert 'queue: shown' in stream.getvalue()
