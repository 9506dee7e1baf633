"""Tasks that crash their workers, and innocent ones that ran beside them."""

import msgpack
import pytest

from verbenapost.coordination.scheduling.crashes import (
    MAX_CRASHES,
    PROOF_SECONDS,
    note_crash,
)
from verbenapost.coordination.scheduling.jobprogress import (
    pack_progress,
    restore_progress,
)
from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.coordination.scheduling.tests.crashes import (
    BAD,
    GOOD,
    ONE,
    crash,
    crash_under,
    make_pool,
    prove,
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
from verbenapost.protocol.orders import CallFaultKind, RunEndKind
from verbenapost.state.workloads import (
    CallerJobState,
    JobSpec,
    StepSpec,
)


class TestSuspicion:
    def test_runs_that_a_report_has_proven_are_not_suspect(self):
        pool_state = make_pool(1)
        proven = add_job(pool_state, ONE, job=GOOD)
        start_all(pool_state)
        prove(pool_state, 'w0', PROOF_SECONDS)
        add_job(pool_state, ONE, job=BAD)
        start_all(pool_state, now=1)
        verdict = crash(pool_state, 'w0')
        assert [task.key.job for task in verdict.suspects] == [BAD]
        assert not any(task.crashed_runs for task in proven.tasks())

    def test_a_report_that_comes_too_soon_proves_nothing(self):
        pool_state = make_pool(1)
        add_job(pool_state, ONE, job=BAD)
        start_all(pool_state)
        prove(pool_state, 'w0', PROOF_SECONDS / 2)
        assert crash(pool_state, 'w0').suspects

    def test_a_start_that_arrived_late_is_proven_later(self):
        pool_state = make_pool(1)
        job = add_job(pool_state, ONE, job=BAD)
        (start,) = plan(pool_state)
        pool_state.note_started(start.task, start.run, 0.5)
        prove(pool_state, 'w0', 0.5 + PROOF_SECONDS / 2)
        assert not next(job.tasks()).proven
        prove(pool_state, 'w0', 0.5 + PROOF_SECONDS)
        assert next(job.tasks()).proven

    @pytest.mark.parametrize('kind', [RunEndKind.DONE, RunEndKind.FAILED])
    def test_a_run_that_ends_by_itself_clears_its_task(self, kind):
        pool_state = make_pool()
        job = add_job(pool_state, StepSpec(2, SMALL), job=GOOD)
        (start, _) = start_all(pool_state)
        crash_under(pool_state, start.task)
        (start, _) = start_all(pool_state, now=1)
        end_run(pool_state, start, kind)
        assert not start.task.crashed_runs
        assert job.state is not CallerJobState.FAILED

    def test_one_run_counts_once(self):
        pool_state = make_pool()
        job = add_job(pool_state, ONE, job=BAD)
        start_all(pool_state)
        worker = pool_state.workers[next(job.tasks()).worker]
        note_crash(pool_state, worker)
        assert note_crash(pool_state, worker).culprits == ()
        assert len(next(job.tasks()).crashed_runs) == 1


class TestGivingUp:
    def test_the_third_crash_names_the_task(self):
        pool_state = make_pool()
        bad = add_job(pool_state, ONE, job=BAD)
        add_job(pool_state, ONE, job=GOOD)
        for now in range(MAX_CRASHES - 1):
            start_all(pool_state, now=now)
            assert not crash_under(pool_state, next(bad.tasks())).culprits
        start_all(pool_state, now=MAX_CRASHES)
        verdict = crash_under(pool_state, next(bad.tasks()))
        assert verdict.culprits == (next(bad.tasks()),)

    def test_innocent_tasks_outlive_any_number_of_crashes_beside_them(self):
        pool_state = make_pool(1)
        good = add_job(pool_state, ONE, job=GOOD)
        for number in range(6):
            bad = add_job(pool_state, ONE, job=f'{number:015x}b')
            for round_number in range(20):
                now = number * 20 + round_number
                start_all(pool_state, now=now)
                if not next(bad.tasks()).state.placed:
                    prove(pool_state, 'w0', now + PROOF_SECONDS)
                    continue
                verdict = crash(pool_state, 'w0')
                if verdict.culprits:
                    assert verdict.culprits == (next(bad.tasks()),)
                    pool_state.end_job(bad, CallerJobState.FAILED)
                    break
            assert bad.state is CallerJobState.FAILED
        assert not good.state.ended

    def test_a_crash_under_several_jobs_names_none(self):
        pool_state = make_pool(1)
        jobs = [add_job(pool_state, ONE, job=job) for job in (GOOD, BAD)]
        start_all(pool_state)
        for job in jobs:
            next(job.tasks()).crashed_runs = (7, 8)
        assert crash(pool_state, 'w0').culprits == ()

    def test_a_task_whose_starts_are_never_answered_is_given_up(self):
        pool_state = make_pool()
        job = add_job(pool_state, ONE, job=BAD)
        verdicts = []
        for now in range(MAX_CRASHES):
            (start,) = plan(pool_state, now=now)
            pool_state.note_start_failed(
                start.task, start.run, CallFaultKind.UNKNOWN, now
            )
            verdicts.append(crash_under(pool_state, start.task).culprits)
        assert verdicts == [(), (), (next(job.tasks()),)]

    def test_a_job_that_has_ended_is_not_given_up(self):
        pool_state = make_pool()
        job = add_job(pool_state, ONE, job=BAD)
        start_all(pool_state)
        pool_state.cancel_job(BAD)
        assert not crash_under(pool_state, next(job.tasks())).suspects


class TestStoredCrashes:
    """A leader is replaced between two crashes of one task."""

    def take_over(self, packed):
        """Return the pool state and job of a successor."""
        successor = make_pool_state(make_entry('w5'), token=2)
        spec = JobSpec(BAD, ROUTE.name, 'text', (ONE,), 'routing')
        job = Job(spec, 0)
        restore_progress(job, packed, revision=7)
        successor.add_job(job, ROUTE)
        return successor, job

    def make_progress(self):
        pool_state = make_pool()
        job = add_job(pool_state, ONE, job=BAD)
        for now in range(MAX_CRASHES - 1):
            start_all(pool_state, now=now)
            crash_under(pool_state, next(job.tasks()))
        assert pool_state.pop_dirty_jobs() == {BAD}
        return pack_progress(job)

    def test_the_successor_gives_up_at_the_third(self):
        successor, job = self.take_over(self.make_progress())
        start_all(successor, now=9)
        verdict = crash_under(successor, next(job.tasks()))
        assert verdict.culprits == (next(job.tasks()),)

    def test_the_successor_isolates_the_job(self):
        successor, _ = self.take_over(self.make_progress())
        add_job(successor, StepSpec(3, SMALL), job=GOOD)
        starts = start_all(successor, now=9)
        assert [start.task.key.job for start in starts] == [BAD]

    def test_a_crash_that_the_leader_did_not_live_to_see_counts(self):
        successor, job = self.take_over(self.make_progress())
        start_all(successor, now=9)
        assert successor.pop_dirty_jobs() == {BAD}
        _, job = self.take_over(pack_progress(job))
        assert len(next(job.tasks()).crashed_runs) == MAX_CRASHES

    def test_a_run_that_went_on_over_the_change_does_not_count(self):
        leader, job = self.take_over(self.make_progress())
        (start,) = start_all(leader, now=9)
        successor, job = self.take_over(pack_progress(job))
        report(successor, 'w5', [make_row(start)], now=10)
        report(successor, 'w5', [make_row(start)], now=10 + PROOF_SECONDS)
        assert not next(job.tasks()).crashed_runs

    def test_progress_of_an_earlier_version_is_read(self):
        fields = msgpack.unpackb(self.make_progress())
        del fields['crashed']
        _, job = self.take_over(msgpack.packb(fields))
        assert next(job.tasks()).crashed_runs == ()

    def test_a_proven_run_clears_what_is_stored(self):
        successor, job = self.take_over(self.make_progress())
        start_all(successor, now=9)
        prove(successor, 'w5', 9 + PROOF_SECONDS)
        assert successor.pop_dirty_jobs() == {BAD}
        assert not msgpack.unpackb(pack_progress(job))['crashed']
