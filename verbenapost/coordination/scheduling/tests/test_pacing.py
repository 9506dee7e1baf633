"""Tests of throttling best-effort tasks by the latency of serving tasks."""

import pytest

from verbenapost.coordination.scheduling.pacing import pace_worker
from verbenapost.coordination.scheduling.tests.sample import (
    SMALL,
    add_job,
    make_pool_state,
    start_all,
)
from verbenapost.state.workloads import StepSpec


class TestPacing:
    def make(self, load, percent=100):
        pool_state = make_pool_state()
        serving = StepSpec(1, SMALL, long_running=True, target=0.1)
        best_effort = StepSpec(1, SMALL, fills=True)
        add_job(pool_state, serving, best_effort)
        for start in start_all(pool_state):
            start.task.load = load
            start.task.percent = percent
        return pool_state.workers['w0']

    @pytest.mark.parametrize(
        ('load', 'percent', 'percents'),
        [
            (120, 100, [0]),
            (90, 100, [50]),
            (70, 50, []),
            (30, 50, [70]),
            (30, 100, []),
        ],
    )
    def test_the_highest_latency_decides(self, load, percent, percents):
        orders = pace_worker(self.make(load, percent))
        assert [order.percent for order in orders] == percents
        assert all(order.task.step.fills for order in orders)
