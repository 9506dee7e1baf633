"""Commands; each chooses the call that it stands for.

The command-line library finds a misspelt option only after it has called the
function. So the functions change nothing; the call is made once the whole
line has been understood.
"""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Any, TypeVar, cast, final
from urllib.parse import quote

from fire.decorators import SetParseFn

from verbenapost.cli.client import AdminRequest
from verbenapost.cli.files import parse_seconds, read_document
from verbenapost.cli.formatters import (
    Show,
    show_applied,
    show_document,
    show_history,
    show_items,
    show_wave,
)
from verbenapost.cli.joblog import Explanation
from verbenapost.cli.tables import format_fields

_Function = TypeVar('_Function', bound=Callable[..., None])


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A call that has not been made yet.

    :param request: call to the daemon.
    :param show: turns the answer into text for people.
    """

    request: AdminRequest
    show: Show


Choose = Callable[[Command | Explanation], None]


def keep_text(function: _Function) -> _Function:
    """Have the command-line library pass words as they are typed.

    Without it a name such as ``007`` would arrive as a number.
    """
    return cast('_Function', SetParseFn(str)(function))


class ListCommands:
    """Commands on a kind of resource that is read only."""

    def __init__(
        self,
        choose: Choose,
        path: str,
        columns: Sequence[str],
    ) -> None:
        self._choose = choose
        self._path = path
        self._columns = columns

    def list(self) -> None:
        """List all."""
        self._choose(
            Command(AdminRequest(self._path), show_items(*self._columns))
        )


class ConfigCommands:
    """Commands on configuration documents."""

    def __init__(self, choose: Choose) -> None:
        self._choose = choose

    @keep_text
    def get(self, team: str) -> None:
        """Show the document of a team, or of platform."""
        self._choose(
            Command(AdminRequest(f'config/{_quote(team)}'), show_document)
        )

    @keep_text
    def history(self, team: str) -> None:
        """Show who changed a document, when, why, from what to what."""
        path = f'config/{_quote(team)}/history'
        self._choose(Command(AdminRequest(path), show_history))

    @keep_text
    def apply(self, source: str, reason: str, wait: str = '0') -> None:
        """Put an edited document in force.

        :param source: file with what ``config get`` printed, edited.
        :param reason: why, for the audit entry.
        :param wait: seconds to wait until all members report the change.
        """
        content = read_document(source)
        request = AdminRequest(
            path=f'config/{_quote(content["team"])}',
            method='PUT',
            query={'reason': reason, 'wait': wait},
            headers={'if-match': f'"{content["revision"]}"'},
            content=content['document'],
            wait=parse_seconds(wait),
        )
        self._choose(Command(request, show_applied))


class VmCommands:
    """Commands on VMs."""

    def __init__(self, choose: Choose) -> None:
        self._choose = choose

    def list(self) -> None:
        """List all VMs."""
        show = show_items('name', 'pool', 'state', 'data_centre', 'rack')
        self._choose(Command(AdminRequest('vms'), show))

    @keep_text
    def move(self, vm: str, pool: str, reason: str = '') -> None:
        """Drain a VM, reboot it and put it into another pool."""
        content = {'pool': pool, 'reason': reason}
        self._change(vm, 'move', content)

    @keep_text
    def drain(self, vm: str, reason: str = '') -> None:
        """Let a VM finish its requests and keep it out until back."""
        self._change(vm, 'drain', {'reason': reason})

    @keep_text
    def back(self, vm: str, reason: str = '') -> None:
        """Reboot a drained VM and put it back into service."""
        self._change(vm, 'return', {'reason': reason})

    def _change(self, vm: str, action: str, content: Any) -> None:
        path = f'vms/{_quote(vm)}/{action}'
        request = AdminRequest(path, 'POST', content=content)
        self._choose(Command(request, format_fields))


class WaveCommands:
    """Commands on the maintenance wave."""

    def __init__(self, choose: Choose) -> None:
        self._choose = choose

    def status(self) -> None:
        """Show the wave."""
        self._choose(Command(AdminRequest('waves'), show_wave))

    def plan(self) -> None:
        """Show the wave's plan and why VMs wait."""
        self._choose(Command(AdminRequest('waves'), show_wave))

    @keep_text
    def start(
        self,
        name: str,
        due_days: str = '',
        reason: str = '',
    ) -> None:
        """Start a wave over the VMs not maintained for some days."""
        content: dict[str, Any] = {'name': name, 'reason': reason}
        if due_days:
            content['due_days'] = parse_seconds(due_days)
        self._change('start', content)

    @keep_text
    def pause(self, reason: str = '') -> None:
        """Take no further VM out until the wave is resumed."""
        self._change('pause', {'reason': reason})

    @keep_text
    def resume(self, reason: str = '') -> None:
        """Go on with a paused wave."""
        self._change('resume', {'reason': reason})

    @keep_text
    def stop(self, reason: str = '') -> None:
        """End the wave; VMs that are out return."""
        self._change('stop', {'reason': reason})

    def _change(self, action: str, content: Any) -> None:
        request = AdminRequest(f'waves/{action}', 'POST', content=content)
        self._choose(Command(request, show_wave))


class JobCommands:
    """Commands on jobs."""

    def __init__(self, choose: Choose) -> None:
        self._choose = choose

    def list(self) -> None:
        """List the jobs that are not long finished."""
        columns = ('job', 'team', 'pool', 'state', 'urgency', 'vm', 'detail')
        self._choose(Command(AdminRequest('jobs'), show_items(*columns)))

    @keep_text
    def show(self, job: str) -> None:
        """Show one job."""
        self._choose(
            Command(AdminRequest(f'jobs/{_quote(job)}'), format_fields)
        )

    @keep_text
    def cancel(self, job: str) -> None:
        """Cancel a job."""
        path = f'jobs/{_quote(job)}/cancel'
        self._choose(Command(AdminRequest(path, 'POST'), format_fields))


class MemberCommands:
    """Commands on the daemons."""

    def __init__(self, choose: Choose) -> None:
        self._choose = choose

    def list(self) -> None:
        """List the daemons that the asked one knows."""
        columns = ('name', 'address', 'data_centre', 'state', 'revision')
        show = show_items(*columns, 'age')
        self._choose(Command(AdminRequest('members'), show))

    @keep_text
    def forget(self, name: str) -> None:
        """Take a daemon that is gone for good out of the count."""
        path = f'members/{_quote(name)}/forget'
        self._choose(Command(AdminRequest(path, 'POST'), format_fields))


class Commands:
    """Manage the capacity and the maintenance of a fleet.

    Every command takes --daemon URL (or VERBENAPOST_DAEMON), --token TOKEN
    (or VERBENAPOST_TOKEN) and --json.
    """

    def __init__(self, choose: Choose) -> None:
        self._choose = choose
        self.config = ConfigCommands(choose)
        self.vms = VmCommands(choose)
        self.waves = WaveCommands(choose)
        self.jobs = JobCommands(choose)
        self.members = MemberCommands(choose)
        self.teams = ListCommands(
            choose, 'teams', ('team', 'revision', 'services')
        )
        self.pools = ListCommands(
            choose,
            'pools',
            ('name', 'need', 'in_service', 'leaving', 'failed', 'spare'),
        )
        self.services = ListCommands(
            choose,
            'services',
            ('name', 'team', 'pool', 'targets', 'running', 'waiting', 'owner'),
        )
        self.budgets = ListCommands(
            choose,
            'budgets',
            (
                'service',
                'team',
                'min_healthy',
                'healthy',
                'max_planned',
                'planned',
                'survive',
                'stopped',
            ),
        )

    def status(self) -> None:
        """Show what the asked daemon says of itself."""
        self._choose(Command(AdminRequest('status'), format_fields))

    @keep_text
    def explain(self, job: str, *logs: str) -> None:
        """Tell the story of a job from the logs of the daemons.

        :param logs: files with logs; standard input when there are none.
        """
        self._choose(Explanation(job, logs))


def _quote(name: str) -> str:
    return quote(name, safe='')
