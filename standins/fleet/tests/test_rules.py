"""Each rule detects a history that violates it."""

import pytest

from standins.fleet.rules import find_violations
from standins.fleet.workers import EndLost, RunCrashed, RunEnded, RunStarted
from verbenapost.protocol.orders import RunEndKind
from verbenapost.state.workloads import TaskKey

STEPS = {
    'j': [{'count': 2, 'cpu': 600}, {'count': 1, 'cpu': 600, 'after': [0]}]
}
CAPACITIES = {'w0': 1000, 'w1': 1000}


def start_run(index=0, run=1, worker='w0', step=0, job='j'):
    return RunStarted(0, worker, TaskKey(job, 0, step, index), run)


def end_run(index=0, run=1, worker='w0', kind=RunEndKind.DONE):
    return RunEnded(0, worker, TaskKey('j', 0, 0, index), run, kind)


FAILED_RUNS = [
    event
    for run in range(1, 4)
    for event in (start_run(run=run), end_run(run=run, kind=RunEndKind.FAILED))
]

CRASHED_RUNS = [
    event
    for run in range(1, 4)
    for event in (
        start_run(run=run),
        RunCrashed(0, 'w0', TaskKey('j', 0, 0, 0), run, RunEndKind.LAPSED),
    )
]
LAPSED_RUNS = [
    event
    for run in range(4, 6)
    for event in (start_run(run=run), end_run(run=run, kind=RunEndKind.LAPSED))
]


class TestRules:
    @pytest.mark.parametrize(
        ('rule', 'history'),
        [
            ('twice', [start_run(), start_run(run=2, worker='w1')]),
            ('after_done', [start_run(), end_run(), start_run(run=2)]),
            ('order', [start_run(), end_run(), start_run(step=1)]),
            ('limit', [start_run(0), start_run(1)]),
            ('budget', [*FAILED_RUNS, start_run(run=4)]),
            ('unasked', [start_run(job='other')]),
            ('crashes', [*CRASHED_RUNS, *LAPSED_RUNS, start_run(run=6)]),
        ],
    )
    def test_a_violation_is_detected(self, rule, history):
        found = find_violations(history, STEPS, CAPACITIES)
        assert [row.rule for row in found] == [rule]

    def test_a_task_that_lasts_starts_again_after_it_was_done(self):
        history = [start_run(), end_run(), start_run(run=2)]
        lasting = {
            job: [row | {'long_running': True} for row in rows]
            for job, rows in STEPS.items()
        }
        assert find_violations(history, lasting, CAPACITIES) == []
        assert find_violations(history, STEPS, CAPACITIES) != []

    def test_a_valid_history_has_no_violations(self):
        history = [
            start_run(0),
            end_run(0),
            start_run(1, worker='w1'),
            end_run(1, worker='w1', kind=RunEndKind.FAILED),
            start_run(1, run=2),
            end_run(1, run=2),
            start_run(step=1),
        ]
        assert find_violations(history, STEPS, CAPACITIES) == []

    def test_two_starts_after_three_crashes_violate_no_rule(self):
        history = [*CRASHED_RUNS, *LAPSED_RUNS]
        assert find_violations(history, STEPS, CAPACITIES) == []

    def test_an_end_that_was_lost_with_its_worker_may_run_again(self):
        lost = EndLost(TaskKey('j', 0, 0, 0), 1, RunEndKind.DONE)
        history = [start_run(), end_run(), lost, start_run(run=2)]
        assert find_violations(history, STEPS, CAPACITIES) == []
