"""Tests of the validation and parsing of callers' requests."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from verbenapost.protocol.errors import ErrorKind, Outcome
from verbenapost.protocol.requests import Priority, parse_caller_request

KEY = '01890a5d-ac96-774b-bcce-b302099a8057'


def parse(path='/booking/visits', method='POST', **headers):
    raw = [(name.replace('_', '-'), text) for name, text in headers.items()]
    return parse_caller_request(method, path, raw)


class TestValidRequests:
    def test_defaults(self):
        request = parse().unwrap()
        assert (request.service, request.path) == ('booking', '/visits')
        assert (request.key, request.team, request.token) == ('', '', '')
        assert request.priority == Priority(3, incremental=False)
        assert request.timeout == 30

    def test_all_headers(self):
        request = parse(
            idempotency_key=KEY.upper(),
            priority='u=0, i',
            x_request_timeout='2.5',
            x_team='shop',
            authorization='bearer abc.def==',
            accept='*/*',
        ).unwrap()
        assert request.key == KEY
        assert request.key_time == 0x01890A5DAC96 / 1000
        assert request.priority == Priority(0, incremental=True)
        assert (request.timeout, request.team) == (2.5, 'shop')
        assert request.token == 'abc.def=='
        assert 'abc.def' not in repr(request)

    def test_quoted_key(self):
        assert parse(idempotency_key=f'"{KEY}"').unwrap().key == KEY

    @pytest.mark.parametrize(
        ('path', 'rest', 'route_path'),
        [
            ('/booking', '/', '/'),
            ('/booking/', '/', '/'),
            ('/booking/a/', '/a/', '/a/'),
            ('/booking/%63ert', '/%63ert', '/cert'),
            ('/booking/a?b=/../c', '/a?b=/../c', '/a'),
            ('/booking?', '/?', '/'),
            ('/booking/a.b/..c', '/a.b/..c', '/a.b/..c'),
        ],
    )
    def test_paths(self, path, rest, route_path):
        request = parse(path).unwrap()
        assert (request.path, request.route_path) == (rest, route_path)

    @pytest.mark.parametrize(
        ('text', 'urgency', 'incremental'),
        [
            ('', 3, False),
            ('u=7', 7, False),
            ('u=2,i=?0', 2, False),
            ('i , u=5', 5, True),
            ('u=1, u=6', 6, False),
            ('u=4;x=1, new="a, b", other', 4, False),
        ],
    )
    def test_priorities(self, text, urgency, incremental):
        priority = parse(priority=text).unwrap().priority
        assert priority == Priority(urgency, incremental)

    def test_repeated_priority_lines_are_joined(self):
        raw = [('priority', 'u=1'), ('priority', 'i')]
        request = parse_caller_request('GET', '/booking', raw).unwrap()
        assert request.priority == Priority(1, incremental=True)


class TestInvalidRequests:
    @pytest.mark.parametrize(
        ('name', 'text', 'detail'),
        [
            ('idempotency-key', '', 'Idempotency-Key'),
            ('idempotency-key', 'abc', 'Idempotency-Key'),
            ('idempotency-key', KEY.replace('-7', '-4'), 'version 7'),
            ('idempotency-key', KEY.replace('-b', '-c'), 'version 7'),
            ('idempotency-key', KEY.replace('-', ''), 'version 7'),
            ('idempotency-key', f'{KEY}\n', 'version 7'),
            ('idempotency-key', f'{{{KEY}}}', 'version 7'),
            ('priority', 'u=8', '0 to 7'),
            ('priority', 'u=-1', '0 to 7'),
            ('priority', 'u=1.5', '0 to 7'),
            ('priority', 'u=high', '0 to 7'),
            ('priority', 'u', '0 to 7'),
            ('priority', 'i=1', 'boolean'),
            ('priority', 'u=1,', 'form'),
            ('priority', 'U=1', 'form'),
            ('priority', 'u==1', 'form'),
            ('priority', 'u=\xb2', 'form'),
            ('x-request-timeout', '', 'number of seconds'),
            ('x-request-timeout', '-1', 'number of seconds'),
            ('x-request-timeout', '1e3', 'number of seconds'),
            ('x-request-timeout', 'nan', 'number of seconds'),
            ('x-request-timeout', '\xb2', 'number of seconds'),
            ('x-request-timeout', '0', '0.01 to 3600'),
            ('x-request-timeout', '3601', '0.01 to 3600'),
            ('x-team', '', 'name of a team'),
            ('x-team', 'Shop', 'name of a team'),
            ('x-team', 'a/b', 'name of a team'),
            ('authorization', 'Basic abc', 'bearer'),
            ('authorization', 'Bearer ', 'bearer'),
            ('authorization', 'Bearer a b', 'bearer'),
        ],
    )
    def test_malformed_header(self, name, text, detail):
        raw = [(name, text)]
        failure = parse_caller_request('POST', '/booking', raw).unwrap_err()
        assert failure.kind is ErrorKind.BAD_REQUEST
        assert failure.outcome is Outcome.NOT_RUN
        assert detail in failure.detail

    @pytest.mark.parametrize(
        'path',
        [
            '',
            '/',
            'booking',
            '//booking',
            '/Booking/a',
            '/-/live',
            '/booking/a#b',
            '/booking/a b',
            '/booking/a?b c',
            '/booking/a?b\r\nc',
            '/booking/\xe9',
            '/booking//a',
            '/booking/../a',
            '/booking/%2e%2E/a',
            '/booking/a%2f..%2fb',
            '/booking/a/.',
            '/booking/..%5ca',
            '/booking/' + 'a' * 4096,
        ],
    )
    def test_malformed_path(self, path):
        failure = parse(path).unwrap_err()
        assert failure.kind is ErrorKind.BAD_REQUEST
        assert 'path' in failure.detail

    @pytest.mark.parametrize('method', ['TRACE', 'CONNECT', 'get', ''])
    def test_unsupported_method(self, method):
        assert 'method' in parse(method=method).unwrap_err().detail

    @pytest.mark.parametrize(
        'name',
        ['idempotency-key', 'x-request-timeout', 'x-team', 'authorization'],
    )
    def test_repeated_header(self, name):
        raw = [(name, '1')] * 2
        failure = parse_caller_request('POST', '/booking', raw).unwrap_err()
        assert failure.detail == f'{name} is given twice.'

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        path=st.text(max_size=30).map(lambda rest: f'/booking/{rest}'),
        name=st.sampled_from(['priority', 'x-team', 'idempotency-key']),
        text=st.text(max_size=40),
    )
    def test_any_input_gets_a_result(self, path, name, text):
        parsed = parse_caller_request('GET', path, [(name, text)])
        if isinstance(parsed, Ok):
            assert parsed.ok_value.service == 'booking'
        else:
            assert parsed.err_value.detail
