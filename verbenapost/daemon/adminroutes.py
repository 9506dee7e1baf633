"""Functions that answer operator calls, except those on documents."""

import math
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from result import Err, Ok, Result

from verbenapost.coordination.rights import Role, locate_document
from verbenapost.daemon.admincalls import (
    AdminCall,
    Reply,
    refuse,
    register_route,
    reply_with,
    reply_with_items,
)
from verbenapost.protocol.admin import (
    VmAction,
    VmRequest,
    WaveAction,
    WaveRequest,
)
from verbenapost.protocol.errors import Failure
from verbenapost.state.documents import DEFAULT_MAINTENANCE_DAYS

Answer = Result[Reply, Failure]


@register_route('GET', 'status')
async def read_status(call: AdminCall) -> Answer:
    """Return the status of this daemon."""
    return Ok(Reply(call.ports.members.read_status()))


@register_route('GET', 'vms')
async def list_vms(call: AdminCall) -> Answer:
    """Return all VMs."""
    found = await call.ports.fleet.list_vms()
    return found.and_then(reply_with_items)


@register_route('POST', 'vms/{name}/{action}')
async def change_vm(call: AdminCall) -> Answer:
    """Start a move, a drain or a return of a VM."""
    allowed = call.check_platform()
    if isinstance(allowed, Err):
        return allowed
    action = call.arguments['action']
    if action not in set(VmAction):
        return refuse(f'action: {action!r} is none of move, drain, return')
    name = call.read_name('name')
    reason = call.read_text('reason')
    pool = call.read_text('pool')
    for read in (name, reason, pool):
        if isinstance(read, Err):
            return read
    if (action == VmAction.MOVE) != bool(pool.unwrap()):
        return refuse('pool: is needed for a move and for nothing else')
    request = VmRequest(
        VmAction(action),
        name.unwrap(),
        pool.unwrap(),
        reason.unwrap(),
        call.rights.operator,
    )
    return reply_with(await call.ports.fleet.change_vm(request))


@register_route('GET', 'pools')
async def list_pools(call: AdminCall) -> Answer:
    """Return all pools."""
    found = await call.ports.fleet.list_pools()
    return found.and_then(reply_with_items)


@register_route('GET', 'services')
async def list_services(call: AdminCall) -> Answer:
    """Return the services that the operator may see."""
    return await _list_visible(call, call.ports.fleet.list_services)


@register_route('GET', 'budgets')
async def list_budgets(call: AdminCall) -> Answer:
    """Return the availability budgets that the operator may see."""
    return await _list_visible(call, call.ports.fleet.list_budgets)


@register_route('GET', 'waves')
async def read_wave(call: AdminCall) -> Answer:
    """Return the maintenance wave with its forecast."""
    return reply_with(await call.ports.waves.read_wave())


@register_route('POST', 'waves/{action}')
async def change_wave(call: AdminCall) -> Answer:
    """Start, pause, resume or stop the maintenance wave."""
    allowed = call.check_platform()
    if isinstance(allowed, Err):
        return allowed
    action = call.arguments['action']
    if action not in set(WaveAction):
        return refuse(f'action: {action!r} is unknown')
    name = call.read_text('name')
    reason = call.read_text('reason')
    for read in (name, reason):
        if isinstance(read, Err):
            return read
    days = _read_days(call.content or {})
    if isinstance(days, Err):
        return days
    if action == WaveAction.START and not name.unwrap():
        return refuse('name: a new wave needs a name')
    request = WaveRequest(
        WaveAction(action),
        name.unwrap(),
        days.ok_value,
        reason.unwrap(),
        call.rights.operator,
    )
    return reply_with(await call.ports.waves.change_wave(request))


@register_route('GET', 'jobs')
async def list_jobs(call: AdminCall) -> Answer:
    """Return the jobs that the operator may see."""
    return await _list_visible(call, call.ports.jobs.list_jobs)


@register_route('GET', 'jobs/{job}')
async def load_job(call: AdminCall) -> Answer:
    """Return one job."""
    job = call.read_name('job')
    if isinstance(job, Err):
        return job
    found = await call.ports.jobs.load_job(job.ok_value)
    if isinstance(found, Ok) and not call.can_read(found.ok_value.team):
        return call.check(locate_document(found.ok_value.team), Role.READ).map(
            Reply
        )
    return reply_with(found)


@register_route('POST', 'jobs/{job}/cancel')
async def cancel_job(call: AdminCall) -> Answer:
    """Cancel a job."""
    job = call.read_name('job')
    if isinstance(job, Err):
        return job
    found = await call.ports.jobs.load_job(job.ok_value)
    if isinstance(found, Err):
        return found
    team = found.ok_value.team
    allowed = call.check(locate_document(team), Role.WRITE)
    if isinstance(allowed, Err):
        return allowed
    operator = call.rights.operator
    return reply_with(await call.ports.jobs.cancel_job(job.ok_value, operator))


@register_route('GET', 'members')
async def list_members(call: AdminCall) -> Answer:
    """Return the members that are known to this daemon."""
    return reply_with_items(call.ports.members.list_members())


@register_route('POST', 'members/{name}/forget')
async def forget_member(call: AdminCall) -> Answer:
    """Remove a permanently lost member from the member set."""
    allowed = call.check_platform()
    if isinstance(allowed, Err):
        return allowed
    name = call.read_name('name')
    if isinstance(name, Err):
        return name
    operator = call.rights.operator
    forgotten = await call.ports.members.forget_member(name.ok_value, operator)
    return forgotten.map(lambda _: Reply({'forgotten': name.ok_value}))


async def _list_visible(
    call: AdminCall,
    load: Callable[[], Awaitable[Result[Sequence[Any], Failure]]],
) -> Answer:
    found = await load()
    if isinstance(found, Err):
        return found
    return reply_with_items(
        row for row in found.ok_value if call.can_read(row.team)
    )


def _read_days(content: dict[str, Any]) -> Result[float, Failure]:
    days = content.get('due_days', DEFAULT_MAINTENANCE_DAYS)
    is_number = isinstance(days, (int, float)) and not isinstance(days, bool)
    if is_number and 0 <= days < math.inf:
        return Ok(float(days))
    return refuse('due_days: must be a number of days')
