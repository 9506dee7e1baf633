"""Sample jobs and workers for the scheduling tests."""

from verbenapost.coordination.scheduling.jobs import FULL_PROGRESS, Job
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.planning import StartPlanner
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.reports import ReportReconciler
from verbenapost.protocol.orders import (
    ListedRun,
    RunEnd,
    RunEndKind,
    WorkerReport,
)
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    JobSpec,
    Route,
    StepSpec,
    WorkerEntry,
)

JOB = '5c0e7a21d94b36f8'
ROUTE = Route(
    'plan',
    'host',
    '/plan/',
    'routing',
    max_attempts=3,
    slack_factor=1.6,
    target_latency=0.6,
)
SMALL = Resources(1000, 100)
CAPACITY = Resources(4000, 1000)


def make_entry(name='w0', **changes):
    fields = {
        'worker': name,
        'started_at_ms': 1,
        'service': 'routing',
        'address': '127.0.0.1:1',
        'data_centre': 'a',
        'draining': False,
        'capacity': CAPACITY,
        'labels': ('a', 'r1'),
        'vm': f'vm-{name}',
    }
    return WorkerEntry(**(fields | changes))


def make_pool_state(*workers, token=1):
    """Return a pool state with reconciled workers; one worker by default."""
    pool_state = PoolState('routing', token)
    for entry in workers or (make_entry(),):
        worker = pool_state.set_worker(entry)
        worker.reconciled = True
        worker.reachable = True
    return pool_state


def add_job(
    pool_state, *steps, job=JOB, now=0.0, route=ROUTE, tenant=None, **changes
):
    spec = JobSpec(
        job,
        route.name,
        'text',
        steps or (StepSpec(2, SMALL),),
        'routing',
        tenant=tenant,
    )
    made = Job(spec, now, **changes)
    pool_state.add_job(made, route)
    return made


def plan(pool_state, now=0.0, wall=0.0):
    return StartPlanner(pool_state, Moment(now, wall)).plan()


def start_all(pool_state, now=0.0, wall=0.0):
    """Plan a round and acknowledge each start."""
    starts = plan(pool_state, now, wall)
    for start in starts:
        pool_state.note_started(start.task, start.run, now)
        start_up(start)
    return starts


def start_up(start):
    """Show a started task at work."""
    start.task.load = 1
    start.task.progress = FULL_PROGRESS


def end_run(pool_state, start, kind=RunEndKind.DONE, now=1.0, checkpoint=''):
    """Report the end of a start's run and return the commands."""
    end = RunEnd(1, start.task.key, start.run, kind, checkpoint)
    worker = pool_state.workers[start.worker]
    return ReportReconciler(pool_state, worker, now).apply_end(end)


def make_row(start, checkpoint='', load=0.0, progress=FULL_PROGRESS):
    return ListedRun(start.task.key, start.run, checkpoint, progress, load)


def report(pool_state, name, running=(), ends=(), sent=0.0, now=1.0):
    """Apply a report of a worker and return the commands."""
    worker = pool_state.workers[name]
    reconciler = ReportReconciler(pool_state, worker, now)
    return reconciler.apply(WorkerReport(0, running, ends), ends, sent)
