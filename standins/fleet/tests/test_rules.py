"""Each rule catches a history that breaks it."""

import pytest

from standins.fleet.rules import find_violations
from standins.fleet.workers import Begun, Ended, Forgotten
from verbenapost.protocol.orders import EndKind
from verbenapost.state.workloads import TaskKey

STEPS = {
    'j': [{'count': 2, 'cpu': 600}, {'count': 1, 'cpu': 600, 'after': [0]}]
}
ROOMS = {'w0': 1000, 'w1': 1000}


def begin(index=0, run=1, worker='w0', step=0, job='j'):
    return Begun(0, worker, TaskKey(job, 0, step, index), run)


def end(index=0, run=1, worker='w0', kind=EndKind.DONE):
    return Ended(0, worker, TaskKey('j', 0, 0, index), run, kind)


FAILED_RUNS = [
    event
    for run in range(1, 4)
    for event in (begin(run=run), end(run=run, kind=EndKind.FAILED))
]


class TestRules:
    @pytest.mark.parametrize(
        ('rule', 'history'),
        [
            ('twice', [begin(), begin(run=2, worker='w1')]),
            ('after_done', [begin(), end(), begin(run=2)]),
            ('order', [begin(), end(), begin(step=1)]),
            ('limit', [begin(0), begin(1)]),
            ('budget', [*FAILED_RUNS, begin(run=4)]),
            ('unasked', [begin(job='other')]),
        ],
    )
    def test_a_bad_history_is_caught(self, rule, history):
        found = find_violations(history, STEPS, ROOMS)
        assert [row.rule for row in found] == [rule]

    def test_a_good_history_passes(self):
        history = [
            begin(0),
            end(0),
            begin(1, worker='w1'),
            end(1, worker='w1', kind=EndKind.FAILED),
            begin(1, run=2),
            end(1, run=2),
            begin(step=1),
        ]
        assert find_violations(history, STEPS, ROOMS) == []

    def test_an_end_that_was_lost_with_its_worker_may_run_again(self):
        lost = Forgotten(TaskKey('j', 0, 0, 0), 1, EndKind.DONE)
        history = [begin(), end(), lost, begin(run=2)]
        assert find_violations(history, STEPS, ROOMS) == []
