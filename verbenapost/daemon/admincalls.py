"""Operator calls and the registry of the functions that answer them."""

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
    """Answer to an operator call.

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
    """Authenticated operator call.

    :param ports: ports to the parts of the daemon.
    :param rights: rights of the operator.
    :param arguments: parameters of the path and the query.
    :param content: JSON value of the body, ``None`` without a body.
    :param expected: value of the header ``If-Match``, empty when missing.
    """

    ports: AdminPorts
    rights: Rights
    arguments: Mapping[str, str]
    content: Any = None
    expected: str = ''

    def read_name(self, parameter: str) -> Result[str, Failure]:
        """Return a path or query parameter that must be a valid name."""
        text = self.arguments.get(parameter, '')
        if _NAME.fullmatch(text):
            return Ok(text)
        return refuse(f'{parameter}: {text!r} is no name')

    def read_text(self, name: str) -> Result[str, Failure]:
        """Return a string field of the body, empty when it is missing."""
        content = self.content or {}
        if not isinstance(content, dict):
            return refuse('the body must be a JSON object')
        text = content.get(name, '')
        if isinstance(text, str):
            return Ok(text)
        return refuse(f'{name}: must be a text')

    def check(self, path: str, role: Role) -> Result[None, Failure]:
        """Check that the operator has a role for a path."""
        if self.rights.allow(path, role):
            return Ok(None)
        detail = f'{role} on {path} is needed'
        return Err(Failure(ErrorKind.FORBIDDEN, detail))

    def check_platform(self) -> Result[None, Failure]:
        """Check that the operator may change objects that no team owns."""
        return self.check(locate_document(PLATFORM), Role.WRITE)

    def can_read(self, team: str) -> bool:
        """Return whether the operator may read the objects of a team."""
        paths = (locate_document(team), locate_document(PLATFORM))
        return any(self.rights.allow(path, Role.READ) for path in paths)


AdminFunction = Callable[[AdminCall], Awaitable[Result[Reply, Failure]]]
_Function = TypeVar('_Function', bound=AdminFunction)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdminRoute:
    """HTTP method and path with the function that answers them."""

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
    """Return the failure for a malformed call."""
    return Err(Failure(ErrorKind.BAD_REQUEST, detail))


def reply_with(found: Result[Any, Failure]) -> Result[Reply, Failure]:
    """Wrap the result of a port in a reply."""
    return found.map(Reply)


def reply_with_items(found: Iterable[Any]) -> Result[Reply, Failure]:
    """Wrap a sequence in an object, so that fields can be added later."""
    return Ok(Reply({'items': tuple(found)}))
