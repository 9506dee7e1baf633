"""Commands of the tool; each one selects the request to send.

The command-line library detects a misspelt option only after it has called
the function. Therefore the functions change nothing; the request is sent once
the whole command line has been parsed.
"""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Any, TypeVar, cast, final
from urllib.parse import quote

from fire.decorators import SetParseFn

from verbenapost.cli.client import AdminRequest
from verbenapost.cli.configurationcheck import CheckCommand
from verbenapost.cli.files import parse_number, read_document
from verbenapost.cli.formatters import (
    Formatter,
    format_applied,
    format_document,
    format_history,
    format_wave,
    make_table_formatter,
)
from verbenapost.cli.joblog import ExplainCommand
from verbenapost.cli.tables import format_fields
from verbenapost.cli.tenantlog import TenantsCommand

_Function = TypeVar('_Function', bound=Callable[..., None])


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A request that has not been sent yet.

    :param request: request to the daemon.
    :param show: formats the content of the answer as text.
    """

    request: AdminRequest
    show: Formatter


#: A command that reads logs and sends no request.
LogCommand = ExplainCommand | TenantsCommand
AnyCommand = Command | LogCommand | CheckCommand
SelectCommand = Callable[[AnyCommand], None]


def parse_as_text(function: _Function) -> _Function:
    """Make the command-line library pass words as they are typed.

    By default the library would convert a name such as ``007`` to a number.
    """
    return cast('_Function', SetParseFn(str)(function))


class ListCommands:
    """Commands on a kind of resource that is read only."""

    def __init__(
        self,
        select: SelectCommand,
        path: str,
        columns: Sequence[str],
    ) -> None:
        self._select = select
        self._path = path
        self._columns = columns

    def list(self) -> None:
        """List all."""
        self._select(
            Command(
                AdminRequest(self._path), make_table_formatter(*self._columns)
            )
        )


class ConfigCommands:
    """Commands on configuration documents."""

    def __init__(self, select: SelectCommand) -> None:
        self._select = select

    @parse_as_text
    def get(self, team: str) -> None:
        """Show the document of a team, or of platform."""
        self._select(
            Command(AdminRequest(f'config/{_quote(team)}'), format_document)
        )

    @parse_as_text
    def history(self, team: str) -> None:
        """Show who changed a document, when, why, from what to what."""
        path = f'config/{_quote(team)}/history'
        self._select(Command(AdminRequest(path), format_history))

    @parse_as_text
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
            wait=parse_number(wait),
        )
        self._select(Command(request, format_applied))


class VmCommands:
    """Commands on VMs."""

    def __init__(self, select: SelectCommand) -> None:
        self._select = select

    def list(self) -> None:
        """List all VMs."""
        show = make_table_formatter(
            'name', 'pool', 'state', 'data_centre', 'rack'
        )
        self._select(Command(AdminRequest('vms'), show))

    @parse_as_text
    def move(self, vm: str, pool: str, reason: str = '') -> None:
        """Drain a VM, reboot it and put it into another pool."""
        content = {'pool': pool, 'reason': reason}
        self._change(vm, 'move', content)

    @parse_as_text
    def drain(self, vm: str, reason: str = '') -> None:
        """Let a VM finish its requests and keep it out until back."""
        self._change(vm, 'drain', {'reason': reason})

    @parse_as_text
    def back(self, vm: str, reason: str = '') -> None:
        """Reboot a drained VM and put it back into service."""
        self._change(vm, 'return', {'reason': reason})

    def _change(self, vm: str, action: str, content: Any) -> None:
        path = f'vms/{_quote(vm)}/{action}'
        request = AdminRequest(path, 'POST', content=content)
        self._select(Command(request, format_fields))


class WaveCommands:
    """Commands on the maintenance wave."""

    def __init__(self, select: SelectCommand) -> None:
        self._select = select

    def status(self) -> None:
        """Show the wave."""
        self._select(Command(AdminRequest('waves'), format_wave))

    def plan(self) -> None:
        """Show the wave's plan and why VMs wait."""
        self._select(Command(AdminRequest('waves'), format_wave))

    @parse_as_text
    def start(
        self,
        name: str,
        due_days: str = '',
        reason: str = '',
    ) -> None:
        """Start a wave over the VMs not maintained for some days."""
        content: dict[str, Any] = {'name': name, 'reason': reason}
        if due_days:
            content['due_days'] = parse_number(due_days)
        self._change('start', content)

    @parse_as_text
    def pause(self, reason: str = '') -> None:
        """Take no further VM out until the wave is resumed."""
        self._change('pause', {'reason': reason})

    @parse_as_text
    def resume(self, reason: str = '') -> None:
        """Go on with a paused wave."""
        self._change('resume', {'reason': reason})

    @parse_as_text
    def stop(self, reason: str = '') -> None:
        """End the wave; VMs that are out return."""
        self._change('stop', {'reason': reason})

    def _change(self, action: str, content: Any) -> None:
        request = AdminRequest(f'waves/{action}', 'POST', content=content)
        self._select(Command(request, format_wave))


class JobCommands:
    """Commands on jobs."""

    def __init__(self, select: SelectCommand) -> None:
        self._select = select

    def list(self) -> None:
        """List the jobs that are not long finished."""
        columns = ('job', 'team', 'pool', 'state', 'urgency', 'vm', 'detail')
        self._select(
            Command(AdminRequest('jobs'), make_table_formatter(*columns))
        )

    @parse_as_text
    def show(self, job: str) -> None:
        """Show one job."""
        self._select(
            Command(AdminRequest(f'jobs/{_quote(job)}'), format_fields)
        )

    @parse_as_text
    def cancel(self, job: str) -> None:
        """Cancel a job."""
        path = f'jobs/{_quote(job)}/cancel'
        self._select(Command(AdminRequest(path, 'POST'), format_fields))


class MemberCommands:
    """Commands on the daemons."""

    def __init__(self, select: SelectCommand) -> None:
        self._select = select

    def list(self) -> None:
        """List the daemons that the asked one knows."""
        columns = ('name', 'address', 'data_centre', 'state', 'revision')
        show = make_table_formatter(*columns, 'age')
        self._select(Command(AdminRequest('members'), show))

    @parse_as_text
    def forget(self, name: str) -> None:
        """Take a daemon that is gone for good out of the count."""
        path = f'members/{_quote(name)}/forget'
        self._select(Command(AdminRequest(path, 'POST'), format_fields))


class Commands:
    """Manage the capacity and the maintenance of a fleet.

    Every command takes --daemon URL (or VERBENAPOST_DAEMON), --token TOKEN
    (or VERBENAPOST_TOKEN) and --json.
    """

    def __init__(self, select: SelectCommand) -> None:
        self._select = select
        self.config = ConfigCommands(select)
        self.vms = VmCommands(select)
        self.waves = WaveCommands(select)
        self.jobs = JobCommands(select)
        self.members = MemberCommands(select)
        self.teams = ListCommands(
            select, 'teams', ('team', 'revision', 'services')
        )
        self.pools = ListCommands(
            select,
            'pools',
            ('name', 'need', 'in_service', 'leaving', 'failed', 'spare'),
        )
        self.services = ListCommands(
            select,
            'services',
            ('name', 'team', 'pool', 'targets', 'running', 'waiting', 'owner'),
        )
        self.budgets = ListCommands(
            select,
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
        self._select(Command(AdminRequest('status'), format_fields))

    @parse_as_text
    def explain(self, job: str, *logs: str) -> None:
        """Tell the story of a job from the logs of the daemons.

        :param logs: files with logs; standard input when there are none.
        """
        self._select(ExplainCommand(job, logs))

    @parse_as_text
    def tenants(self, *logs: str) -> None:
        """Show the newest use of each tenant from the logs of the daemons.

        :param logs: files with logs; standard input when there are none.
        """
        self._select(TenantsCommand(logs))

    @parse_as_text
    def check(self, source: str, against: str = '') -> None:
        """Validate a file with the platform's configuration; sends nothing.

        :param source: file with the configuration.
        :param against: file with the version in force, to show differences.
        """
        self._select(CheckCommand(source, against))


def _quote(name: str) -> str:
    return quote(name, safe='')
