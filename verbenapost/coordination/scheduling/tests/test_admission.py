"""Admission beside jobs with several occurrences, and that can't run."""

import pytest

from verbenapost.coordination.scheduling.admission import (
    JobDemand,
    decide_admission,
    estimate_wait,
)
from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.tests.sample import (
    ROUTE,
    SMALL,
    add_job,
    make_pool_state,
    plan,
)
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    JobSpec,
    StepSpec,
)

#: Unix seconds of all tests.
WALL = 1000.0

NOW = Moment(now=0.0, wall=WALL)


def add_timed_job(pool_state, start_in, interval=3.0, count=4, job='a' * 16):
    """Add a job with six occurrences, the first one due in some seconds."""
    spec = JobSpec(
        job,
        ROUTE.name,
        'text',
        (StepSpec(count, SMALL),),
        'routing',
        repetitions=6,
        start_at=WALL + start_in,
        interval=interval,
    )
    made = Job(spec, NOW.now)
    pool_state.add_job(made, ROUTE)
    return made


class TestEstimatedWait:
    """One worker of four cores; each task has one core for a second."""

    def test_occurrences_of_later_do_not_wait_now(self):
        pool_state = make_pool_state()
        add_timed_job(pool_state, start_in=30)
        assert estimate_wait(pool_state, 0, NOW) == 0

    def test_an_occurrence_that_is_due_waits(self):
        pool_state = make_pool_state()
        add_timed_job(pool_state, start_in=0)
        assert estimate_wait(pool_state, 0, NOW) == 1

    def test_an_occurrence_due_before_the_backlog_has_started_counts(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(8, SMALL))
        add_timed_job(pool_state, start_in=1)
        assert estimate_wait(pool_state, 0, NOW) == 3

    def test_an_occurrence_due_after_the_backlog_has_started_does_not(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(8, SMALL))
        add_timed_job(pool_state, start_in=2.5)
        assert estimate_wait(pool_state, 0, NOW) == 2

    @pytest.mark.parametrize(
        'step',
        [
            StepSpec(500, SMALL, requires='other kind'),
            StepSpec(500, Resources(1000, 9000)),
        ],
    )
    def test_tasks_that_fit_on_no_worker_leave_the_pool_open(self, step):
        """Guards against refusals for good behind a job that can't run."""
        pool_state = make_pool_state()
        add_job(pool_state, step)
        assert plan(pool_state, wall=WALL) == []
        assert estimate_wait(pool_state, 0, NOW) == 0
        add_job(pool_state, StepSpec(8, SMALL), job='b' * 16)
        assert estimate_wait(pool_state, 0, NOW) == 2

    def test_tasks_that_may_fit_on_a_vm_that_joins_wait(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(8, SMALL, requires='other kind'))
        assert estimate_wait(pool_state, 4, NOW) == 1

    def test_many_scheduled_jobs_leave_a_free_pool_open(self):
        pool_state = make_pool_state()
        for number in range(50):
            add_timed_job(pool_state, start_in=5 + number, job=f'{number:016x}')
        wait = estimate_wait(pool_state, 0, NOW)
        assert decide_admission(pool_state, JobDemand(ROUTE), wait).accepted


class TestScheduledJob:
    def test_it_is_accepted_if_the_backlog_starts_before_it_is_due(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(20, SMALL))
        wait = estimate_wait(pool_state, 0, NOW)
        due_now = JobDemand(ROUTE)
        due_later = JobDemand(ROUTE, due_in=5)
        assert not decide_admission(pool_state, due_now, wait).accepted
        assert decide_admission(pool_state, due_later, wait).accepted

    def test_an_occurrence_waits_since_it_became_due(self):
        pool_state = make_pool_state()
        timed = add_timed_job(pool_state, start_in=30, job='a' * 16)
        add_job(pool_state, StepSpec(4, SMALL), job='b' * 16, now=30.5)
        plan(pool_state, 31.0, WALL + 31)
        assert all(task.state.placed for task in timed.occurrences[0][0].tasks)
