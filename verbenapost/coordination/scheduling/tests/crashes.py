"""Pools in which workers crash under tasks, for the tests."""

from verbenapost.coordination.scheduling.crashes import (
    note_crash,
)
from verbenapost.coordination.scheduling.tests.sample import (
    SMALL,
    make_entry,
    make_pool_state,
    make_row,
    report,
)
from verbenapost.state.workloads import (
    StepSpec,
)

BAD = '000000000000000b'
GOOD = '000000000000000a'
OTHER = '000000000000000c'
ONE = StepSpec(1, SMALL)


def make_pool(count=4):
    return make_pool_state(*(make_entry(f'w{row}') for row in range(count)))


def crash(pool_state, name):
    """Crash a worker, which returns as another incarnation."""
    worker = pool_state.workers[name]
    verdict = note_crash(pool_state, worker)
    pool_state.remove_worker(name)
    again = pool_state.set_worker(worker.entry)
    again.reconciled = True
    again.reachable = True
    return verdict


def crash_under(pool_state, task):
    return crash(pool_state, task.worker)


def prove(pool_state, name, now):
    """Apply a report that lists all runs of a worker as running."""
    rows = [make_row(row) for row in StartedRuns(pool_state.workers[name]).rows]
    report(pool_state, name, rows, sent=now, now=now)


class StartedRuns:
    """The runs of a worker, in the form of starts."""

    def __init__(self, worker):
        self.rows = [Run(task) for task in worker.tasks.values()]


class Run:
    def __init__(self, task):
        self.task = task
        self.run = task.run
