"""Admission of tenants' jobs: rates, waits at fair shares, and refusals."""

import pytest

from verbenapost.coordination.scheduling.admission import (
    JobDemand,
    estimate_wait,
)
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.ratebuckets import (
    MAX_TOKEN_SECONDS,
    RateBucket,
)
from verbenapost.coordination.scheduling.tenantadmission import (
    PoolWait,
    TenantAdmission,
    TenantJob,
)
from verbenapost.coordination.scheduling.tenantbacklog import BacklogCache
from verbenapost.coordination.scheduling.tests.sample import (
    ROUTE,
    SMALL,
    add_job,
    end_run,
    make_pool_state,
    plan,
    start_all,
)
from verbenapost.state.resources import Resources
from verbenapost.state.tenants import TenantTerms
from verbenapost.state.workloads import StepSpec

FLOOD = TenantTerms('flood', 1)
OTHER = TenantTerms('other', 1)


class PoolAdmission:
    """Admission to one pool, whose workers are full or not."""

    def __init__(self, backlog=0, tenant=FLOOD):
        self.pool_state = make_pool_state()
        self.admission = TenantAdmission()
        self.number = 0
        if backlog:
            add_job(self.pool_state, StepSpec(4, SMALL), tenant=tenant)
            self.running = start_all(self.pool_state)
            step = StepSpec(backlog, SMALL)
            add_job(self.pool_state, step, job='b' * 16, tenant=tenant)
            plan(self.pool_state)

    def ask(self, terms, now=0.0, job=None, orders=0.0, cores=1.0):
        self.number += 1
        moment = Moment(now, now)
        wait = PoolWait(estimate_wait(self.pool_state, 0, moment), orders)
        return self.admission.decide(
            self.pool_state,
            TenantJob(
                job or f'{self.number:016x}', terms, JobDemand(ROUTE), cores
            ),
            wait,
            moment,
        )

    def ask_many(self, terms, count, now=0.0):
        return [self.ask(terms, now).reason for _ in range(count)]


class TestRate:
    """A tenant beyond its rate must be refused before others wait for it."""

    def test_jobs_beyond_the_rate_are_refused_while_others_wait(self):
        pool = PoolAdmission(backlog=1, tenant=OTHER)
        assert pool.ask_many(FLOOD, 7) == [None] * 5 + ['rate'] * 2
        assert pool.admission.refused == {('flood', 'rate'): 2}

    def test_they_are_accepted_as_far_as_the_pool_is_free(self):
        """Accepted jobs that are on their way use capacity as well."""
        pool = PoolAdmission()
        for _ in range(5):
            pool.ask(FLOOD, 0)
        assert pool.ask_many(FLOOD, 6, now=1.0) == [None] * 4 + ['rate'] * 2

    def test_the_bucket_fills_at_the_rate(self):
        pool = PoolAdmission(backlog=1, tenant=OTHER)
        pool.ask_many(FLOOD, 6)
        assert pool.ask_many(FLOOD, 3, now=2.0) == [None, None, 'rate']

    def test_a_job_that_comes_again_takes_no_second_token(self):
        pool = PoolAdmission(backlog=1, tenant=OTHER)
        for _ in range(20):
            assert pool.ask(FLOOD, job='a' * 16).reason is None
        assert pool.ask_many(FLOOD, 5) == [None] * 4 + ['rate']

    def test_one_tenant_takes_no_tokens_of_another(self):
        pool = PoolAdmission(backlog=1, tenant=OTHER)
        pool.ask_many(FLOOD, 50)
        assert pool.ask(TenantTerms('third', 1)).reason is None

    def test_a_tenant_of_weight_0_gets_what_is_free(self):
        nobody = TenantTerms('nobody', 0)
        assert PoolAdmission().ask(nobody).reason is None
        assert (
            PoolAdmission(backlog=1, tenant=OTHER).ask(nobody).reason == 'rate'
        )

    def test_refused_callers_are_told_different_times(self):
        pool = PoolAdmission(backlog=1, tenant=OTHER)
        pool.ask_many(FLOOD, 5)
        told = [pool.ask(FLOOD).outcome.retry_after for _ in range(3)]
        assert told == [1, 2, 3]

    def test_a_caller_that_returns_when_told_gets_a_token(self):
        bucket = RateBucket(2, now=0)
        for number in range(5):
            bucket.take(f'{number}', 2, now=0)
        told = {f'late {number}': bucket.promise(0) for number in range(6)}
        assert max(told.values()) <= MAX_TOKEN_SECONDS
        assert all(bucket.take(job, 2, now) for job, now in told.items())

    def test_steps_that_are_not_open_yet_are_in_nobodys_way(self):
        pool = PoolAdmission()
        first = StepSpec(1, SMALL)
        second = StepSpec(1, SMALL, after=(0,))
        add_job(pool.pool_state, first, second, tenant=OTHER)
        plan(pool.pool_state)
        assert pool.ask(TenantTerms('nobody', 0)).reason is None


class TestArrivingJobs:
    def test_those_that_have_arrived_are_forgotten(self):
        """The leader would remember each accepted job for good."""
        cache = BacklogCache(1)
        for number in range(1000):
            cache.note_accepted('routing', 1, number)
        assert len(cache._accepted['routing']) == 1


class TestFairShare:
    """The backlog of one tenant must not refuse the jobs of others."""

    def test_a_flood_does_not_refuse_others(self):
        """Six seconds of one tenant's work wait; a job may wait 1.2 s."""
        pool = PoolAdmission(backlog=24)
        assert pool.ask(OTHER).reason is None
        refusal = pool.ask(FLOOD)
        assert refusal.reason == 'full'
        assert refusal.outcome.retry_after > 1

    @pytest.mark.parametrize(('weight', 'wait'), [(1, 2.0), (3, 4 / 3)])
    def test_the_wait_is_that_of_the_own_backlog(self, weight, wait):
        pool = PoolAdmission(backlog=40)
        terms = TenantTerms('other', weight)
        add_job(pool.pool_state, StepSpec(4, SMALL), job='c' * 16, tenant=terms)
        assert pool.ask(terms).outcome.wait == pytest.approx(wait)

    def test_it_is_never_more_than_the_whole_backlog(self):
        pool = PoolAdmission(backlog=4, tenant=TenantTerms('heavy', 100))
        light = TenantTerms('light', 1)
        add_job(pool.pool_state, StepSpec(4, SMALL), job='c' * 16, tenant=light)
        assert pool.ask(light).outcome.wait == 2

    def test_unsent_orders_delay_everyone(self):
        assert PoolAdmission().ask(OTHER, orders=9.0).reason == 'full'


class TestCap:
    """Work behind a cap must not be accepted and then start too late."""

    CAPPED = TenantTerms('flood', 1, Resources(2000))

    def make_capped_pool(self):
        """Return a pool whose tenant runs 2 of 4 cores, its cap."""
        return PoolAdmission(backlog=20, tenant=self.CAPPED)

    def test_what_waits_for_the_cap_refuses_further_jobs(self):
        refusal = self.make_capped_pool().ask(self.CAPPED)
        assert refusal.reason == 'quota'
        assert refusal.outcome.wait == 11

    def test_it_refuses_nobody_else_as_its_tasks_end(self):
        """A tenant at its cap is below it for a moment after each end."""
        pool = self.make_capped_pool()
        end_run(pool.pool_state, pool.running[0])
        assert estimate_wait(pool.pool_state, 0, Moment(0, 0)) < 2
        assert pool.ask(OTHER).reason is None

    def test_it_refuses_nobody_else(self):
        pool = self.make_capped_pool()
        assert pool.ask(OTHER).outcome.wait == 0
        assert estimate_wait(pool.pool_state, 0, Moment(0, 0)) == 0
        beyond = TenantTerms('nobody', 0)
        assert pool.ask(beyond).reason is None
