"""Planning on workers whose capacity changes while they run."""

import dataclasses

from verbenapost.coordination.scheduling.jobs import TaskState
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
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    StepSpec,
)


class TestShrunkCapacity:
    """The entry of a running worker shows less capacity than is booked."""

    def shrink(self, pool_state, capacity):
        worker = pool_state.workers['w0']
        worker.entry = dataclasses.replace(worker.entry, capacity=capacity)

    def test_tasks_that_are_being_stopped_still_count(self):
        pool_state = make_pool_state()
        job = add_job(pool_state, StepSpec(3, SMALL))
        start_all(pool_state)
        pool_state.cancel_job(job.spec.job)
        for task in job.tasks():
            task.state = TaskState.STOPPING
        self.shrink(pool_state, Resources(2000, 1000))
        add_job(pool_state, StepSpec(1, SMALL), job='000000000000000a')
        assert plan(pool_state) == []

    def test_growth_is_used_in_the_next_round(self):
        pool_state = make_pool_state()
        self.shrink(pool_state, SMALL)
        add_job(pool_state, StepSpec(4, SMALL))
        assert len(plan(pool_state)) == 1
        self.shrink(pool_state, CAPACITY)
        assert len(plan(pool_state)) == 3

    def test_a_reservation_does_not_outlast_the_capacity(self):
        pool_state = make_pool_state(make_entry('w0'), make_entry('w1'))
        lasting = StepSpec(1, Resources(3000, 100), long_running=True)
        add_job(pool_state, StepSpec(8, SMALL))
        running = start_all(pool_state)
        add_job(pool_state, lasting, job='1a57000000000000')
        plan(pool_state)
        reserved = next(
            name
            for name, worker in pool_state.workers.items()
            if worker.reserved.cpu
        )
        worker = pool_state.workers[reserved]
        worker.entry = dataclasses.replace(
            worker.entry, capacity=Resources(2000, 1000)
        )
        for start in running:
            if start.worker == reserved:
                end_run(pool_state, start)
        assert reserved not in {start.worker for start in plan(pool_state)}
