"""Ends of the runs of tasks that run until their job is cancelled."""

import msgpack
import pytest

from verbenapost.coordination.scheduling.jobprogress import restore_progress
from verbenapost.coordination.scheduling.tests.sample import (
    JOB,
    SMALL,
    add_job,
    end_run,
    make_entry,
    make_pool_state,
    plan,
    start_all,
)
from verbenapost.protocol.orders import RunEndKind
from verbenapost.state.workloads import CallerJobState, StepSpec

LASTING = StepSpec(2, SMALL, long_running=True)


class TestEnds:
    @pytest.mark.parametrize('kind', list(RunEndKind))
    def test_a_task_starts_again_however_its_run_ends(self, kind):
        """Guards against review/9: one that ended as done never started."""
        pool_state = make_pool_state()
        job = add_job(pool_state, LASTING)
        running = start_all(pool_state)
        for turn in range(1, 5):
            ended = running.pop(0)
            end_run(pool_state, ended, kind, now=turn)
            (start,) = start_all(pool_state, now=turn)
            assert (start.task, start.run) == (ended.task, ended.run + 1)
            running.append(start)
        assert job.state is CallerJobState.RUNNING

    def test_the_checkpoint_of_a_run_that_is_done_is_kept(self):
        pool_state = make_pool_state()
        add_job(pool_state, LASTING)
        ended = start_all(pool_state)[0]
        end_run(pool_state, ended, checkpoint='later')
        (start,) = plan(pool_state)
        assert start.task.checkpoint == 'later'

    def test_the_end_of_an_earlier_run_changes_nothing(self):
        pool_state = make_pool_state()
        job = add_job(pool_state, LASTING)
        first, _ = start_all(pool_state)
        end_run(pool_state, first, RunEndKind.STOPPED)
        start_all(pool_state)
        assert end_run(pool_state, first, RunEndKind.DONE, now=2) == []
        assert plan(pool_state, now=2) == []
        assert job.state is CallerJobState.RUNNING

    def test_a_gang_starts_again_once_all_members_have_ended(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(2, SMALL, long_running=True, gang=True))
        first, second = start_all(pool_state)
        end_run(pool_state, first, RunEndKind.DONE)
        assert plan(pool_state) == []
        end_run(pool_state, second, RunEndKind.DONE)
        assert {start.run for start in plan(pool_state)} == {2}

    def test_a_plain_step_of_the_same_job_that_is_done_stays_so(self):
        pool_state = make_pool_state()
        job = add_job(
            pool_state,
            StepSpec(1, SMALL),
            StepSpec(1, SMALL, long_running=True),
        )
        for start in start_all(pool_state):
            end_run(pool_state, start, RunEndKind.DONE)
        (start,) = start_all(pool_state, now=2)
        assert start.task.step.long_running
        assert job.state is CallerJobState.RUNNING

    def test_its_run_times_are_not_taken_for_those_of_plain_tasks(self):
        pool_state = make_pool_state()
        job = add_job(pool_state, LASTING)
        before = pool_state.run_times.estimate(job.spec.route)
        end_run(pool_state, start_all(pool_state)[0], now=500)
        assert pool_state.run_times.estimate(job.spec.route) == before


class TestStoredProgress:
    def test_a_record_that_takes_a_task_for_done_lets_it_start(self):
        """Guards against records that daemons of older versions wrote."""
        pool_state = make_pool_state(make_entry())
        job = add_job(pool_state, StepSpec(1, SMALL), LASTING)
        done = [[0, 0, 0], [0, 1, 1]]
        packed = msgpack.packb({'state': 'running', 'done': done})
        restore_progress(job, packed, 7)
        starts = {start.task.key.position for start in plan(pool_state)}
        assert starts == {(0, 1, 0), (0, 1, 1)}
        assert pool_state.jobs[JOB].state is CallerJobState.RUNNING
