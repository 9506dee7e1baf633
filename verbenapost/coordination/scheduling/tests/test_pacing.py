"""Tests of throttling best-effort tasks by the latency of serving tasks."""

import pytest

from verbenapost.coordination.scheduling.pacing import pace_worker
from verbenapost.coordination.scheduling.tests.sample import (
    SMALL,
    add_job,
    make_pool_state,
    make_row,
    report,
    start_all,
)
from verbenapost.state.workloads import StepSpec


class TestPacing:
    def make(self, load, pace=100):
        pool_state = make_pool_state()
        serving = StepSpec(1, SMALL, long_running=True, target=0.1)
        best_effort = StepSpec(1, SMALL, fills=True)
        add_job(pool_state, serving, best_effort)
        for start in start_all(pool_state):
            start.task.load = load
            start.task.pace = pace
        return pool_state.workers['w0']

    @pytest.mark.parametrize(
        ('load', 'pace', 'paces'),
        [
            (120, 100, [0]),
            (90, 100, [50]),
            (70, 50, []),
            (30, 50, [70]),
            (30, 100, []),
            (30, None, [100]),
            (70, None, []),
        ],
    )
    def test_the_highest_latency_decides(self, load, pace, paces):
        orders = pace_worker(self.make(load, pace))
        assert [order.pace for order in orders] == paces
        assert all(order.task.step.fills for order in orders)

    def test_the_progress_of_a_task_is_not_its_pace(self):
        pool_state = make_pool_state()
        serving = StepSpec(1, SMALL, long_running=True, target=0.1)
        add_job(pool_state, serving, StepSpec(1, SMALL, fills=True))
        starts = start_all(pool_state)
        rows = [make_row(start, load=30, progress=41) for start in starts]
        report(pool_state, 'w0', rows)
        assert pace_worker(pool_state.workers['w0']) == []
