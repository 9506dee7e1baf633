"""Functions that answer the calls of operators."""

import asyncio
import math
import re
from collections.abc import Awaitable, Callable, Sequence
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from verbenapost.coordination.changes import ChangeRequest
from verbenapost.coordination.rights import Role, locate_document
from verbenapost.daemon.admincalls import (
    AdminCall,
    Reply,
    refuse,
    register_route,
    reply_with,
    reply_with_items,
)
from verbenapost.daemon.ports import ConfigurationPort
from verbenapost.protocol.admin import (
    VmAction,
    VmRequest,
    WaveAction,
    WaveRequest,
)
from verbenapost.protocol.errors import Failure
from verbenapost.state.documents import DEFAULT_MAINTENANCE_DAYS

#: Longest wait for members to report a change, in seconds.
MAX_WAIT_SECONDS = 60.0

#: Seconds between two looks at what members have reported.
POLL_SECONDS = 0.05

_REVISION = re.compile('"?([0-9]{1,18})"?')

Answer = Result[Reply, Failure]


@register_route('GET', 'status')
async def read_status(call: AdminCall) -> Answer:
    """Return what this daemon says of itself."""
    return Ok(Reply(call.ports.members.read_status()))


@register_route('GET', 'teams')
async def list_teams(call: AdminCall) -> Answer:
    """Return the teams whose documents the operator may see."""
    rows = call.ports.configuration.list_teams()
    return reply_with_items(row for row in rows if call.can_read(row.team))


@register_route('GET', 'config/{team}')
async def load_document(call: AdminCall) -> Answer:
    """Return a document with its revision as the entity tag."""
    team = _read_team(call, Role.READ)
    if isinstance(team, Err):
        return team
    found = await call.ports.configuration.load_document(team.ok_value)
    return found.map(lambda status: Reply(status, revision=status.revision))


@register_route('PUT', 'config/{team}')
async def apply_document(call: AdminCall) -> Answer:
    """Put a document in force and wait for members if asked to."""
    team = _read_team(call, Role.WRITE)
    if isinstance(team, Err):
        return team
    expected = _read_revision(call.expected)
    if isinstance(expected, Err):
        return expected
    wait = _read_wait(call.arguments.get('wait', '0'))
    if isinstance(wait, Err):
        return wait
    request = ChangeRequest(
        call.rights.operator,
        call.arguments.get('reason', ''),
        team.ok_value,
        call.content,
        expected.ok_value,
    )
    applied = await call.ports.configuration.apply(request, call.rights)
    if isinstance(applied, Err):
        return applied
    change = applied.ok_value
    lagging = await wait_for_members(
        call.ports.configuration,
        change.team,
        change.revision,
        wait.ok_value,
    )
    content = {
        'team': change.team,
        'revision': change.revision,
        'number': change.number,
        'lagging': lagging,
    }
    late = lagging and wait.ok_value
    status = HTTPStatus.ACCEPTED if late else HTTPStatus.OK
    return Ok(Reply(content, status, change.revision))


@register_route('GET', 'config/{team}/history')
async def load_history(call: AdminCall) -> Answer:
    """Return the audit entries of a document, the newest last."""
    team = _read_team(call, Role.READ)
    if isinstance(team, Err):
        return team
    found = await call.ports.configuration.load_history(team.ok_value)
    return found.and_then(reply_with_items)


@register_route('GET', 'vms')
async def list_vms(call: AdminCall) -> Answer:
    """Return all VMs."""
    found = await call.ports.fleet.list_vms()
    return found.and_then(reply_with_items)


@register_route('POST', 'vms/{name}/{action}')
async def change_vm(call: AdminCall) -> Answer:
    """Start a move, a drain or a return."""
    allowed = call.check_platform()
    if isinstance(allowed, Err):
        return allowed
    action = call.arguments['action']
    if action not in set(VmAction):
        return refuse(f'action: {action!r} is none of move, drain, return')
    name = call.read_name('name')
    reason = call.read_member('reason')
    pool = call.read_member('pool')
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
    """Return the maintenance wave with its plan."""
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
    name = call.read_member('name')
    reason = call.read_member('reason')
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
    """Return the members that this daemon knows."""
    return reply_with_items(call.ports.members.list_members())


@register_route('POST', 'members/{name}/forget')
async def forget_member(call: AdminCall) -> Answer:
    """Take a member that is gone for good out of the count."""
    allowed = call.check_platform()
    if isinstance(allowed, Err):
        return allowed
    name = call.read_name('name')
    if isinstance(name, Err):
        return name
    operator = call.rights.operator
    forgotten = await call.ports.members.forget_member(name.ok_value, operator)
    return forgotten.map(lambda _: Reply({'forgotten': name.ok_value}))


async def wait_for_members(
    configuration: ConfigurationPort,
    team: str,
    revision: int,
    wait: float,
) -> Sequence[str]:
    """Wait until all live members have reported a revision.

    :param wait: seconds.
    :returns: members that have not reported it by then.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait
    lagging = configuration.list_lagging(team, revision)
    while lagging and loop.time() < deadline:
        await asyncio.sleep(POLL_SECONDS)
        lagging = configuration.list_lagging(team, revision)
    return lagging


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


def _read_team(call: AdminCall, role: Role) -> Result[str, Failure]:
    team = call.read_name('team')
    if isinstance(team, Err):
        return team
    allowed = call.check(locate_document(team.ok_value), role)
    return allowed.map(lambda _: team.ok_value)


def _read_revision(text: str) -> Result[int | None, Failure]:
    """Return the revision in ``If-Match``; ``None`` stands for any."""
    if text == '*':
        return Ok(None)
    parts = _REVISION.fullmatch(text)
    if parts is None:
        return refuse('If-Match must give the revision read before, or *')
    return Ok(int(parts[1]))


def _read_wait(text: str) -> Result[float, Failure]:
    try:
        wait = float(text)
    except ValueError:
        wait = math.nan
    if 0 <= wait <= MAX_WAIT_SECONDS:
        return Ok(wait)
    return refuse(f'wait: must be 0 to {MAX_WAIT_SECONDS:.0f} seconds')


def _read_days(content: dict[str, Any]) -> Result[float, Failure]:
    days = content.get('due_days', DEFAULT_MAINTENANCE_DAYS)
    is_number = isinstance(days, (int, float)) and not isinstance(days, bool)
    if is_number and 0 <= days < math.inf:
        return Ok(float(days))
    return refuse('due_days: must be a number of days')
