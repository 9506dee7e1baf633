"""Functions that answer operator calls on configuration documents."""

import asyncio
import math
import re
from collections.abc import Sequence
from http import HTTPStatus

from result import Err, Ok, Result

from verbenapost.coordination.changes import ChangeRequest
from verbenapost.coordination.rights import Role, locate_document
from verbenapost.daemon.admincalls import (
    AdminCall,
    Reply,
    refuse,
    register_route,
    reply_with_items,
)
from verbenapost.daemon.ports import ConfigurationPort
from verbenapost.protocol.errors import Failure

#: Longest wait for members to report a new revision, in seconds.
MAX_WAIT_SECONDS = 60.0

#: Seconds between checks of the members' reported revisions.
POLL_SECONDS = 0.05

_REVISION = re.compile('"?([0-9]{1,18})"?')

Answer = Result[Reply, Failure]


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
    """Put a document in force and optionally wait for the members."""
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
    timed_out = lagging and wait.ok_value
    status = HTTPStatus.ACCEPTED if timed_out else HTTPStatus.OK
    return Ok(Reply(content, status, change.revision))


@register_route('GET', 'config/{team}/history')
async def load_history(call: AdminCall) -> Answer:
    """Return the audit entries of a document, the newest last."""
    team = _read_team(call, Role.READ)
    if isinstance(team, Err):
        return team
    found = await call.ports.configuration.load_history(team.ok_value)
    return found.and_then(reply_with_items)


async def wait_for_members(
    configuration: ConfigurationPort,
    team: str,
    revision: int,
    wait: float,
) -> Sequence[str]:
    """Wait until all live members have reported a revision.

    :param wait: longest wait, in seconds.
    :returns: members that have not reported the revision by then.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait
    lagging = configuration.list_lagging(team, revision)
    while lagging and loop.time() < deadline:
        await asyncio.sleep(POLL_SECONDS)
        lagging = configuration.list_lagging(team, revision)
    return lagging


def _read_team(call: AdminCall, role: Role) -> Result[str, Failure]:
    team = call.read_name('team')
    if isinstance(team, Err):
        return team
    allowed = call.check(locate_document(team.ok_value), role)
    return allowed.map(lambda _: team.ok_value)


def _read_revision(text: str) -> Result[int | None, Failure]:
    """Return the revision in ``If-Match``, ``None`` for any revision."""
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
