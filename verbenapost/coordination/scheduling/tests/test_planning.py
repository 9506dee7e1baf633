"""Tests of planning with a backlog far beyond the pool's capacity.

The load: a burst of a queue with 180 VMs brings some hundred jobs at once.
"""

import collections

import pytest

from verbenapost.coordination.scheduling.admission import (
    WaitEstimateCache,
    estimate_wait,
)
from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.tests.sample import (
    ROUTE,
    add_job,
    end_run,
    make_entry,
    make_pool_state,
    plan,
    start_all,
)
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.protocol.orders import RunEndKind
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    JobSpec,
    StepSpec,
)

VMS = 180
JOBS = 300
WIDTH = 8
TASK = Resources(1500, 4400)


@pytest.fixture
def calls(monkeypatch):
    """Count the calls of ``Worker.has_capacity``."""
    counted = collections.Counter()
    has_capacity = Worker.has_capacity

    def count(worker, size):
        counted['has_capacity'] += 1
        return has_capacity(worker, size)

    monkeypatch.setattr(Worker, 'has_capacity', count)
    return counted


def make_backlog():
    pool_state = make_pool_state(
        *(
            make_entry(f'w{row}', capacity=Resources(16000, 65536))
            for row in range(VMS)
        )
    )
    for number in range(JOBS):
        add_job(pool_state, StepSpec(WIDTH, TASK), job=f'{number:016x}')
    return pool_state


class TestBacklog:
    def test_the_pool_is_filled(self):
        assert len(plan(make_backlog())) == VMS * 10

    def test_a_worker_is_checked_once_per_step_and_once_per_task(self, calls):
        pool_state = make_backlog()
        starts = len(plan(pool_state))
        steps = starts // WIDTH + 1
        assert calls['has_capacity'] <= steps * VMS + starts

    def test_a_size_without_capacity_is_tried_once_per_round(self, calls):
        pool_state = make_backlog()
        plan(pool_state)
        calls.clear()
        assert plan(pool_state) == []
        assert calls['has_capacity'] == VMS

    def test_smaller_tasks_start_behind_larger_ones(self):
        pool_state = make_backlog()
        plan(pool_state)
        add_job(pool_state, StepSpec(1, Resources(500, 100)), job='f' * 16)
        assert [row.task.key.job for row in plan(pool_state)] == ['f' * 16]

    def test_a_burst_of_requests_uses_one_estimate(self):
        pool_state = make_backlog()
        cache = WaitEstimateCache(lifetime=0.03)
        first = cache.get_wait(pool_state, 0, Moment(0, 0))
        plan(pool_state)
        assert cache.get_wait(pool_state, 0, Moment(0.02, 0)) == first
        later = Moment(0.05, 0)
        assert cache.get_wait(pool_state, 0, later) == estimate_wait(
            pool_state, 0, later
        )


class TestIdleJobs:
    """Jobs whose tasks all run are not scanned in each round."""

    def test_a_job_is_scanned_again_once_a_task_waits(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(2, Resources(1000, 100)))
        start, _ = start_all(pool_state)
        assert pool_state.find_waiting_steps(0) == []
        end_run(pool_state, start, RunEndKind.FAILED)
        assert [row.task for row in plan(pool_state)] == [start.task]

    def test_a_step_opens_with_the_last_end_of_its_predecessor(self):
        pool_state = make_pool_state()
        first = StepSpec(1, Resources(1000, 100))
        second = StepSpec(3, Resources(1000, 100), after=(0,))
        add_job(pool_state, first, second)
        (start,) = start_all(pool_state)
        assert pool_state.find_waiting_steps(0) == []
        end_run(pool_state, start)
        assert len(plan(pool_state)) == 3

    def test_an_occurrence_starts_at_its_time(self):
        pool_state = make_pool_state()
        spec = JobSpec(
            'f' * 16,
            ROUTE.name,
            'text',
            (StepSpec(1, Resources(1000, 100)),),
            'routing',
            repetitions=2,
            start_at=10,
            interval=10,
        )
        pool_state.add_job(Job(spec, 0), ROUTE)
        assert [len(plan(pool_state, wall=wall)) for wall in (0, 10, 20)] == [
            0,
            1,
            1,
        ]
