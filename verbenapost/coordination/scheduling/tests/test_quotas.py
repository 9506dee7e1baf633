"""Caps of tenants, through all that changes what a tenant has running."""

import pytest

from verbenapost.coordination.scheduling.inheritedusage import (
    REFRESH_SECONDS,
    InheritedUsage,
)
from verbenapost.coordination.scheduling.jobs import TaskState
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.planning import StartPlanner
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.quotas import (
    QuotaGate,
    may_job_start,
)
from verbenapost.coordination.scheduling.tests.sample import (
    ROUTE,
    SMALL,
    add_job,
    end_run,
    make_entry,
    make_pool_state,
    make_row,
    plan,
    report,
    start_all,
)
from verbenapost.protocol.orders import CallFaultKind
from verbenapost.state.resources import Resources
from verbenapost.state.tenants import TenantTerms
from verbenapost.state.workloads import AdviceTerms, JobSpec, Route, StepSpec

LIMITED = TenantTerms('limited', 1, Resources(3000))
OTHER = TenantTerms('other', 1, Resources())


def make_pool(workers=3, gate=None, service='routing'):
    pool_state = PoolState(service, 1, gate)
    for number in range(workers):
        worker = pool_state.set_worker(make_entry(f'w{number}'))
        worker.reconciled = True
        worker.reachable = True
    return pool_state


def read_use(pool_state):
    return pool_state.gate.read_use('limited')


class TestCap:
    """A tenant must not start more than its cap allows."""

    @pytest.mark.parametrize(
        ('cap', 'starts'),
        [
            (Resources(), 8),
            (Resources(3000), 3),
            (Resources(3500), 4),
            (Resources(0, 250), 3),
            (Resources(0, 0, 1), 8),
            (Resources(500), 1),
        ],
    )
    def test_tasks_start_while_the_use_is_below_it(self, cap, starts):
        pool_state = make_pool()
        add_job(
            pool_state,
            StepSpec(8, SMALL),
            tenant=TenantTerms('limited', 1, cap),
        )
        assert len(plan(pool_state)) == starts
        assert plan(pool_state) == []

    def test_an_ended_run_makes_room_for_one_task(self):
        pool_state = make_pool()
        add_job(pool_state, StepSpec(8, SMALL), tenant=LIMITED)
        first, *_ = start_all(pool_state)
        end_run(pool_state, first)
        assert len(plan(pool_state)) == 1

    def test_best_effort_tasks_count_with_their_whole_size(self):
        pool_state = make_pool()
        step = StepSpec(8, SMALL, fills=True)
        add_job(pool_state, step, tenant=LIMITED)
        assert len(plan(pool_state)) == 3

    def test_it_holds_over_all_pools(self):
        gate = QuotaGate()
        pools = [make_pool(gate=gate, service=name) for name in ('a', 'b')]
        for number, pool_state in enumerate(pools):
            add_job(
                pool_state,
                StepSpec(2, SMALL),
                job=f'{number:016x}',
                tenant=LIMITED,
            )
        assert [len(plan(pool_state)) for pool_state in pools] == [2, 1]

    def test_a_start_without_an_answer_counts(self):
        pool_state = make_pool()
        add_job(pool_state, StepSpec(8, SMALL), tenant=LIMITED)
        for start in plan(pool_state):
            pool_state.note_start_failed(
                start.task, start.run, CallFaultKind.UNKNOWN, 0
            )
        assert plan(pool_state) == []

    def test_a_refused_start_gives_back_what_it_held(self):
        pool_state = make_pool()
        add_job(pool_state, StepSpec(3, SMALL), tenant=LIMITED)
        for start in plan(pool_state):
            pool_state.note_start_failed(
                start.task, start.run, CallFaultKind.REFUSED, 0
            )
        assert read_use(pool_state) == Resources()

    def test_a_task_that_is_being_stopped_counts(self):
        pool_state = make_pool()
        add_job(pool_state, StepSpec(3, SMALL), tenant=LIMITED)
        start_all(pool_state)
        pool_state.cancel_job(next(iter(pool_state.jobs)))
        add_job(pool_state, StepSpec(1, SMALL), job='b' * 16, tenant=LIMITED)
        assert plan(pool_state) == []

    def test_tasks_of_a_silent_worker_count_until_their_leases_lapse(self):
        pool_state = make_pool(workers=2)
        add_job(pool_state, StepSpec(8, SMALL), tenant=LIMITED)
        (name,) = {start.worker for start in start_all(pool_state)}
        worker = pool_state.workers[name]
        worker.reachable = False
        assert plan(pool_state) == []
        pool_state.free_tasks(worker)
        assert len(plan(pool_state)) == 3

    def test_a_lost_worker_gives_back_what_it_held(self):
        pool_state = make_pool()
        add_job(pool_state, StepSpec(8, SMALL), tenant=LIMITED)
        (name,) = {start.worker for start in start_all(pool_state)}
        pool_state.remove_worker(name)
        assert read_use(pool_state) == Resources()
        assert len(plan(pool_state)) == 3


class TestUnbookedRuns:
    """Runs that a worker reports and that run elsewhere by the pool state."""

    def report_twin(self):
        pool_state = make_pool(workers=2)
        add_job(pool_state, StepSpec(2, SMALL), tenant=LIMITED)
        first, *_ = start_all(pool_state)
        (other,) = set(pool_state.workers) - {first.worker}
        report(pool_state, other, [make_row(first)])
        return pool_state, other

    def test_they_count(self):
        pool_state, _ = self.report_twin()
        assert read_use(pool_state) == Resources(3000, 300)

    def test_they_count_until_a_report_without_them(self):
        pool_state, other = self.report_twin()
        report(pool_state, other)
        assert read_use(pool_state) == Resources(2000, 200)

    def test_a_removed_worker_gives_them_back(self):
        pool_state, other = self.report_twin()
        pool_state.remove_worker(other)
        assert read_use(pool_state) == Resources(2000, 200)


class TestChangedTerms:
    """The version in force lowers a cap, or has no such tenant any more."""

    def start_under(self, terms):
        gate = QuotaGate(terms.get)
        pool_state = make_pool(gate=gate)
        add_job(pool_state, StepSpec(8, SMALL), tenant=LIMITED)
        return pool_state, start_all(pool_state)

    def test_nothing_starts_until_the_use_is_below_a_lowered_cap(self):
        terms = {}
        pool_state, starts = self.start_under(terms)
        terms['limited'] = TenantTerms('limited', 1, Resources(2000))
        for start, expected in zip(starts, (0, 1, 1), strict=True):
            end_run(pool_state, start)
            assert len(plan(pool_state)) == expected

    def test_the_stored_cap_holds_once_the_tenant_is_removed(self):
        terms = {'limited': TenantTerms('limited', 1, Resources(2000))}
        pool_state, starts = self.start_under(terms)
        assert len(starts) == 2
        terms.clear()
        assert len(plan(pool_state)) == 1


class TestGang:
    """A part of a gang must not start, nor bring its tenant above the cap."""

    @pytest.mark.parametrize(('members', 'starts'), [(3, 3), (4, 0)])
    def test_all_members_start_or_none(self, members, starts):
        pool_state = make_pool()
        step = StepSpec(members, SMALL, gang=True)
        add_job(pool_state, step, tenant=LIMITED)
        assert len(plan(pool_state)) == starts

    def test_it_waits_for_its_last_member(self):
        pool_state = make_pool()
        add_job(pool_state, StepSpec(1, SMALL), tenant=LIMITED)
        (first,) = start_all(pool_state)
        gang = StepSpec(3, SMALL, gang=True)
        add_job(pool_state, gang, job='b' * 16, tenant=LIMITED)
        assert plan(pool_state) == []
        end_run(pool_state, first)
        assert len(plan(pool_state)) == 3

    @pytest.mark.parametrize(('members', 'starts'), [(3, 0), (4, 1)])
    def test_younger_tasks_leave_the_cap_to_it(self, members, starts):
        """They would take what each ended run frees; it must be able to fit."""
        pool_state = make_pool()
        add_job(pool_state, StepSpec(2, SMALL), tenant=LIMITED)
        first, _ = start_all(pool_state)
        gang = StepSpec(members, SMALL, gang=True)
        add_job(pool_state, gang, job='b' * 16, now=1, tenant=LIMITED)
        younger = StepSpec(1, SMALL)
        add_job(pool_state, younger, job='c' * 16, now=2, tenant=LIMITED)
        end_run(pool_state, first)
        assert len(plan(pool_state)) == starts

    def test_its_search_for_workers_leaves_no_use_behind(self):
        pool_state = make_pool(workers=1)
        gang = StepSpec(5, SMALL, gang=True)
        add_job(pool_state, gang, tenant=OTHER)
        assert plan(pool_state) == []
        assert pool_state.gate.read_use('other') == Resources()

    def test_one_that_can_never_start_is_known(self):
        gangs = [StepSpec(row, SMALL, gang=True) for row in (3, 4)]
        tasks = StepSpec(9, Resources(9000))
        for steps, possible in (((tasks, gangs[0]), True), (gangs, False)):
            spec = JobSpec('a' * 16, 'plan', 'x', tuple(steps))
            assert may_job_start(spec, LIMITED.cap) is possible


class TestTenantAtItsCap:
    """Its waiting work must not delay other tenants."""

    def make_full(self, *steps):
        """Return a pool whose limited tenant is at its cap and has more."""
        pool_state = make_pool(workers=1)
        add_job(pool_state, StepSpec(3, SMALL), tenant=LIMITED)
        start_all(pool_state)
        for number, step in enumerate(steps):
            add_job(
                pool_state, step, job=f'b{number:015x}', now=1, tenant=LIMITED
            )
        return pool_state

    @pytest.mark.parametrize(
        'step',
        [
            StepSpec(9, SMALL),
            StepSpec(2, SMALL, long_running=True),
            StepSpec(2, Resources(2000, 100), long_running=True),
            StepSpec(2, SMALL, gang=True),
        ],
    )
    def test_another_tenant_gets_the_rest_of_the_pool(self, step):
        pool_state = self.make_full(step)
        add_job(pool_state, StepSpec(1, SMALL), job='c' * 16, tenant=OTHER)
        assert [row.task.key.job for row in plan(pool_state)] == ['c' * 16]
        assert pool_state.unplaced == []
        assert pool_state.workers['w0'].reserved == Resources()

    def test_it_keeps_no_worker_for_a_suspect_job(self):
        pool_state = self.make_full(StepSpec(1, SMALL))
        job = pool_state.jobs['b' + '0' * 15]
        next(job.tasks()).crashed_runs = (1,)
        pool_state.suspects[job.spec.job] = job
        plan(pool_state)
        assert pool_state.kept_workers == {}

    def test_reservations_end_when_the_cap_is_lowered(self):
        terms = {'limited': OTHER}
        pool_state = make_pool(workers=1, gate=QuotaGate(terms.get))
        add_job(pool_state, StepSpec(3, SMALL), tenant=LIMITED)
        start_all(pool_state)
        waiting = StepSpec(1, Resources(2000, 100), long_running=True)
        add_job(pool_state, waiting, job='b' * 16, tenant=LIMITED)
        plan(pool_state)
        worker = pool_state.workers['w0']
        assert worker.reserved == Resources(2000, 100)
        terms.clear()
        plan(pool_state)
        assert worker.reserved == Resources()

    def test_reservations_stay_within_the_cap(self):
        pool_state = make_pool(workers=2)
        for number in range(4):
            add_job(
                pool_state,
                StepSpec(2, SMALL),
                job=f'a{number:015x}',
                tenant=OTHER,
            )
        start_all(pool_state)
        step = StepSpec(2, SMALL, long_running=True)
        for number in range(4):
            add_job(pool_state, step, job=f'b{number:015x}', tenant=LIMITED)
        plan(pool_state)
        assert len(pool_state.unplaced) == 3

    def test_no_advice_is_requested_for_it(self):
        advised = Route(
            'plan', 'host', '/', 'routing', advice=AdviceTerms(1, 0, 1)
        )
        pool_state = self.make_full()
        for letter, tenant in (('b', LIMITED), ('c', OTHER)):
            add_job(pool_state, job=letter * 16, route=advised, tenant=tenant)
        planner = StartPlanner(pool_state, Moment(0, 0))
        found = [row.job.spec.job for row in planner.find_awaiting_advice()]
        assert found == ['c' * 16]


class TestTakeover:
    """Tasks of inherited jobs may be running until their pool has settled."""

    def take_over(self, **changes):
        pools = [make_pool_state(token=2)]
        gate = QuotaGate(None, InheritedUsage(lambda: pools).count)
        old = PoolState('routing', 2, gate)
        old.set_worker(make_entry('w8')).reachable = True
        old.recovering = True
        new = make_pool(gate=gate)
        pools[:] = [old, new]
        job = add_job(
            old, StepSpec(3, SMALL), tenant=LIMITED, inherited=True, **changes
        )
        add_job(new, StepSpec(3, SMALL), job='b' * 16, tenant=LIMITED)
        return old, new, job

    def test_they_count_before_the_first_start_of_a_new_job(self):
        _, new, _ = self.take_over()
        assert plan(new) == []

    def test_they_count_once_when_a_worker_reports_them(self):
        old, new, job = self.take_over()
        task = next(job.tasks())
        plan(new)
        old.workers['w8'].reconciled = True
        old.workers['w8'].book(task)
        task.state = TaskState.RUNNING
        later = REFRESH_SECONDS
        assert plan(new, now=later) == []
        assert new.gate.read_use('limited') == Resources(3000, 300)

    def test_only_what_runs_counts_once_the_pool_has_settled(self):
        old, new, _ = self.take_over()
        assert plan(new) == []
        old.recovering = False
        assert len(plan(new)) == 3

    def test_a_job_that_was_cancelled_meanwhile_counts(self):
        old, new, job = self.take_over()
        old.cancel_job(job.spec.job)
        assert plan(new) == []

    def test_steps_behind_an_open_one_count(self):
        """The stored progress may be older than the last ends of runs."""
        pool_state = make_pool(workers=0)
        pool_state.recovering = True
        add_job(
            pool_state,
            StepSpec(1, SMALL),
            StepSpec(8, SMALL, after=(0,)),
            tenant=LIMITED,
            inherited=True,
        )
        found = InheritedUsage(lambda: [pool_state]).count(Moment(0, 0))
        assert found == {'limited': Resources(9000, 900)}

    def test_jobs_without_a_tenant_count_for_nobody(self):
        pool_state = make_pool(workers=0)
        pool_state.recovering = True
        add_job(pool_state, inherited=True, route=ROUTE)
        assert InheritedUsage(lambda: [pool_state]).count(Moment(0, 0)) == {}
