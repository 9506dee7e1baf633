"""Each rule on tenants detects a history that violates it."""

import pytest

from standins.fleet.configurations import ConfiguredTenant, ConfirmedVersion
from standins.fleet.tenanthistory import (
    APPLY_SECONDS,
    RECOVERY_SECONDS,
    CallerRequest,
    Disturbance,
    TenantHistory,
)
from standins.fleet.tenantrules import find_tenant_violations
from standins.fleet.workers import RunEnded, RunStarted
from verbenapost.protocol.orders import RunEndKind
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import TaskKey

CAP = Resources(1000, 0, 0)
#: The second version, at 100 s, replaces the key ``old`` by ``new``.
VERSIONS = [
    ConfirmedVersion(0, 1, (ConfiguredTenant('t', ('old', 'kept'), 1, CAP),)),
    ConfirmedVersion(100, 2, (ConfiguredTenant('t', ('new', 'kept'), 1, CAP),)),
]
LATE = 100 + APPLY_SECONDS + 0.1


def ask(key, status, at=LATE, daemon='a'):
    return CallerRequest(at, at + 0.01, daemon, key, status)


def find_rules(history):
    return [row.rule for row in find_tenant_violations(history)]


def check_requests(*requests, versions=VERSIONS, disturbances=()):
    return find_rules(
        TenantHistory(versions, list(requests), disturbances=list(disturbances))
    )


class TestKey:
    """A caller without a valid key must never be admitted."""

    @pytest.mark.parametrize('status', [200, 403, 410, 429])
    @pytest.mark.parametrize('key', ['', 'never'])
    def test_an_admitted_key_that_no_version_held_is_detected(
        self, key, status
    ):
        assert check_requests(ask(key, status)) == ['key']

    @pytest.mark.parametrize('status', [0, 401, 404, 503])
    def test_refusals_violate_nothing(self, status):
        assert check_requests(ask('never', status)) == []

    def test_a_key_is_not_valid_before_its_version(self):
        assert check_requests(ask('new', 200, at=99)) == ['key']

    def test_disturbances_excuse_no_unknown_key(self):
        disturbed = Disturbance(0, 200)
        found = check_requests(ask('never', 200), disturbances=[disturbed])
        assert found == ['key']

    def test_versions_without_tenants_need_no_key(self):
        versions = [ConfirmedVersion(0, 1), *VERSIONS[1:]]
        found = check_requests(
            ask('', 200, at=50), ask('', 200, at=101), versions=versions
        )
        assert found == []

    def test_a_violation_does_not_show_the_key(self):
        history = TenantHistory(VERSIONS, [ask('secret', 200)])
        assert 'secret' not in find_tenant_violations(history)[0].detail


class TestRevoked:
    """A daemon must not answer by a version that it has to have replaced."""

    def test_a_removed_key_that_is_admitted_late_is_detected(self):
        assert check_requests(ask('old', 200)) == ['revoked']

    @pytest.mark.parametrize('key', ['new', 'kept'])
    def test_a_valid_key_that_is_refused_late_is_detected(self, key):
        assert check_requests(ask(key, 401)) == ['revoked']

    @pytest.mark.parametrize('key', ['old', 'new'])
    @pytest.mark.parametrize('status', [200, 401])
    def test_both_answers_are_valid_while_a_version_is_applied(
        self, key, status
    ):
        assert check_requests(ask(key, status, at=101)) == []

    def test_a_valid_history_has_no_violations(self):
        found = check_requests(
            ask('old', 200, at=99),
            ask('old', 401),
            ask('new', 200),
            ask('kept', 200, at=101),
        )
        assert found == []

    def test_a_key_of_both_versions_is_never_refused(self):
        assert check_requests(ask('kept', 401, at=101)) == ['revoked']

    @pytest.mark.parametrize('daemon', ['a', ''])
    def test_a_disturbed_daemon_is_left_out_until_it_has_recovered(
        self, daemon
    ):
        disturbed = [Disturbance(95, 110, daemon)]
        early = ask('old', 200, at=109 + RECOVERY_SECONDS)
        late = ask('old', 200, at=111 + RECOVERY_SECONDS)
        assert check_requests(early, disturbances=disturbed) == []
        assert check_requests(late, disturbances=disturbed) == ['revoked']

    def test_another_daemon_is_not_left_out(self):
        disturbed = [Disturbance(95, 110, 'b')]
        found = check_requests(ask('old', 200), disturbances=disturbed)
        assert found == ['revoked']

    def test_a_daemon_does_not_go_back_in_a_later_disturbance(self):
        disturbed = [Disturbance(LATE, 110, 'a')]
        found = check_requests(ask('old', 200, at=111), disturbances=disturbed)
        assert found == ['revoked']

    def test_overlapping_disturbances_are_left_out_as_one(self):
        disturbed = [Disturbance(101, 108, 'a'), Disturbance(107, 115, 'a')]
        found = check_requests(ask('old', 200, at=116), disturbances=disturbed)
        assert found == []


STEPS = {'j': [{'count': 9, 'cpu': 400, 'mem_mb': 10, 'gpu': 1}]}


def start(index, at=50, ordered_at=None, job='j', run=1):
    task = TaskKey(job, 0, 0, index)
    return RunStarted(at, 'w0', task, run, ordered_at or at, 7)


def end(index):
    return RunEnded(50, 'w0', TaskKey('j', 0, 0, index), 1, RunEndKind.DONE)


def make_versions(*caps):
    return [
        ConfirmedVersion(
            100 * index, index + 1, (ConfiguredTenant('t', ('k',), 1, cap),)
        )
        for index, cap in enumerate(caps)
    ]


def check_runs(*runs, caps=(CAP,), owners=None, versions=(), **options):
    history = TenantHistory(
        list(versions) or make_versions(*caps),
        runs=list(runs),
        steps=STEPS,
        owners={'j': 't'} if owners is None else owners,
        leaders={7: 'a'},
        **options,
    )
    return find_rules(history)


LOWERED = (CAP, Resources(400, 0, 0))
FOUR = [start(index) for index in range(4)]


class TestQuota:
    """A tenant must not run more than its cap and one task."""

    @pytest.mark.parametrize(
        'cap',
        [Resources(1000, 0, 0), Resources(0, 25, 0), Resources(0, 0, 2)],
    )
    def test_a_start_beyond_the_cap_and_one_task_is_detected(self, cap):
        assert check_runs(*FOUR, caps=(cap,)) == ['quota']

    def test_the_cap_and_one_task_are_allowed(self):
        assert check_runs(*FOUR[:3]) == []

    def test_no_limit_allows_all(self):
        assert check_runs(*FOUR, caps=(Resources(),)) == []

    def test_ended_runs_do_not_count(self):
        assert check_runs(*FOUR[:3], end(0), FOUR[3]) == []

    def test_the_overage_is_allowed(self):
        assert check_runs(*FOUR, overage=0.2) == []
        assert check_runs(*FOUR, overage=0.1) == ['quota']

    def test_jobs_without_a_tenant_do_not_count(self):
        assert check_runs(*FOUR, owners={}) == []

    def test_a_task_larger_than_the_cap_may_run_alone(self):
        assert check_runs(start(0), caps=(Resources(100, 0, 0),)) == []

    def test_smaller_tasks_may_reach_workers_after_a_larger_one(self):
        steps = [{'cpu': 600}, {'cpu': 5000}]
        runs = [
            RunStarted(50, 'w0', TaskKey('j', 0, step, 0), 1, 50, 7)
            for step in (1, 0)
        ]
        history = TenantHistory(
            make_versions(CAP),
            runs=runs,
            steps={'j': steps},
            owners={'j': 't'},
        )
        assert find_rules(history) == []


class TestLoweredCap:
    """After a lower cap nothing starts until the use is below it."""

    def test_a_start_by_the_former_cap_is_detected(self):
        late = start(2, at=LATE)
        found = check_runs(*FOUR[:2], late, caps=LOWERED)
        assert found == ['quota']

    def test_the_higher_cap_counts_while_the_version_is_applied(self):
        found = check_runs(*FOUR[:2], start(2, at=101), caps=LOWERED)
        assert found == []

    def test_running_tasks_are_not_stopped(self):
        assert check_runs(*FOUR[:3], caps=LOWERED) == []

    def test_an_order_counts_by_the_cap_at_its_sending(self):
        delayed = start(2, at=106, ordered_at=99)
        assert check_runs(*FOUR[:2], delayed, caps=LOWERED) == []

    @pytest.mark.parametrize(
        ('daemon', 'rules'), [('a', []), ('', []), ('b', ['quota'])]
    )
    def test_a_disturbed_leader_is_left_out(self, daemon, rules):
        found = check_runs(
            *FOUR[:2],
            start(2, at=LATE),
            caps=LOWERED,
            disturbances=[Disturbance(99, 101, daemon)],
        )
        assert found == rules

    def test_a_raised_cap_counts_at_once(self):
        raised = [start(index, at=101) for index in range(5)]
        caps = (CAP, Resources(2000, 0, 0))
        assert check_runs(*raised, caps=caps) == []

    @pytest.mark.parametrize(
        ('cap', 'rules'), [(CAP, ['quota']), (Resources(), [])]
    )
    def test_the_terms_of_a_removed_tenant_apply(self, cap, rules):
        versions = [*make_versions(cap), ConfirmedVersion(100, 2, ())]
        runs = [start(index, at=150) for index in range(4)]
        assert check_runs(*runs, versions=versions) == rules
