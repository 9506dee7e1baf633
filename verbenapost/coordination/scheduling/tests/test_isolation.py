"""Workers for the tasks of suspect jobs, and for those of all others."""

import dataclasses

from verbenapost.coordination.scheduling.crashes import (
    PROOF_SECONDS,
    find_awaiting_proof,
)
from verbenapost.coordination.scheduling.jobs import TaskState
from verbenapost.coordination.scheduling.tests.crashes import (
    BAD,
    GOOD,
    ONE,
    OTHER,
    StartedRuns,
    crash,
    crash_under,
    make_pool,
    prove,
)
from verbenapost.coordination.scheduling.tests.sample import (
    CAPACITY,
    ROUTE,
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
    AdviceTerms,
    StepSpec,
)


class TestIsolation:
    def make_suspect(self, pool_state, *steps):
        """Return a job whose first run has crashed its worker."""
        bad = add_job(pool_state, *(steps or (ONE,)), job=BAD)
        start_all(pool_state)
        crash_under(pool_state, next(bad.tasks()))
        return bad

    def test_nothing_starts_beside_a_suspect_run(self):
        pool_state = make_pool(2)
        bad = self.make_suspect(pool_state)
        start_all(pool_state, now=1)
        isolated = next(bad.tasks()).worker
        add_job(pool_state, StepSpec(20, SMALL), job=GOOD)
        starts = start_all(pool_state, now=1)
        assert starts
        assert isolated not in {start.worker for start in starts}
        prove(pool_state, isolated, 1 + PROOF_SECONDS)
        starts = start_all(pool_state, now=2)
        assert {start.worker for start in starts} == {isolated}

    def add_suspect(self, pool_state):
        """Add a job under whose task a worker has crashed before."""
        bad = add_job(pool_state, ONE, job=BAD)
        next(bad.tasks()).crashed_runs = (1,)
        pool_state.suspects[BAD] = bad
        return next(bad.tasks())

    def test_a_suspect_task_starts_beside_proven_runs_only(self):
        pool_state = make_pool(2)
        add_job(pool_state, StepSpec(6, SMALL), job=GOOD)
        start_all(pool_state)
        prove(pool_state, 'w1', PROOF_SECONDS)
        bad = self.add_suspect(pool_state)
        start_all(pool_state, now=1)
        assert bad.worker == 'w1'

    def test_no_worker_is_kept_where_a_suspect_task_will_not_fit(self):
        """Guards against a kept worker that nobody can use."""
        pool_state = make_pool(2)
        stays = StepSpec(2, SMALL, long_running=True, anti_affinity=1)
        add_job(pool_state, stays, job=GOOD)
        start_all(pool_state)
        bad = add_job(
            pool_state, StepSpec(1, CAPACITY, long_running=True), job=BAD
        )
        next(bad.tasks()).crashed_runs = (1,)
        pool_state.suspects[BAD] = bad
        add_job(pool_state, StepSpec(6, SMALL))
        assert len(start_all(pool_state, now=1)) == 6
        assert not pool_state.kept_workers

    def test_a_busy_pool_keeps_a_worker_for_it(self):
        """New tasks start everywhere, so no worker is without such a run."""
        pool_state = make_pool(2)
        add_job(pool_state, StepSpec(60, SMALL), job=GOOD)
        running = start_all(pool_state)
        bad = self.add_suspect(pool_state)
        now = 0.0
        while not bad.state.placed and now < 5:
            now += PROOF_SECONDS
            for name in pool_state.workers:
                prove(pool_state, name, now)
            # Each worker frees some capacity, and new runs would take it.
            for name in pool_state.workers:
                ended = next(row for row in running if row.worker == name)
                running.remove(ended)
                end_run(pool_state, ended)
            started = start_all(pool_state, now=now)
            running.extend(started)
        assert now <= 2 * PROOF_SECONDS

    def test_a_kept_worker_stays_the_same(self):
        pool_state = make_pool(4)
        add_job(pool_state, StepSpec(13, SMALL), job=GOOD)
        start_all(pool_state)
        self.add_suspect(pool_state)
        plan(pool_state, now=0.1)
        kept = dict(pool_state.kept_workers)
        add_job(pool_state, StepSpec(8, SMALL), job=OTHER, now=0.1)
        plan(pool_state, now=0.2)
        assert kept
        assert pool_state.kept_workers == kept

    def test_all_tasks_of_a_job_share_a_worker(self):
        """A rack takes many tasks of a few jobs along."""
        pool_state = make_pool(1)
        add_job(pool_state, StepSpec(4, SMALL), job=GOOD)
        start_all(pool_state)
        crash(pool_state, 'w0')
        assert len(start_all(pool_state, now=1)) == 4

    def test_a_gang_starts_whole_and_apart(self):
        pool_state = make_pool(4)
        gang = StepSpec(4, Resources(3000, 100), gang=True)
        self.make_suspect(pool_state, gang)
        for task in pool_state.jobs[BAD].tasks():
            pool_state.free_task(task)
        add_job(pool_state, StepSpec(8, SMALL), job=GOOD)
        starts = start_all(pool_state, now=1)
        assert {start.task.key.job for start in starts} == {BAD}

    def test_a_long_running_task_is_placed_again(self):
        pool_state = make_pool(2)
        lasting = StepSpec(1, CAPACITY, long_running=True)
        bad = self.make_suspect(pool_state, lasting)
        add_job(pool_state, StepSpec(8, SMALL), job=GOOD)
        start_all(pool_state, now=1)
        assert next(bad.tasks()).state is TaskState.RUNNING
        assert find_awaiting_proof(
            pool_state, pool_state.workers[next(bad.tasks()).worker]
        )

    def test_a_pool_without_suspects_is_planned_as_ever(self):
        pool_state = make_pool(2)
        bad = self.make_suspect(pool_state)
        start_all(pool_state, now=1)
        prove(pool_state, next(bad.tasks()).worker, 1 + PROOF_SECONDS)
        add_job(pool_state, StepSpec(7, SMALL), job=GOOD)
        assert len(start_all(pool_state, now=2)) == 7
        assert not pool_state.suspects

    def test_a_suspect_task_starts_where_the_fewest_others_run(self):
        """Its crash takes their work along, although they are innocent."""
        pool_state = make_pool(2)
        add_job(pool_state, StepSpec(3, SMALL), job=GOOD)
        start_all(pool_state)
        prove(pool_state, 'w0', PROOF_SECONDS)
        assert self.add_suspect(pool_state).state is TaskState.WAITING
        (start,) = start_all(pool_state, now=1)
        assert start.worker == 'w1'


class TestKeptWorkers:
    """Suspect jobs must not hold up others, nor wait without end."""

    def add_suspect(self, pool_state, *steps, now=1.0, **changes):
        """Add a job under whose task a worker has crashed before."""
        job = add_job(pool_state, *steps, job=BAD, now=now, **changes)
        next(job.tasks()).crashed_runs = (1,)
        pool_state.suspects[BAD] = job
        return job

    def run_long(self, pool_state, *sizes):
        """Fill the workers one after the other with long-running tasks."""
        for number, size in enumerate(sizes):
            step = StepSpec(1, size, long_running=True, requires=f'k{number}')
            add_job(pool_state, step, job=f'{number:016x}')
        assert len(start_all(pool_state)) == len(sizes)
        for name in pool_state.workers:
            prove(pool_state, name, PROOF_SECONDS)

    def make_labelled_pool(self, count):
        return make_pool_state(
            *(
                make_entry(f'w{row}', labels=(f'k{row}', 'r1'))
                for row in range(count)
            )
        )

    def test_a_long_running_task_starts_on_a_kept_worker(self):
        """The suspect task waits there until short tasks end."""
        pool_state = self.make_labelled_pool(2)
        self.run_long(pool_state, SMALL, CAPACITY)
        add_job(pool_state, StepSpec(1, SMALL), job=GOOD)
        start_all(pool_state)
        prove(pool_state, 'w0', PROOF_SECONDS)
        self.add_suspect(pool_state, StepSpec(1, Resources(3000, 100)))
        plan(pool_state, now=1)
        lasting = StepSpec(1, SMALL, long_running=True)
        add_job(pool_state, lasting, job=OTHER, now=1)
        starts = start_all(pool_state, now=1.1)
        assert [start.task.key.job for start in starts] == [OTHER]

    def test_a_worker_that_never_has_room_is_not_kept(self):
        """Long-running tasks hold the room that the suspect task needs."""
        pool_state = self.make_labelled_pool(1)
        self.run_long(pool_state, SMALL)
        self.add_suspect(pool_state, StepSpec(1, CAPACITY))
        plan(pool_state, now=1)
        add_job(pool_state, ONE, job=GOOD, now=1)
        starts = start_all(pool_state, now=60)
        assert [start.task.key.job for start in starts] == [GOOD]

    def test_a_long_running_task_starts_before_many_suspect_ones(self):
        """Each worker has a suspect run at any time until all are proven."""
        pool_state = make_pool(2)
        for number in range(12):
            job = add_job(pool_state, ONE, job=f'{number:016x}')
            next(job.tasks()).crashed_runs = (1,)
            pool_state.suspects[job.spec.job] = job
        start_all(pool_state)
        lasting = StepSpec(1, SMALL, long_running=True)
        good = add_job(pool_state, lasting, job=OTHER)
        now = 0.0
        while not next(good.tasks()).state.placed:
            now += PROOF_SECONDS
            for name, worker in pool_state.workers.items():
                prove(pool_state, name, now)
                for run in StartedRuns(worker).rows:
                    run.worker = name
                    end_run(pool_state, run)
            start_all(pool_state, now=now)
        assert now <= PROOF_SECONDS

    def test_no_worker_is_kept_for_a_gang_that_does_not_fit(self):
        """Long-running tasks hold the room of one of its members."""
        pool_state = self.make_labelled_pool(2)
        self.run_long(pool_state, SMALL, CAPACITY)
        gang = StepSpec(2, Resources(2000, 100), gang=True)
        self.add_suspect(pool_state, gang)
        plan(pool_state, now=1)
        add_job(pool_state, ONE, job=GOOD, now=1)
        starts = start_all(pool_state, now=60)
        assert [start.task.key.job for start in starts] == [GOOD]

    def test_a_gang_on_most_workers_starts_in_a_busy_pool(self):
        """New runs start on each worker before the last one is proven."""
        pool_state = make_pool(4)
        gang = StepSpec(4, SMALL, gang=True, anti_affinity=1)
        bad = None
        running = []
        for number in range(40):
            now = number / 10
            for name in pool_state.workers:
                prove(pool_state, name, now)
            while running and running[0].task.started_at < now - 0.5:
                end_run(pool_state, running.pop(0), now=now)
            spread = StepSpec(4, Resources(100, 10), anti_affinity=1)
            add_job(pool_state, spread, job=f'{number:015x}9', now=now)
            if number == 10:
                bad = self.add_suspect(pool_state, gang, now=now)
            running.extend(
                start
                for start in start_all(pool_state, now=now)
                if start.task.key.job != BAD
            )
            if bad and all(task.state.placed for task in bad.tasks()):
                break
        assert now < 2

    def test_a_kept_worker_has_a_ticket(self):
        """No other worker can ever start the task."""
        pool_state = make_pool(2)
        add_job(pool_state, StepSpec(3, SMALL), job=GOOD)
        start_all(pool_state)
        route = dataclasses.replace(ROUTE, advice=AdviceTerms(0.1, 0.1, 60))
        bad = self.add_suspect(pool_state, ONE, route=route)
        pool_state.tickets.put(next(bad.tasks()).key, {'w0': 'ticket'}, 60)
        plan(pool_state, now=0.1)
        assert pool_state.kept_workers == {'w0': BAD}
