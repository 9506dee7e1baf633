"""Rules on keys and caps of tenants that every history must obey."""

from collections import defaultdict

from standins.fleet.rules import Violation
from standins.fleet.workers import RunEnded, RunStarted
from verbenapost.state.resources import Resources

#: Status of a refusal because of the key.
UNAUTHORIZED = 401

#: Statuses that only a request with a valid key gets. Other refusals may come
#: before the check of the key.
ADMITTED = frozenset((200, 403, 410, 429))


def find_tenant_violations(history):
    """Return all violations of the rules on tenants.

    :param history: a :class:`~standins.fleet.tenanthistory.TenantHistory`.
    """
    return [
        *_find_unknown_keys(history),
        *_find_outdated_keys(history),
        *_find_exceeded_quotas(history),
    ]


def _find_unknown_keys(history):
    """Find admitted requests with a key that no version had held."""
    for request in history.requests:
        if request.status not in ADMITTED:
            continue
        before = [
            row for row in history.versions if row.at <= request.answered_at
        ]
        if not any(_accepts(row, request.key) for row in before):
            yield Violation('key', str(request))


def _find_outdated_keys(history):
    """Find answers by a version that is no longer in force at the daemon."""
    for request in history.requests:
        if _is_outdated(history, request):
            yield Violation('revoked', str(request))


def _is_outdated(history, request):
    """Return whether no version that may be in force gives an answer."""
    if request.status not in {*ADMITTED, UNAUTHORIZED}:
        return False
    possible = history.find_possible(
        request.daemon, request.sent_at, request.answered_at
    )
    if any(version.tenants is None for version in possible):
        return False
    accepted = {_accepts(version, request.key) for version in possible}
    if request.status == UNAUTHORIZED:
        return accepted == {True}
    return accepted == {False} and _was_accepted(history, request)


def _accepts(version, key):
    return version.tenants is None or version.find_owner(key) is not None


def _was_accepted(history, request):
    """Return whether a version before an answer held the request's key."""
    return any(
        _accepts(version, request.key)
        for version in history.versions
        if version.at <= request.answered_at
    )


def _find_exceeded_quotas(history):
    """Find starts that bring a tenant's use above its cap and one task."""
    running = defaultdict(dict)
    for event in history.runs:
        tenant = history.owners.get(event.task.job)
        if tenant is None:
            continue
        if isinstance(event, RunEnded):
            running[tenant].pop((event.worker, event.task, event.run), None)
        elif isinstance(event, RunStarted):
            size = _read_size(history.steps[event.task.job][event.task.step])
            running[tenant][event.worker, event.task, event.run] = size
            yield from _check_start(history, event, tenant, running[tenant])


def _check_start(history, event, tenant, running):
    """Check a start against the caps that its sender may have known.

    The cap is that of the time from the sending of the order until the start,
    since an order on its way is not taken back. The allowed task is the largest
    one that runs, since starts may reach workers in another order than that of
    the decisions.
    """
    versions = history.find_possible(
        history.leaders.get(event.token), event.ordered_at, event.at
    )
    if not versions:
        return
    cap = history.find_cap(tenant, versions)
    for name in ('cpu', 'memory', 'gpus'):
        sizes = [getattr(size, name) for size in running.values()]
        limit = getattr(cap, name)
        bound = limit * (1 + history.overage) + max(sizes)
        if limit and sum(sizes) > bound:
            detail = f'{tenant}: {name} {sum(sizes)}, bound {bound:.0f}'
            yield Violation('quota', f'{detail} with {event}')
            return


def _read_size(step):
    return Resources(
        step.get('cpu', 0), step.get('mem_mb', 0), step.get('gpu', 0)
    )
