"""What must hold over a history of runs."""

import dataclasses
from collections import defaultdict

from standins.fleet.workers import Begun, Ended, Forgotten
from verbenapost.protocol.orders import EndKind


@dataclasses.dataclass(frozen=True)
class Violation:
    """A rule that a history breaks."""

    rule: str
    detail: str


def find_violations(history, steps, rooms, max_attempts=3):
    """Return what is wrong with a history.

    :param history: begins and ends in order.
    :param steps: steps of each job, as submitted.
    :param rooms: cores of each worker, in thousandths.
    """
    return [
        *_find_twice(history),
        *_find_after_done(history),
        *_find_order(history, steps),
        *_find_over_limit(history, steps, rooms),
        *_find_over_budget(history, max_attempts),
        *_find_unasked(history, steps),
    ]


def _find_twice(history):
    running = {}
    for event in _keep(history, Begun, Ended):
        other = running.get(event.task)
        if isinstance(event, Begun):
            if other is not None:
                yield Violation('twice', f'{event} beside {other}')
            running[event.task] = event
        elif other is not None and other.run == event.run:
            running.pop(event.task)


def _find_after_done(history):
    done = set()
    for event in history:
        if isinstance(event, Begun):
            if event.task in done:
                yield Violation('after_done', str(event))
        elif event.kind is EndKind.DONE:
            _note(done, event, event.task)


def _find_order(history, steps):
    # An end that was lost with its worker may have been read before.
    done = set()
    for event in _keep(history, Begun, Ended):
        if not isinstance(event, Begun):
            if event.kind is EndKind.DONE:
                done.add(event.task)
        elif not _is_open(event.task, steps, done):
            yield Violation('order', str(event))


def _is_open(task, steps, done):
    rows = steps.get(task.job)
    if rows is None:
        return True
    return all(
        dataclasses.replace(task, step=before, index=index) in done
        for before in rows[task.step].get('after', ())
        for index in range(rows[before]['count'])
    )


def _find_over_limit(history, steps, rooms):
    used = defaultdict(int)
    for event in _keep(history, Begun, Ended):
        rows = steps.get(event.task.job)
        if rows is None:
            continue
        cpu = rows[event.task.step]['cpu']
        used[event.worker] += cpu if isinstance(event, Begun) else -cpu
        if used[event.worker] > rooms[event.worker]:
            yield Violation('limit', f'{event}: {used[event.worker]}')


def _find_over_budget(history, max_attempts):
    failed = defaultdict(set)
    for event in history:
        if isinstance(event, Begun):
            if len(failed[event.task]) >= max_attempts:
                yield Violation('budget', str(event))
        elif event.kind is EndKind.FAILED:
            _note(failed[event.task], event, event.run)


def _find_unasked(history, steps):
    for event in _keep(history, Begun):
        if event.task.job not in steps:
            yield Violation('unasked', str(event))


def _keep(history, *kinds):
    return (event for event in history if isinstance(event, kinds))


def _note(known, event, name):
    """Note an end, or take it back when it was lost with its worker."""
    if isinstance(event, Forgotten):
        known.discard(name)
    else:
        known.add(name)
