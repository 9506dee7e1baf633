"""Rules about VMs, pools and configuration."""

import itertools
from collections.abc import Iterable, Iterator

from examples.histories.records import (
    History,
    InjectedFault,
    Run,
    VmObservation,
)
from examples.histories.registry import register_rule

#: Seconds after which a leaving VM gets no new work.
LEAVE_SECONDS = 3.0

#: Seconds within which an accepted change is in force.
IN_FORCE_SECONDS = 5.0

_IN_SERVICE = 'in_service'


@register_rule('leaving')
def check_leaving_vms_get_no_work(history: History) -> Iterator[str]:
    """A VM gets no new work 3 s after it is marked as leaving or drained."""
    leave_marks = [
        injected
        for injected in history.injected_faults
        if injected.kind == 'leave'
    ]
    outages_and_marks = (*leave_marks, *_find_outages(history.vms))
    for outage, run in itertools.product(outages_and_marks, history.runs):
        if _is_late(run, outage):
            yield f'{run} {run.started_at - outage.at:.2f} s after {outage}'


@register_rule('restarts')
def check_restarted_daemons_become_ready(history: History) -> Iterator[str]:
    """A restarted daemon becomes ready."""
    for injected in history.injected_faults:
        if injected.kind == 'stuck':
            yield f'{injected.victim} did not become ready'


@register_rule('one_pool')
def check_moves_out_of_service(history: History) -> Iterator[str]:
    """A VM changes its pool only out of service and with a new epoch."""
    for before, after in _pair_successive(history.vms):
        if before.pool == after.pool:
            continue
        if before.state == _IN_SERVICE or after.epoch <= before.epoch:
            yield f'{before} became {after}'


@register_rule('fence')
def check_moves_reboot(history: History) -> Iterator[str]:
    """A VM serves in another pool only after a reboot."""
    for before, after in _pair_successive(filter(_is_serving, history.vms)):
        if before.pool != after.pool and after.boot <= before.boot:
            yield f'{after} without a reboot since {before}'


@register_rule('one_service')
def check_runs_fit_pools(history: History) -> Iterator[str]:
    """A VM runs only services of its pool or services that borrow its slots."""
    pools = dict(history.pools)
    rows_by_vm = {rows[0].name: rows for rows in _group_by_vm(history.vms)}
    for run in history.runs:
        rows = rows_by_vm.get(run.target, ())
        pool = _find_pool(rows, run)
        if pool and pool not in pools[run.service]:
            yield f'{run} while the VM was in {pool}'


@register_rule('in_force')
def check_changes_are_in_force(history: History) -> Iterator[str]:
    """An accepted change is in force on each live daemon within 5 s."""
    accepted = [
        change for change in history.changes if change.outcome == 'accepted'
    ]
    for observed in history.configs:
        start = observed.at - IN_FORCE_SECONDS
        if _was_frozen(
            history.injected_faults, observed.entry, start, observed.at
        ):
            continue
        missing = [
            change
            for change in accepted
            if change.at < start and change.revision > observed.revision
        ]
        for change in missing[:1]:
            late = observed.at - change.at
            yield f'{observed} {late:.2f} s after {change}'


@register_rule('no_revert')
def check_nothing_reverts(history: History) -> Iterator[str]:
    """A daemon that keeps running never goes back to an earlier revision."""
    rows = sorted(
        history.configs, key=lambda observed: (observed.entry, observed.at)
    )
    for before, after in itertools.pairwise(rows):
        if before.entry != after.entry:
            continue
        if before.revision > after.revision:
            yield f'{before} became {after}'


@register_rule('one_winner')
def check_concurrent_changes(history: History) -> Iterator[str]:
    """At most one of the changes of one base revision is accepted."""
    accepted_by_base: dict[int, int] = {}
    for change in history.changes:
        if change.outcome != 'accepted':
            continue
        earlier = accepted_by_base.setdefault(change.base, change.number)
        if earlier != change.number:
            yield f'{earlier} and {change.number} from {change.base}'


@register_rule('audited')
def check_audit_trail(history: History) -> Iterator[str]:
    """The audit trail has each accepted change once and no refused change."""
    for change in history.changes:
        audit_count = history.audit.count(change.number)
        allowed = {'accepted': {1}, 'not_run': {0}}
        if audit_count not in allowed.get(change.outcome, {0, 1}):
            yield f'{change} is {audit_count} times in the audit trail'


def _group_by_vm(vms: Iterable[VmObservation]) -> list[list[VmObservation]]:
    ordered = sorted(vms, key=lambda row: (row.name, row.revision))
    grouped = itertools.groupby(ordered, key=lambda row: row.name)
    return [list(rows) for _, rows in grouped]


def _pair_successive(
    vms: Iterable[VmObservation],
) -> Iterator[tuple[VmObservation, VmObservation]]:
    for rows in _group_by_vm(vms):
        yield from itertools.pairwise(rows)


def _is_late(run: Run, outage: InjectedFault) -> bool:
    if run.target != outage.victim:
        return False
    return outage.at + LEAVE_SECONDS < run.started_at < outage.until


def _is_serving(row: VmObservation) -> bool:
    return row.state == _IN_SERVICE


def _find_outages(vms: Iterable[VmObservation]) -> Iterator[InjectedFault]:
    for rows in _group_by_vm(vms):
        spans = itertools.groupby(rows, key=_is_serving)
        outage_start: float | None = None
        for serving, states in spans:
            first = next(states)
            if serving and outage_start is not None:
                yield InjectedFault(
                    'drain', first.name, outage_start, first.changed_at
                )
            outage_start = None if serving else first.changed_at
        if outage_start is not None:
            yield InjectedFault(
                'drain', rows[0].name, outage_start, float('inf')
            )


def _find_pool(rows: Iterable[VmObservation], run: Run) -> str:
    pool = ''
    for row in rows:
        if row.changed_at > run.started_at:
            break
        pool = row.pool
    return pool


def _was_frozen(
    injected_faults: Iterable[InjectedFault],
    entry: str,
    start: float,
    end: float,
) -> bool:
    return any(
        injected.kind == 'freeze'
        and injected.victim == entry
        and injected.at <= end
        and injected.until >= start
        for injected in injected_faults
    )
