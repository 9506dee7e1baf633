"""Demand of jobs with several occurrences."""

import pytest

from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.tests.sample import (
    CAPACITY,
    ROUTE,
    SMALL,
    make_pool_state,
)
from verbenapost.daemon.logs import make_logger
from verbenapost.scheduler.demands import PoolDemands
from verbenapost.state.workloads import JobSpec, StepSpec

WALL = 1000.0
LEAD_SECONDS = 2.5


def make_scheduled(due_in, interval=10.0):
    return JobSpec(
        'a' * 16,
        ROUTE.name,
        'text',
        (StepSpec(12, SMALL),),
        'routing',
        repetitions=3,
        start_at=WALL + due_in,
        interval=interval,
    )


class TestScheduledJobs:
    """A scheduled job needs its VMs when it is due, not when it arrives."""

    def measure(self, due_in, *times):
        pool_state = make_pool_state()
        demands = PoolDemands(LEAD_SECONDS, make_logger('demands'))
        job = Job(make_scheduled(due_in), 0.0)
        pool_state.add_job(job, ROUTE)
        demands.note_job(pool_state, job)
        return [
            demands.measure(pool_state, CAPACITY, Moment(now, WALL + now)).cores
            for now in times
        ]

    def test_it_counts_as_soon_as_vms_have_to_be_ordered(self):
        early, ordered = self.measure(20, 17, 18)
        assert early == 0
        assert ordered >= 12

    def test_an_occurrence_is_counted_once(self):
        once, twice = self.measure(20, 18, 18.25)
        assert once == pytest.approx(twice)
