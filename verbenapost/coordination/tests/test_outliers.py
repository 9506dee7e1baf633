"""Tests of ejection and of distinguishing faulty work from faulty targets."""

from verbenapost.coordination.outliers import (
    FIRST_EJECTION,
    SLOW_START,
    Outliers,
    RunEnd,
)
from verbenapost.protocol.slots import RunOutcome


def make_outliers(count=6):
    outliers = Outliers()
    for index in range(count):
        outliers.add(f'vm-{index}')
    return outliers


def fail(outliers, target, now=0, runs=5, kind='visit', job=None):
    for number in range(runs):
        name = job or f'{target}-{now}-{number}'
        end = RunEnd(kind, name, RunOutcome.FAILED)
        outliers.record(now, target, end)


def succeed(outliers, target, now=0, kind='visit'):
    end = RunEnd(kind, f'{target}-whole', RunOutcome.OK)
    outliers.record(now, target, end)


class TestEjection:
    def test_a_target_that_fails_all_is_ejected(self):
        outliers = make_outliers()
        fail(outliers, 'vm-0')
        assert outliers.ejected == {'vm-0'}
        assert not outliers.get_limit(FIRST_EJECTION - 1, 'vm-0', 8)

    def test_ejections_are_capped(self):
        outliers = make_outliers()
        for index in range(6):
            succeed(outliers, f'vm-{index}')
        for index in range(4):
            fail(outliers, f'vm-{index}')
        assert outliers.ejected == {'vm-0', 'vm-1'}

    def test_one_failing_job_ejects_no_target(self):
        outliers = make_outliers()
        fail(outliers, 'vm-0', runs=10, job='bad')
        assert not outliers.ejected

    def test_a_probe_leads_to_a_slow_start(self):
        outliers = make_outliers()
        fail(outliers, 'vm-0')
        probe_time = FIRST_EJECTION + 1
        assert outliers.get_limit(probe_time, 'vm-0', 8) == 1
        succeed(outliers, 'vm-0', probe_time)
        assert outliers.get_limit(probe_time + SLOW_START / 2, 'vm-0', 8) == 4
        assert outliers.get_limit(probe_time + SLOW_START, 'vm-0', 8) == 8

    def test_a_failed_probe_ejects_for_longer(self):
        outliers = make_outliers()
        fail(outliers, 'vm-0')
        probe_time = FIRST_EJECTION + 1
        fail(outliers, 'vm-0', probe_time, runs=1)
        assert not outliers.get_limit(
            probe_time + FIRST_EJECTION + 1, 'vm-0', 8
        )

    def test_a_refused_connection_stops_new_work_at_once(self):
        outliers = make_outliers()
        end = RunEnd('visit', 'a', RunOutcome.REFUSED)
        outliers.record(0, 'vm-0', end)
        assert not outliers.get_limit(0, 'vm-0', 8)
        assert outliers.get_limit(2, 'vm-0', 8) == 1


class TestFaultyWork:
    def test_a_faulty_kind_ejects_no_target(self):
        outliers = make_outliers()
        for run in range(10):
            for index in range(6):
                fail(outliers, f'vm-{index}', run, runs=1, kind='bad')
                succeed(outliers, f'vm-{index}', run)
        assert not outliers.ejected
        assert outliers.failure_classifier.is_faulty('bad')

    def test_a_job_that_failed_on_three_targets_is_unable_to_run(self):
        outliers = make_outliers()
        for index in range(3):
            fail(outliers, f'vm-{index}', runs=1, job='bad')
        assert outliers.failure_classifier.is_unable('bad', outliers.ejected)

    def test_failures_at_ejected_targets_do_not_count_for_a_job(self):
        outliers = make_outliers()
        for index in range(1, 6):
            succeed(outliers, f'vm-{index}')
        fail(outliers, 'vm-0')
        for index in range(3):
            fail(outliers, f'vm-{index}', runs=1, job='good')
        assert not outliers.failure_classifier.is_unable(
            'good', outliers.ejected
        )
