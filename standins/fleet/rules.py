"""Rules that every history of runs must obey."""

import dataclasses
from collections import defaultdict

from standins.fleet.workers import (
    EndLost,
    RunCrashed,
    RunEnded,
    RunStarted,
)
from verbenapost.protocol.orders import RunEndKind

#: Workers that a task may crash before its starts are counted.
COUNTED_CRASHES = 3

#: Starts of such a task from which on a rule is violated.
EXCESS_STARTS = 3


@dataclasses.dataclass(frozen=True)
class Violation:
    """A violation of a rule by a history."""

    rule: str
    detail: str


def find_violations(history, steps, capacities, max_attempts=3):
    """Return all rule violations in a history.

    :param history: starts, ends and lost ends of runs, in order.
    :param steps: steps of each job, as submitted.
    :param capacities: capacity of each worker in thousandths of a core.
    :param max_attempts: failed runs after which a task must not run again.
    """
    return [
        *_find_concurrent_runs(history),
        *_find_starts_after_done(history, steps),
        *_find_early_starts(history, steps),
        *_find_overload(history, steps, capacities),
        *_find_excess_attempts(history, max_attempts),
        *_find_starts_after_crashes(history),
        *_find_unsubmitted(history, steps),
    ]


def _find_concurrent_runs(history):
    running = {}
    for event in _select(history, RunStarted, RunEnded):
        running_event = running.get(event.task)
        if isinstance(event, RunStarted):
            if running_event is not None:
                yield Violation('twice', f'{event} beside {running_event}')
            running[event.task] = event
        elif running_event is not None and running_event.run == event.run:
            running.pop(event.task)


def _find_starts_after_done(history, steps):
    done = set()
    for event in history:
        if isinstance(event, RunStarted):
            if event.task in done and not _is_lasting(event.task, steps):
                yield Violation('after_done', str(event))
        elif event.kind is RunEndKind.DONE:
            _update_ends(done, event, event.task)


def _is_lasting(task, steps):
    """Return whether a task starts again however its run ends."""
    job_steps = steps.get(task.job)
    return bool(job_steps and job_steps[task.step].get('long_running'))


def _find_early_starts(history, steps):
    # A lost end still counts: a daemon may have read it before the loss.
    done = set()
    for event in _select(history, RunStarted, RunEnded):
        if not isinstance(event, RunStarted):
            if event.kind is RunEndKind.DONE:
                done.add(event.task)
        elif not _is_ready(event.task, steps, done):
            yield Violation('order', str(event))


def _is_ready(task, steps, done):
    job_steps = steps.get(task.job)
    if job_steps is None:
        return True
    return all(
        dataclasses.replace(task, step=predecessor, index=index) in done
        for predecessor in job_steps[task.step].get('after', ())
        for index in range(job_steps[predecessor]['count'])
    )


def _find_overload(history, steps, capacities):
    used = defaultdict(int)
    for event in _select(history, RunStarted, RunEnded):
        job_steps = steps.get(event.task.job)
        if job_steps is None:
            continue
        cpu = job_steps[event.task.step]['cpu']
        used[event.worker] += cpu if isinstance(event, RunStarted) else -cpu
        if used[event.worker] > capacities[event.worker]:
            yield Violation('limit', f'{event}: {used[event.worker]}')


def _find_excess_attempts(history, max_attempts):
    failed = defaultdict(set)
    for event in history:
        if isinstance(event, RunStarted):
            if len(failed[event.task]) >= max_attempts:
                yield Violation('budget', str(event))
        elif event.kind is RunEndKind.FAILED:
            _update_ends(failed[event.task], event, event.run)


def _find_starts_after_crashes(history):
    crashes = defaultdict(int)
    starts = defaultdict(int)
    for event in _select(history, RunStarted, RunCrashed):
        if isinstance(event, RunCrashed):
            crashes[event.task] += 1
        elif crashes[event.task] >= COUNTED_CRASHES:
            starts[event.task] += 1
            if starts[event.task] >= EXCESS_STARTS:
                yield Violation('crashes', str(event))


def _find_unsubmitted(history, steps):
    for event in _select(history, RunStarted):
        if event.task.job not in steps:
            yield Violation('unasked', str(event))


def _select(history, *kinds):
    return (event for event in history if isinstance(event, kinds))


def _update_ends(ends, event, name):
    """Add an end, or remove an end that was lost."""
    if isinstance(event, EndLost):
        ends.discard(name)
    else:
        ends.add(name)
