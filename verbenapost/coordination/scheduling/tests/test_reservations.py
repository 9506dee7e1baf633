"""Tests of the capacity that is kept for long-running tasks.

The load: a burst keeps a pool full with short tasks, while a long-running
task that is larger than each of them waits for a place.
"""

import random

import pytest

from verbenapost.coordination.scheduling.tests.sample import (
    CAPACITY,
    SMALL,
    add_job,
    end_run,
    make_entry,
    make_pool_state,
    plan,
    start_all,
)
from verbenapost.coordination.scheduling.workers import compute_booking
from verbenapost.protocol.orders import RunEndKind
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    StepSpec,
)

LARGE = Resources(3000, 300)
SPREAD = Resources(1000, 250)
LARGER = Resources(1000, 800)
LASTING = '1a57000000000000'
LATER = '1a57000000000001'
VMS = 5


def make_full_pool():
    """Return a pool full with short tasks, more of which wait."""
    pool_state = make_pool_state(*(make_entry(f'w{row}') for row in range(VMS)))
    add_job(pool_state, StepSpec(200, SMALL))
    return pool_state, start_all(pool_state)


def count_ends_until_start(pool_state, running):
    """End the oldest short task until a long-running one starts.

    :returns: number of ends.
    """
    for ends in range(1, 100):
        end_run(pool_state, running.pop(0))
        for start in plan(pool_state):
            pool_state.note_started(start.task, start.run, 0)
            if start.task.step.long_running:
                return ends
            running.append(start)
    raise AssertionError('the long-running task has not started')


class TestReservation:
    @pytest.mark.parametrize('seed', range(20))
    def test_a_large_task_starts_once_one_worker_has_drained(self, seed):
        pool_state, running = make_full_pool()
        add_job(pool_state, StepSpec(1, LARGE, long_running=True), job=LASTING)
        plan(pool_state)
        random.Random(seed).shuffle(running)
        short_tasks = len(running)
        assert count_ends_until_start(pool_state, running) <= short_tasks

    def test_the_priority_of_short_jobs_does_not_matter(self):
        pool_state = make_pool_state()
        add_job(pool_state, StepSpec(9, SMALL))
        lasting = add_job(
            pool_state, StepSpec(1, SMALL, long_running=True), job=LASTING
        )
        lasting.arrived_at = 9
        assert plan(pool_state)[0].task.step.long_running

    def test_a_reservation_ends_with_its_job(self):
        pool_state, running = make_full_pool()
        add_job(pool_state, StepSpec(1, LARGE, long_running=True), job=LASTING)
        plan(pool_state)
        assert sum(row.reserved.cpu for row in pool_state.workers.values())
        pool_state.cancel_job(LASTING)
        end_run(pool_state, running[0])
        assert len(plan(pool_state)) == 1
        assert not any(row.reserved.cpu for row in pool_state.workers.values())


class TestRestartedWorker:
    """A worker that restarts under its identity has no reservations."""

    def test_it_is_not_filled_beyond_its_capacity(self):
        """Guards against a reservation that is released from its successor."""
        pool_state, _ = make_full_pool()
        add_job(pool_state, StepSpec(1, LARGE, long_running=True), job=LASTING)
        plan(pool_state)
        (name,) = [
            name
            for name, worker in pool_state.workers.items()
            if worker.reserved.cpu
        ]
        pool_state.remove_worker(name)
        worker = pool_state.set_worker(make_entry(name))
        worker.reconciled = True
        worker.reachable = True
        start_all(pool_state, now=1)
        assert worker.reserved == Resources()
        assert_within_capacity(pool_state)


class TestTasksThatStay:
    """A long-running task that fits beside no other that stays."""

    def make_crowded_pool(self):
        """Return a pool with a task that stays on each VM, and a larger job."""
        pool_state = make_pool_state(
            *(make_entry(f'w{row}') for row in range(VMS))
        )
        add_job(pool_state, self.make_step(SPREAD), job=LASTING)
        running = start_all(pool_state)
        add_job(pool_state, self.make_step(LARGER), job=LATER, now=1.0)
        assert not plan(pool_state, now=1)
        return pool_state, running

    def make_step(self, size):
        return StepSpec(VMS, size, long_running=True, anti_affinity=1)

    def test_short_tasks_start_beside_them(self):
        """Guards against review/7: no short job of the service started."""
        pool_state, _ = self.make_crowded_pool()
        add_job(pool_state, StepSpec(2, SMALL))
        assert len(start_all(pool_state, now=2)) == 2

    def test_one_whose_run_ends_starts_again_on_its_vm(self):
        """Guards against reservations that exclude each other."""
        pool_state, running = self.make_crowded_pool()
        end_run(pool_state, running[0], RunEndKind.FAILED, now=2)
        (start,) = plan(pool_state, now=2)
        assert (start.task, start.worker) == (
            running[0].task,
            running[0].worker,
        )

    def test_the_larger_one_has_its_turn_once_they_are_cancelled(self):
        pool_state, running = self.make_crowded_pool()
        add_job(pool_state, StepSpec(100, SMALL))
        short = start_all(pool_state, now=2)
        pool_state.cancel_job(LASTING)
        plan(pool_state, now=2)
        assert sum(row.reserved.cpu for row in pool_state.workers.values())
        for start in (*running, *short):
            end_run(pool_state, start, RunEndKind.STOPPED, now=3)
        starts = [row.task.key.job for row in plan(pool_state, now=3)]
        assert starts.count(LATER) == VMS

    def test_two_that_exclude_each_other_are_reserved_apart(self):
        pool_state, _ = make_full_pool()
        for row in range(VMS + 1):
            name = f'1a570000000000{row:02x}'
            step = StepSpec(1, Resources(1000, 600), long_running=True)
            add_job(pool_state, step, job=name)
        plan(pool_state)
        for worker in pool_state.workers.values():
            assert worker.reserved == Resources(1000, 600)

    def test_reservations_keep_to_the_limit_of_a_step_per_vm(self):
        pool_state = make_pool_state(make_entry('w0'), make_entry('w1'))
        add_job(pool_state, StepSpec(1, Resources(500, 950)))
        add_job(pool_state, StepSpec(1, Resources(4000, 100)), job=LATER)
        assert len({row.worker for row in start_all(pool_state)}) == 2
        size = Resources(2000, 100)
        add_job(
            pool_state,
            StepSpec(2, size, long_running=True, anti_affinity=1),
            job=LASTING,
        )
        plan(pool_state)
        for worker in pool_state.workers.values():
            assert worker.reserved == size


class TestMix:
    """Random stops, ends and leaving VMs, with room for all tasks."""

    @pytest.mark.parametrize('seed', range(30))
    def test_each_ended_run_is_placed_in_the_next_round(self, seed):
        rng = random.Random(seed)
        pool_state = make_pool_state(
            *(make_entry(f'w{row}') for row in range(8))
        )
        add_job(pool_state, StepSpec(6, SMALL, long_running=True), job=LASTING)
        add_job(pool_state, StepSpec(500, SMALL))
        running = start_all(pool_state)
        for now in range(1, 60):
            for worker in pool_state.workers.values():
                worker.leaving = rng.random() < 0.2
            for _ in range(rng.randrange(4)):
                kind = rng.choice((RunEndKind.STOPPED, RunEndKind.FAILED))
                ended = running.pop(rng.randrange(len(running)))
                if not ended.task.step.long_running:
                    kind = RunEndKind.DONE
                end_run(pool_state, ended, kind, now=now)
            running.extend(start_all(pool_state, now))
            free = find_free_workers(pool_state, now)
            waiting = find_waiting(pool_state)
            assert not (free and waiting)
            assert_within_capacity(pool_state)


def find_free_workers(pool_state, now):
    return [
        worker
        for worker in pool_state.workers.values()
        if worker.accepts_tasks(now)
        and worker.used.plus(SMALL).fits(worker.entry.capacity)
    ]


def find_waiting(pool_state):
    return [
        task
        for task in pool_state.jobs[LASTING].tasks()
        if not task.state.placed
    ]


def assert_within_capacity(pool_state):
    for worker in pool_state.workers.values():
        used = Resources()
        for task in worker.tasks.values():
            used = used.plus(compute_booking(task.step))
        assert used.fits(CAPACITY)
