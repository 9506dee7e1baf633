"""Tenants at the leader: admission requests, log lines and metrics."""

import collections

from structlog.testing import capture_logs

from verbenapost.coordination.scheduling.demand import measure_load
from verbenapost.coordination.scheduling.inheritedusage import REFRESH_SECONDS
from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.orderwindow import OrderWindow
from verbenapost.coordination.scheduling.tenantadmission import Refusal
from verbenapost.coordination.scheduling.tests.sample import (
    ROUTE,
    SMALL,
    add_job,
    make_entry,
    start_all,
)
from verbenapost.daemon.logs import make_logger
from verbenapost.scheduler.admission import Admission
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.messages import AdmissionRequest
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.scheduler.poolstates import PoolStateSet
from verbenapost.scheduler.tenantstatus import TenantStatus
from verbenapost.scheduler.tests.links import Clock, make_link
from verbenapost.state.resources import Resources
from verbenapost.state.tenants import Tenant, TenantTerms
from verbenapost.state.workloads import (
    FleetConfiguration,
    JobSpec,
    ServicePool,
    StepSpec,
)

TERMS = TenantTerms('flood', 1, Resources(2000, 900))


class RecordedDemands:
    """Stands in for the controller and records the demand of jobs."""

    def __init__(self):
        self.demands = self
        self.recorded = []

    def find_incoming(self, service):
        return type('Incoming', (), {'cores': 0})

    def record_job(self, service, job, core_seconds, now):
        self.recorded.append(job)


class LeaderAdmission:
    """A leader's admission to one pool of four cores."""

    def __init__(self, tenants=(TERMS,)):
        self.configuration = ConfigurationFollower(make_logger('test'))
        self.configuration.current = FleetConfiguration(
            1,
            {ROUTE.name: ROUTE},
            {'routing': ServicePool('routing')},
            {terms.name: Tenant(terms) for terms in tenants},
        )
        self.configuration._routes[ROUTE.name] = ROUTE
        self.pool_states = PoolStateSet(1, self.configuration.find_tenant)
        self.pool_state = self.pool_states.find('routing')
        worker = self.pool_state.set_worker(make_entry())
        worker.reconciled = True
        worker.reachable = True
        self.controller = RecordedDemands()
        self.admission = Admission(
            self.configuration,
            self.pool_states,
            self.controller,
            OrderWindow(),
            make_logger('test'),
        )
        self.metrics = SchedulerMetrics()
        self.status = TenantStatus(
            self.pool_states,
            self.configuration,
            self.admission.tenants.refused,
            self.metrics,
            make_logger('tenants'),
        )

    def add(self, job, count, tenant=TERMS):
        spec = JobSpec(
            job * 16,
            ROUTE.name,
            'text',
            (StepSpec(count, SMALL),),
            'routing',
            tenant=tenant,
        )
        self.pool_state.add_job(Job(spec, 0.0), ROUTE)
        start_all(self.pool_state)

    def ask(self, job='c' * 16, tenant='flood'):
        return self.admission.check(
            AdmissionRequest(job, ROUTE.name, 'routing', 1, 1, 0, tenant)
        )

    def report(self):
        with capture_logs() as lines:
            self.status.report(Moment(0, 0))
        return [row for row in lines if row['event'] == 'usage']


class TestAdmission:
    """Work that a cap holds back must not be accepted or move VMs."""

    def test_work_behind_a_cap_is_refused_and_is_no_demand(self):
        leader = LeaderAdmission()
        leader.add('a', 20)
        answer = leader.ask()
        assert not answer.accepted
        assert answer.retry_after > 0
        assert leader.controller.recorded == []
        assert leader.ask(tenant='other').accepted
        assert leader.controller.recorded == ['c' * 16]

    def test_work_behind_a_cap_asks_for_no_vms(self):
        """VMs would move for tasks that may not start there either."""
        leader = LeaderAdmission()
        leader.add('a', 20)
        load = measure_load(leader.pool_states.find('routing'), 0)
        assert (load.running, load.waiting) == (2, 0)

    def test_an_unknown_tenant_is_one_of_another_version(self):
        assert LeaderAdmission(()).ask().accepted


class TestPoolStateSet:
    """A cap must not be exceeded by the inherited jobs of another pool."""

    def test_inherited_jobs_of_one_pool_count_in_all(self):
        pool_states = PoolStateSet(2)
        first, second = map(pool_states.find, ('first', 'second'))
        add_job(first, StepSpec(2, SMALL), tenant=TERMS, inherited=True)
        second.gate.begin_round(Moment(0, 0))
        assert second.gate.is_capped(TERMS)
        first.recovering = False
        second.gate.begin_round(Moment(REFRESH_SECONDS, 0))
        assert not second.gate.is_capped(TERMS)


class TestRestartedWorker:
    """Runs of a former life must not count for ever."""

    def test_its_unbooked_runs_no_longer_count(self, monkeypatch):
        pool_state, _, link = make_link(Clock(), monkeypatch)
        task = next(add_job(pool_state, tenant=TERMS).tasks())
        link.worker.add_unbooked(task)
        assert pool_state.gate.read_use('flood') == SMALL
        link.restart(5)
        assert pool_state.gate.read_use('flood') == Resources()


class TestStatus:
    """Operators must see which tenants wait, and for what."""

    def test_a_tenant_at_its_cap_has_a_line(self):
        leader = LeaderAdmission()
        leader.add('a', 20)
        leader.ask()
        (line,) = leader.report()
        line.pop('log_level')
        assert line == {
            'part': 'tenants',
            'event': 'usage',
            'tenant': 'flood',
            'running_cores': 2,
            'running_memory_mb': 200,
            'running_gpus': 0,
            'cap_cores': 2,
            'cap_memory_mb': 900,
            'cap_gpus': 0,
            'waiting': 18,
            'refused_rate': 0,
            'refused_quota': 1,
            'refused_full': 0,
        }

    def test_one_below_its_cap_without_waiting_work_has_none(self):
        leader = LeaderAdmission()
        leader.add('a', 1)
        assert leader.report() == []

    def test_the_metrics_show_use_cap_waiting_work_and_refusals(self):
        leader = LeaderAdmission()
        leader.add('a', 20)
        leader.ask()
        for _ in range(2):
            leader.report()
        shown = leader.metrics.render().decode()
        for line in (
            'verbenapost_tenant_running_cores{tenant="flood"} 2',
            'verbenapost_tenant_cap_cores{tenant="flood"} 2',
            'verbenapost_tenant_waiting_tasks{tenant="flood"} 18',
            'verbenapost_tenant_refused_total{reason="quota",tenant="flood"} 1',
        ):
            assert line in shown

    def test_nothing_is_shown_without_tenants(self):
        leader = LeaderAdmission()
        leader.add('a', 20, tenant=None)
        assert leader.report() == []
        assert 'tenant' not in leader.metrics.render().decode()

    def test_refusals_without_waiting_work_have_a_line(self):
        leader = LeaderAdmission()
        refused = collections.Counter({('flood', Refusal.RATE): 3})
        leader.status._refused = refused
        assert [row['refused_rate'] for row in leader.report()] == [3]
        assert leader.report() == []
