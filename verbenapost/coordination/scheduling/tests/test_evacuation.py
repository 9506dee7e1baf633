"""Tests of the evacuation of long-running tasks."""

import dataclasses

import pytest

from verbenapost.coordination.scheduling.evacuation import evacuate
from verbenapost.coordination.scheduling.tests.sample import (
    CAPACITY,
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
from verbenapost.protocol.orders import RunEndKind
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    StepSpec,
)


def add_worker(pool_state, name):
    worker = pool_state.set_worker(make_entry(name))
    worker.reconciled = worker.reachable = True
    return worker


def stop(pool_state, leaving, now):
    """Evacuate workers and return the stops."""
    return evacuate(pool_state, leaving, now).commands


class TestEvacuation:
    @pytest.mark.parametrize(('may_miss', 'stopped'), [(0, 4), (1, 1), (2, 2)])
    def test_stops_stay_within_the_disruption_budget(self, may_miss, stopped):
        pool_state = make_pool_state(make_entry('w0'), make_entry('w1'))
        spec = StepSpec(4, SMALL, long_running=True, may_miss=may_miss)
        add_job(pool_state, spec)
        start_all(pool_state)
        leaving = list(pool_state.workers.values())
        add_worker(pool_state, 'w2')
        assert len(stop(pool_state, leaving, now=9)) == stopped

    def test_the_next_task_stops_once_the_previous_one_is_available(self):
        pool_state = make_pool_state(make_entry('w0'), make_entry('w1'))
        spec = StepSpec(2, SMALL, long_running=True, may_miss=1)
        add_job(pool_state, spec)
        starts = start_all(pool_state)
        leaving = pool_state.workers[starts[0].worker]
        leaving.leaving = True
        (stopped,) = stop(pool_state, [leaving], now=9)
        (first,) = [row for row in starts if row.task is stopped.task]
        end_run(pool_state, first, RunEndKind.STOPPED, now=9)
        (again,) = plan(pool_state, now=9)
        pool_state.note_started(again.task, again.run, now=9)
        assert again.worker != leaving.entry.worker
        for progress, load in ((60, 0), (100, 0)):
            row = make_row(again, load=load, progress=progress)
            report(pool_state, again.worker, [row], now=19)
            assert stop(pool_state, [leaving], now=19) == []
        row = make_row(again, load=1)
        report(pool_state, again.worker, [row], now=20)
        assert len(stop(pool_state, [leaving], now=20)) == 1

    def test_unreachable_tasks_count_as_unavailable(self):
        pool_state = make_pool_state(make_entry('w0'), make_entry('w1'))
        spec = StepSpec(2, SMALL, long_running=True, may_miss=1)
        spread = dataclasses.replace(spec, anti_affinity=1)
        add_job(pool_state, spread)
        start_all(pool_state)
        add_worker(pool_state, 'w2')
        pool_state.workers['w1'].reachable = False
        assert stop(pool_state, [pool_state.workers['w0']], now=9) == []

    def test_no_task_stops_that_could_not_start_elsewhere_yet(self):
        pool_state = make_pool_state(make_entry('w0'))
        spec = StepSpec(2, SMALL, long_running=True, may_miss=1)
        add_job(pool_state, spec, inherited=True)
        start_all(pool_state)
        add_worker(pool_state, 'w1')
        leaving = [pool_state.workers['w0']]
        pool_state.recovering = True
        assert stop(pool_state, leaving, now=9) == []
        pool_state.recovering = False
        assert len(stop(pool_state, leaving, now=9)) == 1

    def test_a_draining_worker_is_emptied_at_once(self):
        pool_state = make_pool_state(make_entry('w0'))
        spec = StepSpec(3, SMALL, long_running=True, may_miss=1)
        add_job(pool_state, spec)
        start_all(pool_state)
        pool_state.set_worker(make_entry('w0', draining=True))
        workers = list(pool_state.workers.values())
        assert len(stop(pool_state, workers, now=0.1)) == 3


class TestLostStop:
    """A leader without its lease drops the stops that it has planned."""

    def lose_stop(self):
        """Return a task whose stop at second 9 never reached its worker."""
        pool_state = make_pool_state(make_entry('w0'), make_entry('w1'))
        spec = StepSpec(2, SMALL, long_running=True, may_miss=1)
        add_job(pool_state, dataclasses.replace(spec, anti_affinity=1))
        starts = start_all(pool_state)
        add_worker(pool_state, 'w2')
        leaving = pool_state.workers['w0']
        leaving.leaving = True
        (stopped,) = stop(pool_state, [leaving], now=9)
        (start,) = [row for row in starts if row.task is stopped.task]
        return pool_state, start

    def list_again(self, pool_state, start, now):
        row = make_row(start, load=1)
        return report(pool_state, 'w0', [row], sent=now - 0.1, now=now)

    def test_a_run_that_goes_on_is_stopped_again(self):
        pool_state, start = self.lose_stop()
        assert self.list_again(pool_state, start, now=9.5) == []
        (again,) = self.list_again(pool_state, start, now=10.1)
        assert again.task is start.task
        assert self.list_again(pool_state, start, now=10.2) == []

    def test_an_acknowledged_stop_is_not_repeated(self):
        pool_state, start = self.lose_stop()
        pool_state.note_stopped(start.task, start.run, now=9.1)
        assert self.list_again(pool_state, start, now=11) == []

    def test_the_disruption_budget_holds_for_the_repeated_stop(self):
        pool_state, start = self.lose_stop()
        pool_state.workers['w1'].reachable = False
        assert self.list_again(pool_state, start, now=11) == []
        pool_state.workers['w1'].reachable = True
        assert len(self.list_again(pool_state, start, now=12)) == 1

    def test_a_draining_worker_is_stopped_again_in_any_case(self):
        pool_state, start = self.lose_stop()
        pool_state.workers['w1'].reachable = False
        pool_state.set_worker(make_entry('w0', draining=True))
        assert len(self.list_again(pool_state, start, now=11)) == 1


class TestCapacity:
    """A wave empties VMs of a pool whose memory is full."""

    def test_a_task_stays_while_no_worker_has_capacity(self):
        pool_state = make_pool_state(make_entry('w0'), make_entry('w1'))
        large = Resources(100, CAPACITY.memory)
        add_job(pool_state, StepSpec(2, large, long_running=True))
        start_all(pool_state)
        leaving = pool_state.workers['w0']
        evacuation = evacuate(pool_state, [leaving], now=9)
        assert evacuation.commands == []
        assert evacuation.blocked == list(leaving.tasks.values())
        add_worker(pool_state, 'w2')
        evacuation = evacuate(pool_state, [leaving], now=9)
        assert len(evacuation.commands) == 1
        assert evacuation.blocked == []

    def test_two_stopped_tasks_do_not_share_one_place(self):
        pool_state = make_pool_state(make_entry('w0'))
        large = Resources(100, CAPACITY.memory // 2)
        add_job(pool_state, StepSpec(2, large, long_running=True))
        start_all(pool_state)
        small_vm = make_entry('w1', capacity=Resources(4000, large.memory))
        worker = pool_state.set_worker(small_vm)
        worker.reconciled = worker.reachable = True
        leaving = pool_state.workers['w0']
        evacuation = evacuate(pool_state, [leaving], now=9)
        assert len(evacuation.commands) == 1
        assert len(evacuation.blocked) == 1

    def test_the_place_of_a_stopped_task_is_kept(self):
        pool_state = make_pool_state(make_entry('w0'))
        add_job(pool_state, StepSpec(1, CAPACITY, long_running=True))
        (start,) = start_all(pool_state)
        add_worker(pool_state, 'w1')
        leaving = pool_state.workers['w0']
        leaving.leaving = True
        assert len(stop(pool_state, [leaving], now=9)) == 1
        add_job(pool_state, StepSpec(9, SMALL), job='2' * 16)
        assert plan(pool_state, now=9) == []
        end_run(pool_state, start, RunEndKind.STOPPED, now=9)
        assert [row.task for row in plan(pool_state, now=9)] == [start.task]
