"""HTTP application through which operators reach a daemon."""

from collections.abc import Awaitable, Callable
from typing import Any

import pydantic_core
from result import Err, Ok, Result
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from verbenapost.coordination.rights import (
    OperatorRegistry,
    OperatorToken,
    Role,
)
from verbenapost.daemon import adminroutes, configurationroutes  # noqa: F401
from verbenapost.daemon.admincalls import ROUTES, AdminCall, AdminRoute, Reply
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.metrics import Metrics
from verbenapost.daemon.ports import AdminPorts
from verbenapost.daemon.settings import Settings
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.problems import make_problem
from verbenapost.protocol.strictjson import parse_json

#: Largest body of an operator call, in bytes.
MAX_CALL_BYTES = 1_048_576

_KIND_BY_STATUS = {
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.BAD_REQUEST,
}

Endpoint = Callable[[Request], Awaitable[Response]]


def make_registry(settings: Settings) -> OperatorRegistry:
    """Return the registry of the operator tokens in the settings."""
    return OperatorRegistry(
        [
            OperatorToken(
                operator.name,
                operator.token_sha256,
                subtree,
                Role(operator.role),
            )
            for operator in settings.operators
            for subtree in operator.subtrees
        ]
    )


class AdminApp:
    """Authenticates operator calls and dispatches them to route functions.

    :param ports: ports to the parts of the daemon.
    :param operators: registry of the accepted tokens.
    :param metrics: metrics of the daemon.
    """

    def __init__(
        self,
        ports: AdminPorts,
        operators: OperatorRegistry,
        metrics: Metrics,
    ) -> None:
        self._ports = ports
        self._operators = operators
        self._metrics = metrics
        self._log = make_logger('admin')

    def build(self) -> Starlette:
        """Return the ASGI application, whose paths start with ``/-/``."""
        probes = [
            Route('/-/live', _answer_live),
            Route('/-/ready', self._answer_ready),
            Route('/-/metrics', self._answer_metrics),
        ]
        calls = [
            Route(
                route.path,
                self._make_endpoint(route),
                methods=[route.method],
            )
            for route in ROUTES
        ]
        return Starlette(
            routes=probes + calls,
            exception_handlers={HTTPException: _answer_http_error},
        )

    async def _answer_ready(self, request: Request) -> Response:
        status = self._ports.members.read_status()
        if status.ready:
            return _write_json(Reply({'ready': True}))
        failure = Failure(ErrorKind.NOT_READY, status.reason)
        return _write_problem(failure)

    async def _answer_metrics(self, request: Request) -> Response:
        body, headers = self._metrics.render()
        return Response(body, headers=headers)

    def _answer_exception(
        self,
        request: Request,
        fault: Exception,
    ) -> Response:
        self._log.error('call failed', path=request.url.path, exc_info=fault)
        return _write_problem(Failure(ErrorKind.INTERNAL))

    def _make_endpoint(self, route: AdminRoute) -> Endpoint:
        async def answer(request: Request) -> Response:
            try:
                found = await self._run(route, request)
            except Exception as fault:
                return self._answer_exception(request, fault)
            if isinstance(found, Ok):
                return _write_json(found.ok_value)
            return _write_problem(found.err_value)

        return answer

    async def _run(
        self,
        route: AdminRoute,
        request: Request,
    ) -> Result[Reply, Failure]:
        token = _read_token(request)
        rights = token.and_then(self._operators.authenticate)
        if isinstance(rights, Err):
            return rights
        content = await _read_content(request)
        if isinstance(content, Err):
            return content
        call = AdminCall(
            self._ports,
            rights.ok_value,
            {**request.query_params, **request.path_params},
            content.ok_value,
            request.headers.get('if-match', ''),
        )
        found = await route.function(call)
        if route.method != 'GET':
            self._log.info(
                'call done',
                method=route.method,
                path=request.url.path,
                operator=rights.ok_value.operator,
                outcome='ok' if found.is_ok() else found.unwrap_err().kind,
            )
        return found


async def _answer_live(request: Request) -> Response:
    return _write_json(Reply({'live': True}))


async def _answer_http_error(
    request: Request,
    fault: Exception,
) -> Response:
    status = getattr(fault, 'status_code', 0)
    kind = _KIND_BY_STATUS.get(status, ErrorKind.INTERNAL)
    detail = f'{request.method} {request.url.path} is no call of operators.'
    return _write_problem(Failure(kind, detail))


def _write_json(reply: Reply) -> Response:
    headers = {'content-type': 'application/json'}
    if reply.revision is not None:
        headers['etag'] = f'"{reply.revision}"'
    return Response(pydantic_core.to_json(reply.content), reply.status, headers)


def _write_problem(failure: Failure) -> Response:
    problem = make_problem(failure)
    return Response(problem.body, problem.status, problem.headers)


def _read_token(request: Request) -> Result[str, Failure]:
    scheme, _, token = request.headers.get('authorization', '').partition(' ')
    if scheme.lower() != 'bearer' or not token:
        detail = 'The call needs the bearer token of an operator.'
        return Err(Failure(ErrorKind.UNAUTHENTICATED, detail))
    return Ok(token.strip())


async def _read_content(request: Request) -> Result[Any, Failure]:
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_CALL_BYTES:
            detail = f'The body is over {MAX_CALL_BYTES} bytes.'
            return Err(Failure(ErrorKind.TOO_LARGE, detail))
    if not body:
        return Ok(None)
    try:
        return Ok(parse_json(bytes(body)))
    except ValueError as fault:
        return Err(Failure(ErrorKind.BAD_REQUEST, f'The body: {fault}.'))
