"""Random histories of workers and leaders, in which a cap must hold.

The model has what each worker really runs; the pool state knows that only from
answers and reports, which may be lost.
"""

import random

from hypothesis import given, strategies

from verbenapost.coordination.scheduling.commands import StartTask, StopTask
from verbenapost.coordination.scheduling.inheritedusage import InheritedUsage
from verbenapost.coordination.scheduling.jobprogress import (
    pack_progress,
    restore_progress,
)
from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.planning import StartPlanner
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.quotas import QuotaGate
from verbenapost.coordination.scheduling.reports import ReportReconciler
from verbenapost.coordination.scheduling.tests.sample import ROUTE, make_entry
from verbenapost.protocol.orders import (
    CallFaultKind,
    ListedRun,
    RunEnd,
    RunEndKind,
    WorkerReport,
)
from verbenapost.state.resources import Resources
from verbenapost.state.tenants import TenantTerms
from verbenapost.state.workloads import JobSpec, StepSpec

CAP = 3000
SIZES = (500, 1000, 1700)
WORKERS = 2
JOBS = 60
HISTORY_STEPS = 200
POOLS = ('x', 'y')

STEPS = [
    'plan',
    'plan',
    'plan',
    'submit',
    'submit',
    'start',
    'start',
    'start',
    'start',
    'report',
    'report',
    'report',
    'report',
    'report',
    'end',
    'end',
    'stop',
    'lose_answer',
    'lapse',
    'cancel',
    'take_over',
]


class ModelWorker:
    """What a worker runs, and the ends that it has yet to report."""

    def __init__(self):
        self.runs = {}
        self.stopped = set()
        self.ends = []
        self.token = 1

    def start(self, order, token):
        run = (order.task.key, order.run)
        if token >= self.token and run not in self.stopped:
            self.runs[run] = order.task.step.size.cpu

    def stop(self, task, run):
        self.stopped.add((task.key, run))
        self.runs.pop((task.key, run), None)


class World:
    """Two pools with one leader after another, and one limited tenant."""

    def __init__(self, rng):
        self.rng = rng
        self.now = 0.0
        self.token = 0
        self.jobs = {}
        self.orders = []
        self.workers = {
            pool: {f'{pool}{row}': ModelWorker() for row in range(WORKERS)}
            for pool in POOLS
        }
        self.take_over()

    def check(self):
        running = sum(
            size
            for workers in self.workers.values()
            for worker in workers.values()
            for size in worker.runs.values()
        )
        assert running < CAP + max(SIZES)

    def take_over(self):
        """Let another leader begin with what a stored record may show."""
        self.token += 1
        pools = {}
        gate = QuotaGate(None, InheritedUsage(pools.values).count)
        self.pools = pools
        for pool in POOLS:
            pools[pool] = PoolState(pool, self.token, gate)
            pools[pool].recovering = self.token > 1
            for name in self.workers[pool]:
                pools[pool].set_worker(make_entry(name, service=pool))
                pools[pool].workers[name].reachable = True
        for spec, pool, packed in self.jobs.values():
            job = Job(spec, self.now, inherited=True)
            if packed is not None:
                restore_progress(job, packed, 1)
            pools[pool].add_job(job, ROUTE)

    def submit(self):
        number = len(self.jobs)
        if number >= JOBS:
            return
        pool = self.rng.choice(POOLS)
        steps = (
            StepSpec(self.rng.randint(1, 3), Resources(self.rng.choice(SIZES))),
            StepSpec(
                2,
                Resources(self.rng.choice(SIZES)),
                after=(0,),
                gang=self.rng.random() < 0.5,
            ),
        )
        spec = JobSpec(
            f'{number:016x}',
            ROUTE.name,
            'x',
            steps,
            pool,
            tenant=TenantTerms('limited', 1, Resources(CAP)),
        )
        self.jobs[spec.job] = (spec, pool, None)
        self.pools[pool].add_job(Job(spec, self.now), ROUTE)

    def plan(self):
        for pool, state in self.pools.items():
            rows = state.workers.values()
            if all(row.reconciled for row in rows):
                state.recovering = False
            moment = Moment(self.now, self.now)
            self.keep(pool, StartPlanner(state, moment).plan())

    def keep(self, pool, commands):
        """Put orders on their way; stops arrive at once."""
        for command in commands:
            worker = self.workers[pool][command.worker]
            if isinstance(command, StartTask):
                self.orders.append((self.token, pool, command))
            elif isinstance(command, StopTask) and self.rng.random() < 0.7:
                worker.stop(command.task, command.run)
                self.pools[pool].note_stopped(
                    command.task, command.run, self.now
                )

    def start(self, answered=True):
        if not self.orders:
            return
        row = self.orders.pop(self.rng.randrange(len(self.orders)))
        token, pool, order = row
        worker = self.workers[pool][order.worker]
        worker.start(order, token)
        if token != self.token:
            return
        state = self.pools[pool]
        run = (order.task.key, order.run)
        if answered and run in worker.runs:
            state.note_started(order.task, order.run, self.now)
        else:
            state.note_start_failed(
                order.task, order.run, CallFaultKind.UNKNOWN, self.now
            )

    def lose_answer(self):
        self.start(answered=False)

    def pick_worker(self):
        pool = self.rng.choice(POOLS)
        name = self.rng.choice(sorted(self.workers[pool]))
        return pool, name, self.workers[pool][name]

    def end(self):
        _, _, worker = self.pick_worker()
        if worker.runs:
            run = self.rng.choice(sorted(worker.runs))
            worker.runs.pop(run)
            kind = self.rng.choice((RunEndKind.DONE, RunEndKind.FAILED))
            worker.ends.append((run, kind))

    def stop(self):
        """Let a worker end a run by itself, without a report."""
        _, _, worker = self.pick_worker()
        if worker.runs:
            worker.runs.pop(self.rng.choice(sorted(worker.runs)))

    def report(self):
        pool, name, worker = self.pick_worker()
        worker.token = self.token
        running = [ListedRun(key, run, '', 100, 1) for key, run in worker.runs]
        ends = [
            RunEnd(number, key, run, kind, '')
            for number, ((key, run), kind) in enumerate(worker.ends, 1)
        ]
        worker.ends = []
        state = self.pools[pool]
        row = state.workers[name]
        commands = ReportReconciler(state, row, self.now).apply(
            WorkerReport(0, running, ends), ends, self.now
        )
        row.reconciled = True
        self.keep(pool, commands)
        for changed in state.pop_dirty_jobs():
            self.store(pool, changed)

    def store(self, pool, name):
        spec, _, packed = self.jobs[name]
        if self.rng.random() < 0.5:
            packed = pack_progress(self.pools[pool].jobs[name])
        self.jobs[name] = (spec, pool, packed)

    def lapse(self):
        """Let all leases of a silent worker end, with the orders to it."""
        pool, name, worker = self.pick_worker()
        worker.runs.clear()
        self.orders = [row for row in self.orders if row[2].worker != name]
        self.pools[pool].free_tasks(self.pools[pool].workers[name])

    def cancel(self):
        if self.jobs:
            name = self.rng.choice(sorted(self.jobs))
            pool = self.jobs[name][1]
            self.keep(pool, self.pools[pool].cancel_job(name))


class TestRandomHistories:
    """A cap must hold whatever answers, reports and leaders are lost."""

    @given(strategies.integers(0, 2**32))
    def test_the_cap_holds_through_any_history(self, seed):
        world = World(random.Random(seed))
        for _ in range(HISTORY_STEPS):
            getattr(world, world.rng.choice(STEPS))()
            world.check()
            world.now += 0.6
