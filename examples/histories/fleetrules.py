"""Rules about VMs, pools and configuration."""

import itertools
from collections.abc import Iterable, Iterator

from examples.histories.records import History, Run, Strike, VmSeen
from examples.histories.registry import register_rule

#: Seconds after which a VM that leaves gets no new work.
LEAVE_SECONDS = 3.0

#: Seconds within which an accepted change is in force.
IN_FORCE_SECONDS = 5.0

_IN_SERVICE = 'in_service'


@register_rule('leaving')
def check_leaving_gets_nothing(history: History) -> Iterator[str]:
    """A VM gets no new work 3 s after its leave mark or its drain."""
    marks = [strike for strike in history.strikes if strike.kind == 'leave']
    gaps = (*marks, *_find_outages(history.vms))
    for gap, run in itertools.product(gaps, history.runs):
        if _is_late(run, gap):
            yield f'{run} {run.started_at - gap.at:.2f} s after {gap}'


@register_rule('restarts')
def check_daemons_start(history: History) -> Iterator[str]:
    """A daemon that is started again becomes ready."""
    for strike in history.strikes:
        if strike.kind == 'stuck':
            yield f'{strike.victim} did not become ready'


@register_rule('one_pool')
def check_moves(history: History) -> Iterator[str]:
    """A VM changes its pool only out of service and with a new epoch."""
    for before, after in _pair(history.vms):
        if before.pool == after.pool:
            continue
        if before.state == _IN_SERVICE or after.epoch <= before.epoch:
            yield f'{before} became {after}'


@register_rule('fence')
def check_moves_reboot(history: History) -> Iterator[str]:
    """A VM serves in another pool only after a reboot."""
    for before, after in _pair(filter(_is_serving, history.vms)):
        if before.pool != after.pool and after.boot <= before.boot:
            yield f'{after} without a reboot since {before}'


@register_rule('one_service')
def check_runs_fit_pools(history: History) -> Iterator[str]:
    """A VM runs only services of its pool, or those it lends slots to."""
    pools = dict(history.pools)
    rows_by_name = {rows[0].name: rows for rows in _group(history.vms)}
    for run in history.runs:
        rows = rows_by_name.get(run.target, ())
        pool = _find_pool(rows, run)
        if pool and pool not in pools[run.service]:
            yield f'{run} while the VM was in {pool}'


@register_rule('in_force')
def check_changes_are_in_force(history: History) -> Iterator[str]:
    """An accepted change is in force on each live daemon within 5 s."""
    accepted = [
        change for change in history.changes if change.outcome == 'accepted'
    ]
    for seen in history.configs:
        start = seen.at - IN_FORCE_SECONDS
        if _was_frozen(history.strikes, seen.entry, start, seen.at):
            continue
        missing = [
            change
            for change in accepted
            if change.at < start and change.revision > seen.revision
        ]
        for change in missing[:1]:
            late = seen.at - change.at
            yield f'{seen} {late:.2f} s after {change}'


@register_rule('no_revert')
def check_nothing_reverts(history: History) -> Iterator[str]:
    """A daemon that runs on never goes back to an earlier change."""
    rows = sorted(history.configs, key=lambda seen: (seen.entry, seen.at))
    for before, after in itertools.pairwise(rows):
        if before.entry != after.entry:
            continue
        if before.revision > after.revision:
            yield f'{before} became {after}'


@register_rule('one_winner')
def check_races_have_one_winner(history: History) -> Iterator[str]:
    """Of the changes made from one revision at most one is accepted."""
    bases: dict[int, int] = {}
    for change in history.changes:
        if change.outcome != 'accepted':
            continue
        earlier = bases.setdefault(change.base, change.number)
        if earlier != change.number:
            yield f'{earlier} and {change.number} from {change.base}'


@register_rule('audited')
def check_audit_trail(history: History) -> Iterator[str]:
    """The audit trail has each accepted change once and no refused one."""
    for change in history.changes:
        count = history.audit.count(change.number)
        allowed = {'accepted': {1}, 'not_run': {0}}
        if count not in allowed.get(change.outcome, {0, 1}):
            yield f'{change} is {count} times in the audit trail'


def _group(vms: Iterable[VmSeen]) -> list[list[VmSeen]]:
    ordered = sorted(vms, key=lambda row: (row.name, row.revision))
    grouped = itertools.groupby(ordered, key=lambda row: row.name)
    return [list(rows) for _, rows in grouped]


def _pair(vms: Iterable[VmSeen]) -> Iterator[tuple[VmSeen, VmSeen]]:
    for rows in _group(vms):
        yield from itertools.pairwise(rows)


def _is_late(run: Run, gap: Strike) -> bool:
    if run.target != gap.victim:
        return False
    return gap.at + LEAVE_SECONDS < run.started_at < gap.until


def _is_serving(row: VmSeen) -> bool:
    return row.state == _IN_SERVICE


def _find_outages(vms: Iterable[VmSeen]) -> Iterator[Strike]:
    for rows in _group(vms):
        outages = itertools.groupby(rows, key=_is_serving)
        begun: float | None = None
        for serving, states in outages:
            first = next(states)
            if serving and begun is not None:
                yield Strike('drain', first.name, begun, first.changed_at)
            begun = None if serving else first.changed_at
        if begun is not None:
            yield Strike('drain', rows[0].name, begun, float('inf'))


def _find_pool(rows: Iterable[VmSeen], run: Run) -> str:
    pool = ''
    for row in rows:
        if row.changed_at > run.started_at:
            break
        pool = row.pool
    return pool


def _was_frozen(
    strikes: Iterable[Strike],
    entry: str,
    start: float,
    end: float,
) -> bool:
    return any(
        strike.kind == 'freeze'
        and strike.victim == entry
        and strike.at <= end
        and strike.until >= start
        for strike in strikes
    )
