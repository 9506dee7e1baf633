"""Calls of operators and the registry of the functions that answer them."""

import dataclasses
import re
from collections.abc import Awaitable, Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any, TypeVar, final

from result import Err, Ok, Result

from verbenapost.coordination.rights import Rights, Role, locate_document
from verbenapost.daemon.ports import AdminPorts
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.documents import PLATFORM

_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,99}')


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer to a call.

    :param content: dataclass or plain values, written as JSON.
    :param status: HTTP status.
    :param revision: revision for the header ``ETag``, or ``None``.
    """

    content: Any
    status: HTTPStatus = HTTPStatus.OK
    revision: int | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdminCall:
    """A call whose token has been checked.

    :param ports: parts of the daemon.
    :param rights: what the operator may do.
    :param arguments: named parts of the path and query.
    :param content: JSON value of the body, ``None`` without one.
    :param expected: text of ``If-Match``, empty for none.
    """

    ports: AdminPorts
    rights: Rights
    arguments: Mapping[str, str]
    content: Any = None
    expected: str = ''

    def read_name(self, parameter: str) -> Result[str, Failure]:
        """Return a parameter that has to be a name."""
        text = self.arguments.get(parameter, '')
        if _NAME.fullmatch(text):
            return Ok(text)
        return refuse(f'{parameter}: {text!r} is no name')

    def read_member(self, name: str) -> Result[str, Failure]:
        """Return a text in the body, empty when it is left out."""
        content = self.content or {}
        if not isinstance(content, dict):
            return refuse('the body must be a JSON object')
        text = content.get(name, '')
        if isinstance(text, str):
            return Ok(text)
        return refuse(f'{name}: must be a text')

    def check(self, path: str, role: Role) -> Result[None, Failure]:
        """Check that the operator holds a role at a path."""
        if self.rights.allow(path, role):
            return Ok(None)
        detail = f'{role} on {path} is needed'
        return Err(Failure(ErrorKind.FORBIDDEN, detail))

    def check_platform(self) -> Result[None, Failure]:
        """Check that the operator may change what no team owns."""
        return self.check(locate_document(PLATFORM), Role.WRITE)

    def can_read(self, team: str) -> bool:
        """Return whether the operator may see what a team owns."""
        paths = (locate_document(team), locate_document(PLATFORM))
        return any(self.rights.allow(path, Role.READ) for path in paths)


AdminFunction = Callable[[AdminCall], Awaitable[Result[Reply, Failure]]]
_Function = TypeVar('_Function', bound=AdminFunction)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdminRoute:
    """A function with the method and path that it answers."""

    method: str
    path: str
    function: AdminFunction


ROUTES: list[AdminRoute] = []


def register_route(
    method: str,
    path: str,
) -> Callable[[_Function], _Function]:
    """Register a function for a method and path below ``/-/``."""

    def decorate(function: _Function) -> _Function:
        ROUTES.append(AdminRoute(method, f'/-/{path}', function))
        return function

    return decorate


def refuse(detail: str) -> Err[Failure]:
    """Return a refusal of a malformed call."""
    return Err(Failure(ErrorKind.BAD_REQUEST, detail))


def reply_with(found: Result[Any, Failure]) -> Result[Reply, Failure]:
    """Wrap what a port returned."""
    return found.map(Reply)


def reply_with_items(found: Iterable[Any]) -> Result[Reply, Failure]:
    """Wrap a sequence, so that members can be added beside it."""
    return Ok(Reply({'items': tuple(found)}))
