"""Weighted fair shares of the tenants that wait for a pool's capacity."""

import collections

import pytest

from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.planning import StartPlanner
from verbenapost.coordination.scheduling.tests.sample import (
    ROUTE,
    SMALL,
    add_job,
    end_run,
    make_entry,
    make_pool_state,
    plan,
    start_all,
)
from verbenapost.state.resources import Resources
from verbenapost.state.tenants import TenantTerms
from verbenapost.state.workloads import JobSpec, Route, StepSpec

ONE = StepSpec(1, SMALL)

#: Unix seconds at which every job is due.
WALL = 1000.0


def make_pool(workers):
    return make_pool_state(
        *(make_entry(f'w{number}') for number in range(workers))
    )


def add_many(pool_state, name, count, weight=1.0, now=0.0, step=ONE, **changes):
    terms = TenantTerms(name, weight) if name else None
    for number in range(count):
        add_job(
            pool_state,
            step,
            job=f'{name:.>8}{number:08x}',
            now=now + number / 1000,
            tenant=terms,
            **changes,
        )


def count_starts(starts):
    return collections.Counter(
        row.task.key.job[:8].strip('.') for row in starts
    )


class TestShares:
    """A tenant with many waiting steps must not take the share of another."""

    @pytest.mark.parametrize(
        ('weights', 'expected'),
        [
            ({'a': 1, 'b': 1}, {'a': 8, 'b': 8}),
            ({'a': 3, 'b': 1}, {'a': 12, 'b': 4}),
            ({'a': 1, '': 1}, {'a': 8, '': 8}),
            ({'a': 1, 'b': 0}, {'a': 16}),
        ],
    )
    def test_a_full_pool_is_divided_by_weight(self, weights, expected):
        pool_state = make_pool(4)
        for now, (name, weight) in enumerate(weights.items()):
            add_many(pool_state, name, 20, weight, now=-now / 10)
        assert count_starts(plan(pool_state)) == expected

    def test_what_a_tenant_runs_already_counts(self):
        pool_state = make_pool(4)
        add_many(pool_state, 'a', 20)
        starts = start_all(pool_state)
        add_many(pool_state, 'b', 20, now=0.1)
        for start in starts[:8]:
            end_run(pool_state, start)
        assert count_starts(plan(pool_state, now=0.2)) == {'b': 8}

    def test_the_dominant_resource_decides(self):
        """One tenant needs processors, and the other one memory."""
        pool_state = make_pool(4)
        add_many(pool_state, 'a', 20, step=StepSpec(1, Resources(1000, 0)))
        add_many(pool_state, 'b', 20, step=StepSpec(1, Resources(0, 500)))
        starts = StartPlanner(pool_state, Moment(0, WALL)).plan(limit=9)
        assert count_starts(starts) == {'a': 6, 'b': 3}

    def test_the_oldest_step_of_a_tenant_is_first(self):
        pool_state = make_pool(1)
        add_many(pool_state, 'a', 8)
        starts = plan(pool_state, wall=WALL)
        jobs = [row.task.key.job[-1] for row in starts]
        assert jobs == ['0', '1', '2', '3']

    def test_a_tenant_with_nothing_else_to_run_beside_gets_the_pool(self):
        pool_state = make_pool(4)
        add_many(pool_state, 'a', 20, weight=0.001)
        assert count_starts(plan(pool_state)) == {'a': 16}


class TestPrecedence:
    """Fair shares must not put urgent work behind other work."""

    def test_priority_goes_before_shares(self):
        pool_state = make_pool(1)
        urgent = Route('now', 'host', '/now/', 'routing', priority=-1)
        add_many(pool_state, 'a', 4, route=urgent, now=1)
        add_many(pool_state, 'b', 4)
        assert count_starts(plan(pool_state)) == {'a': 4}

    def test_long_running_work_goes_before_shares(self):
        pool_state = make_pool(1)
        lasting = StepSpec(1, SMALL, long_running=True)
        add_many(pool_state, 'a', 4, step=lasting, now=1)
        add_many(pool_state, 'b', 4)
        assert count_starts(plan(pool_state)) == {'a': 4}

    def test_late_jobs_go_after_the_others(self):
        pool_state = make_pool(1)
        add_many(pool_state, 'a', 4, weight=9, now=-9)
        add_many(pool_state, 'b', 4)
        assert count_starts(plan(pool_state, wall=WALL)) == {'b': 4}


class TestWithoutTenants:
    """The order of pools without tenants must not change."""

    def test_the_order_is_by_class_and_age(self):
        pool_state = make_pool(2)
        late = Route('late', 'host', '/late/', 'routing', priority=1)
        for number, (route, arrived_at) in enumerate(
            [(late, 0.0), (ROUTE, 0.3), (ROUTE, -9.0), (ROUTE, 0.1)]
        ):
            spec = JobSpec(f'{number:016x}', route.name, 'x', (ONE,), 'routing')
            pool_state.add_job(Job(spec, arrived_at), route)
        starts = plan(pool_state, now=0.4, wall=WALL)
        jobs = [row.task.key.job[-1] for row in starts]
        assert jobs == ['3', '1', '2', '0']
