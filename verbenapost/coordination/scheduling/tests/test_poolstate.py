"""Tests of starts, run ends and restarts in the state of a pool."""

import dataclasses

import pytest

from verbenapost.coordination.scheduling.commands import StopTask
from verbenapost.coordination.scheduling.jobprogress import (
    pack_progress,
    restore_progress,
)
from verbenapost.coordination.scheduling.jobs import Job, TaskState
from verbenapost.coordination.scheduling.tests import sample
from verbenapost.coordination.scheduling.tests.sample import (
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
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    CallerJobState,
    StepSpec,
)


class TestStarts:
    def test_a_step_waits_for_its_prerequisites(self):
        pool_state = make_pool_state()
        job = add_job(
            pool_state, StepSpec(2, SMALL), StepSpec(1, SMALL, after=(0,))
        )
        first = start_all(pool_state)
        assert [start.task.key.step for start in first] == [0, 0]
        end_run(pool_state, first[0])
        assert plan(pool_state) == []
        end_run(pool_state, first[1])
        last = start_all(pool_state)
        assert [start.task.key.step for start in last] == [1]
        end_run(pool_state, last[0])
        assert job.state is CallerJobState.COMPLETED

    def test_no_worker_is_overbooked(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(9, SMALL))
        assert len(plan(pool_state)) == 4
        assert plan(pool_state) == []

    def test_best_effort_tasks_book_no_processors(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(9, Resources(1000, 200), fills=True))
        assert len(plan(pool_state)) == 5

    def test_anti_affinity_and_labels_bound_the_choice(self):
        pool_state = make_pool_state(
            make_entry('w0'), make_entry('w1', labels=('b', 'r'))
        )
        add_job(pool_state, StepSpec(4, SMALL, anti_affinity=1))
        assert [start.worker for start in plan(pool_state)] == ['w0', 'w1']
        add_job(pool_state, StepSpec(2, SMALL, requires='b'), job='0' * 16)
        assert {start.worker for start in plan(pool_state)} == {'w1'}

    def test_a_draining_worker_gets_no_task(self):
        pool_state = make_pool_state(make_entry(draining=True))
        add_job(pool_state)
        assert plan(pool_state) == []

    def test_an_occurrence_waits_for_its_time(self):
        pool_state = make_pool_state()
        job = add_job(pool_state)
        spec = sample.JobSpec(
            '0' * 16,
            'plan',
            '',
            (StepSpec(1, SMALL),),
            'routing',
            repetitions=2,
            start_at=10,
            interval=5,
        )
        pool_state.add_job(Job(spec, 0), sample.ROUTE)
        pool_state.cancel_job(job.spec.job)
        assert plan(pool_state, wall=9.9) == []
        assert [
            row.task.key.occurrence for row in plan(pool_state, wall=10)
        ] == [0]
        assert [
            row.task.key.occurrence for row in plan(pool_state, wall=15)
        ] == [1]

    def test_a_gang_starts_whole_or_not_at_all(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(5, SMALL, gang=True))
        assert plan(pool_state) == []
        worker = pool_state.set_worker(make_entry('w1'))
        worker.reconciled = worker.reachable = True
        starts = start_all(pool_state)
        assert {start.run for start in starts} == {1}
        end_run(pool_state, starts[0])
        assert pool_state.jobs[sample.JOB].state is CallerJobState.COMPLETED

    def test_run_numbers_of_a_later_token_exceed_all_earlier_ones(self):
        pool_state = make_pool_state(token=3)
        add_job(pool_state)
        assert plan(pool_state)[0].run == 2001


class TestUnansweredStart:
    def test_no_other_start_until_a_report_follows_its_stop(self):
        pool_state = make_pool_state(make_entry('w0'), make_entry('w1'))
        add_job(pool_state, StepSpec(1, SMALL))
        (start,) = plan(pool_state)
        pool_state.note_start_failed(
            start.task, start.run, CallFaultKind.UNKNOWN, 1
        )
        assert plan(pool_state, now=9) == []
        (stop,) = report(pool_state, start.worker, sent=2, now=2)
        assert stop == StopTask(start.worker, start.task, start.run)
        assert plan(pool_state, now=9) == []
        pool_state.note_stopped(start.task, start.run, now=3)
        report(pool_state, start.worker, sent=2.5, now=4)
        assert plan(pool_state, now=9) == []
        report(pool_state, start.worker, sent=3.5, now=4)
        assert len(plan(pool_state, now=9)) == 1

    def test_a_report_that_lists_it_confirms_it(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(1, SMALL))
        (start,) = plan(pool_state)
        pool_state.note_start_failed(
            start.task, start.run, CallFaultKind.UNKNOWN, 1
        )
        assert report(pool_state, 'w0', [make_row(start)], sent=2) == []
        assert start.task.state is TaskState.RUNNING

    def test_a_report_requested_before_the_answer_is_inconclusive(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(1, SMALL))
        (start,) = plan(pool_state)
        pool_state.note_started(start.task, start.run, now=2)
        report(pool_state, 'w0', sent=1, now=3)
        assert start.task.state is TaskState.RUNNING
        report(pool_state, 'w0', sent=2.5, now=3)
        assert start.task.state is TaskState.WAITING


class TestLostWorker:
    def test_its_tasks_are_freed_once(self):
        pool_state = make_pool_state(make_entry('w0'), make_entry('w1'))
        add_job(pool_state, StepSpec(1, SMALL))
        (start,) = start_all(pool_state)
        lost = pool_state.workers[start.worker]
        assert pool_state.remove_worker(start.worker) == [start.task]
        (again,) = start_all(pool_state)
        assert pool_state.free_tasks(lost) == []
        assert again.task.state is TaskState.RUNNING


class TestEnds:
    def test_a_failure_counts_once(self):
        pool_state = make_pool_state()
        job = add_job(pool_state, StepSpec(1, SMALL))
        (start,) = start_all(pool_state)
        for _ in range(5):
            end_run(pool_state, start, RunEndKind.FAILED)
        assert start.task.failed_runs == (1,)
        assert job.state is CallerJobState.RUNNING

    def test_the_job_fails_at_max_attempts(self):
        pool_state = make_pool_state()
        job = add_job(pool_state, StepSpec(1, SMALL))
        for _ in range(3):
            (start,) = start_all(pool_state)
            end_run(pool_state, start, RunEndKind.FAILED)
        assert job.state is CallerJobState.FAILED
        assert plan(pool_state) == []

    def test_a_long_running_task_restarts_without_limit(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(1, SMALL, long_running=True))
        for _ in range(9):
            (start,) = start_all(pool_state)
            end_run(pool_state, start, RunEndKind.FAILED)
        assert len(plan(pool_state)) == 1

    def test_a_stopped_task_resumes_from_its_checkpoint(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(1, SMALL, checkpointing=True))
        (start,) = start_all(pool_state)
        end_run(pool_state, start, RunEndKind.STOPPED, checkpoint='half')
        assert plan(pool_state)[0].task.checkpoint == 'half'
        assert pool_state.pop_dirty_jobs() == {sample.JOB}

    def test_a_done_task_never_restarts(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(2, SMALL))
        first, second = start_all(pool_state)
        end_run(pool_state, first)
        end_run(pool_state, first, RunEndKind.LAPSED)
        assert first.task.state is TaskState.DONE
        end_run(pool_state, second)
        assert plan(pool_state) == []

    def test_a_cancelled_task_stays_booked_until_its_end(self):
        pool_state = make_pool_state()
        job = add_job(pool_state)
        starts = start_all(pool_state)
        stops = pool_state.cancel_job(sample.JOB)
        assert [stop.run for stop in stops] == [1, 1]
        assert pool_state.workers['w0'].used.cpu == 2000
        for start in starts:
            end_run(pool_state, start, RunEndKind.STOPPED)
        assert pool_state.workers['w0'].used.cpu == 0
        assert job.state is CallerJobState.CANCELLED
        assert plan(pool_state) == []


class TestLateEnd:
    """An earlier run ends after a later one has started on another worker."""

    def start_twice(self):
        pool_state = make_pool_state(make_entry('w0'), make_entry('w1'))
        add_job(pool_state, StepSpec(1, Resources(3000, 100)))
        (first,) = start_all(pool_state)
        pool_state.workers[first.worker].reachable = False
        pool_state.free_tasks(pool_state.workers[first.worker])
        (second,) = start_all(pool_state)
        return pool_state, first, second

    def test_the_later_run_stays_booked_until_its_end_is_reported(self):
        pool_state, first, second = self.start_twice()
        (stop,) = end_run(pool_state, first)
        assert (stop.worker, stop.run) == (second.worker, second.run)
        add_job(pool_state, StepSpec(1, Resources(3000, 100)), job='0' * 16)
        assert plan(pool_state) == []
        end_run(pool_state, second, RunEndKind.STOPPED)
        assert [row.worker for row in plan(pool_state)] == [second.worker]

    def test_a_reported_later_run_is_counted_once(self):
        pool_state, first, second = self.start_twice()
        end_run(pool_state, first)
        report(pool_state, second.worker, [make_row(second)], sent=2, now=2)
        add_job(pool_state, StepSpec(1, SMALL), job='0' * 16)
        assert [row.worker for row in plan(pool_state)] == [second.worker]

    def test_a_report_without_it_releases_it_after_its_stop(self):
        pool_state, first, second = self.start_twice()
        end_run(pool_state, first)
        add_job(pool_state, StepSpec(1, Resources(3000, 100)), job='0' * 16)
        report(pool_state, second.worker, [], sent=2, now=2)
        assert plan(pool_state) == []
        pool_state.note_stopped(second.task, second.run, now=2)
        report(pool_state, second.worker, [], sent=3, now=3)
        assert [row.worker for row in plan(pool_state)] == [second.worker]

    def test_an_unacknowledged_stop_is_repeated(self):
        pool_state, first, second = self.start_twice()
        end_run(pool_state, first)
        (stop,) = report(pool_state, second.worker, [], sent=5, now=5)
        assert stop.run == second.run


class TestUnbookedRuns:
    def test_a_run_being_stopped_still_occupies_capacity(self):
        pool_state = make_pool_state(make_entry('w0'), make_entry('w1'))
        job = add_job(pool_state, StepSpec(3, SMALL))
        for start in start_all(pool_state):
            assert start.worker == 'w0'
        inherited_rows = [
            dataclasses.replace(make_row(start), run=start.run)
            for start in [StopTask('w1', row, row.run) for row in job.tasks()]
        ]
        stops = report(pool_state, 'w1', inherited_rows)
        assert len(stops) == 3
        add_job(pool_state, StepSpec(4, SMALL), job='0' * 16)
        assert [row.worker for row in plan(pool_state)] == ['w0', 'w1']
        report(pool_state, 'w1', [], sent=5)
        assert [row.worker for row in plan(pool_state)] == ['w1', 'w1']

    def test_a_run_of_unknown_size_blocks_its_worker(self):
        other = make_pool_state()
        add_job(other)
        rows = [make_row(start) for start in start_all(other)]
        pool_state = make_pool_state()
        report(pool_state, 'w0', rows)
        add_job(pool_state, job='0' * 16)
        assert plan(pool_state) == []
        report(pool_state, 'w0', [], sent=5)
        assert len(plan(pool_state)) == 2


class TestTakeover:
    def test_inherited_jobs_wait_until_all_workers_have_reported(self):
        pool_state = make_pool_state(token=2)
        pool_state.recovering = True
        add_job(pool_state, inherited=True)
        add_job(pool_state, job='0' * 16)
        assert {row.task.key.job for row in plan(pool_state)} == {'0' * 16}
        pool_state.recovering = False
        assert {row.task.key.job for row in plan(pool_state)} == {sample.JOB}

    def test_known_runs_are_adopted_and_unknown_runs_are_stopped(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(1, SMALL))
        (start,) = start_all(pool_state)
        successor = make_pool_state(token=2)
        add_job(successor, StepSpec(1, SMALL), inherited=True)
        assert report(successor, 'w0', [make_row(start)]) == []
        assert plan(successor) == []
        unrelated = make_pool_state(token=2)
        (stop,) = report(unrelated, 'w0', [make_row(start)])
        assert stop.run == start.run

    def test_progress_survives_a_takeover(self):
        pool_state = make_pool_state()
        job = add_job(pool_state, StepSpec(3, SMALL))
        done, failed, stopped = start_all(pool_state)
        end_run(pool_state, done)
        end_run(pool_state, failed, RunEndKind.FAILED)
        end_run(pool_state, stopped, RunEndKind.STOPPED, checkpoint='half')
        successor = Job(job.spec, 0)
        restore_progress(successor, pack_progress(job), revision=7)
        states = [task.state for task in successor.tasks()]
        assert states == [TaskState.DONE, TaskState.WAITING, TaskState.WAITING]
        runs = [task.failed_runs for task in successor.tasks()]
        assert runs == [(), (1,), ()]
        assert [task.checkpoint for task in successor.tasks()][2] == 'half'


class TestEndedJobs:
    """The state in which a job has ended stays."""

    @pytest.mark.parametrize(
        'state', [CallerJobState.CANCELLED, CallerJobState.FAILED]
    )
    def test_ends_that_are_done_afterwards_do_not_complete_it(self, state):
        """Guards against a cancelled job that is shown as completed later."""
        pool_state = make_pool_state()
        job = add_job(pool_state)
        running = start_all(pool_state)
        pool_state.end_job(job, state)
        for start in running:
            end_run(pool_state, start)
        assert job.state is state
        assert not pool_state.workers['w0'].tasks
