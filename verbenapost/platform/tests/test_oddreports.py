"""An odd report of a worker is a fault and raises nothing."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from verbenapost.platform import workers
from verbenapost.platform.http import Answer, decode_body
from verbenapost.platform.tests.entries import JSON, ODD_COUNTS
from verbenapost.protocol.orders import CallFaultKind

JOB = '5c0e7a21d94b36f8'


class TestReports:
    """What answers at an entry's address may be any server."""

    TASK = f'{JOB}.0.1.17'

    def read(self, **fields):
        body = json.dumps({'clock_ms': 1} | fields).encode()
        answer = Answer(200, decode_body(body))
        return workers._read_report(answer)

    @pytest.mark.parametrize(
        'row',
        [
            None,
            7,
            [],
            {},
            [TASK],
            [TASK, float('inf')],
            [TASK, float('nan')],
            [TASK, -1],
            [TASK, 2**63],
            [TASK, 10**400],
            [TASK, None],
            [TASK, 1, '\ud800'],
            [TASK, 1, ['x']],
            [TASK, 1, '', float('inf')],
            [TASK, 1, '', 100, float('inf')],
            [TASK, 1, '', 100, 10**400],
            [TASK, 1, '', 100, -1],
            [f'{JOB}.0.1.' + '9' * 5000, 1],
        ],
    )
    def test_odd_run_is_a_fault(self, row):
        kind = self.read(running=[row]).err_value.kind
        assert kind is CallFaultKind.UNKNOWN
        end = [1, *row[:2], 'done'] if isinstance(row, list) else row
        found = self.read(ended_runs=[end])
        assert isinstance(found, Ok) or (
            found.err_value.kind is CallFaultKind.UNKNOWN
        )

    @pytest.mark.parametrize('number', [*ODD_COUNTS, '{}'])
    def test_odd_clock_is_a_fault(self, number):
        body = decode_body(f'{{"clock_ms":{number}}}'.encode())
        answer = Answer(200, body or {})
        assert isinstance(workers._read_report(answer), Err)
        assert isinstance(workers._read_clock(answer), Err)
        refused = workers._check_status(Answer(409, body or {}))
        assert refused.err_value.clock is None

    @settings(derandomize=True, max_examples=400)
    @given(
        st.lists(JSON, max_size=6), st.sampled_from(('running', 'ended_runs'))
    )
    def test_any_row_gives_a_report_or_a_fault(self, row, name):
        found = self.read(**{name: [row], 'born': 1})
        assert isinstance(found, Ok) or (
            found.err_value.kind is CallFaultKind.UNKNOWN
        )
