"""Commands on the resources of a fleet; each one selects a request to send."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Any, TypeVar, cast, final
from urllib.parse import quote

from fire.decorators import SetParseFn

from verbenapost.cli.client import AdminRequest
from verbenapost.cli.files import parse_number, read_document
from verbenapost.cli.formatters import (
    Formatter,
    format_applied,
    format_document,
    format_history,
    format_wave,
    make_table_formatter,
)
from verbenapost.cli.tables import format_fields

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


SelectRequest = Callable[[Command], None]


def parse_as_text(function: _Function) -> _Function:
    """Make the command-line library pass words as they are typed.

    By default the library would convert a name such as ``007`` to a number.
    """
    return cast('_Function', SetParseFn(str)(function))


class ListCommands:
    """Commands on a kind of resource that is read only."""

    def __init__(
        self,
        select: SelectRequest,
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

    def __init__(self, select: SelectRequest) -> None:
        self._select = select

    @parse_as_text
    def get(self, team: str) -> None:
        """Show the document of a team, or of platform."""
        self._select(
            Command(
                AdminRequest(f'config/{_quote_name(team)}'), format_document
            )
        )

    @parse_as_text
    def history(self, team: str) -> None:
        """Show who changed a document, when, why, from what to what."""
        path = f'config/{_quote_name(team)}/history'
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
            path=f'config/{_quote_name(content["team"])}',
            method='PUT',
            query={'reason': reason, 'wait': wait},
            headers={'if-match': f'"{content["revision"]}"'},
            content=content['document'],
            wait=parse_number(wait),
        )
        self._select(Command(request, format_applied))


class VmCommands:
    """Commands on VMs."""

    def __init__(self, select: SelectRequest) -> None:
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
        path = f'vms/{_quote_name(vm)}/{action}'
        request = AdminRequest(path, 'POST', content=content)
        self._select(Command(request, format_fields))


class WaveCommands:
    """Commands on the maintenance wave."""

    def __init__(self, select: SelectRequest) -> None:
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

    def __init__(self, select: SelectRequest) -> None:
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
            Command(AdminRequest(f'jobs/{_quote_name(job)}'), format_fields)
        )

    @parse_as_text
    def cancel(self, job: str) -> None:
        """Cancel a job."""
        path = f'jobs/{_quote_name(job)}/cancel'
        self._select(Command(AdminRequest(path, 'POST'), format_fields))


class MemberCommands:
    """Commands on the daemons."""

    def __init__(self, select: SelectRequest) -> None:
        self._select = select

    def list(self) -> None:
        """List the daemons that the asked one knows."""
        columns = ('name', 'address', 'data_centre', 'state', 'revision')
        show = make_table_formatter(*columns, 'age')
        self._select(Command(AdminRequest('members'), show))

    @parse_as_text
    def forget(self, name: str) -> None:
        """Take a daemon that is gone for good out of the count."""
        path = f'members/{_quote_name(name)}/forget'
        self._select(Command(AdminRequest(path, 'POST'), format_fields))


def _quote_name(name: str) -> str:
    return quote(name, safe='')
