"""ASGI application that receives callers' requests."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Protocol

from result import Err

from verbenapost.protocol.callers import CallerAnswer, ReceivedRequest
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.problems import make_problem
from verbenapost.transport.bodies import BodyReader, ByteBudget, Receive

#: Seconds for which a request is served before its connection is watched for
#: a disconnect. For shorter requests the watch costs more than it saves.
WATCH_DELAY_SECONDS = 0.05

#: Prefix of the daemon's own paths.
OWN_PATH_PREFIX = '/-/'

Scope = MutableMapping[str, Any]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]


class RequestServer(Protocol):
    """Server of callers' requests."""

    @property
    def closing(self) -> bool:
        """Whether connections are closed after their next answer."""

    async def serve(self, request: ReceivedRequest) -> CallerAnswer:
        """Return the complete answer to a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a caller's request, in bytes.

    :param header_bytes: headers, path and query together.
    :param body_bytes: body.
    """

    header_bytes: int
    body_bytes: int


class CallerApp:
    """Reads a request, passes it to the server and writes the answer.

    :param server: serves the requests.
    :param own_app: application for the daemon's own paths.
    :param limits: limits on the size of one request.
    :param budget: limit on the memory that all bodies share.
    :ivar active_requests: number of requests in progress.
    :ivar finished_requests: number of requests that have ended.
    """

    def __init__(
        self,
        server: RequestServer,
        own_app: AsgiApp,
        limits: CallerLimits,
        budget: ByteBudget,
    ) -> None:
        self.active_requests = 0
        self.finished_requests = 0
        self._server = server
        self._own_app = own_app
        self._limits = limits
        self._budget = budget

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one ASGI connection scope."""
        if scope['type'] != 'http' or scope['path'].startswith(OWN_PATH_PREFIX):
            await self._own_app(scope, receive, send)
            return
        self.active_requests += 1
        reader = BodyReader(self._budget, self._limits.body_bytes)
        try:
            await self._answer(scope, receive, send, reader)
        finally:
            reader.release()
            self.active_requests -= 1
            self.finished_requests += 1

    async def _answer(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        reader: BodyReader,
    ) -> None:
        if _measure_head(scope) > self._limits.header_bytes:
            await self._write(send, make_failure_answer(_HEADERS_TOO_LARGE))
            return
        content = await reader.read(receive)
        if isinstance(content, Err):
            await self._write(send, make_failure_answer(content.err_value))
            return
        request = _build_request(scope, content.ok_value)
        answer = await self._serve(request, receive)
        if answer is not None:
            await self._write(send, answer)

    async def _serve(
        self,
        request: ReceivedRequest,
        receive: Receive,
    ) -> CallerAnswer | None:
        watch = _DisconnectWatch(receive)
        try:
            return await self._server.serve(request)
        except asyncio.CancelledError:
            if watch.disconnected:
                return None
            raise
        finally:
            watch.stop()

    async def _write(self, send: Send, answer: CallerAnswer) -> None:
        length = str(len(answer.content)).encode()
        headers = [*answer.headers, (b'content-length', length)]
        if self._server.closing:
            headers.append((b'connection', b'close'))
        await send(
            {
                'type': 'http.response.start',
                'status': answer.status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': answer.content})


class _DisconnectWatch:
    """Cancels the task that serves a request when its caller disconnects."""

    def __init__(self, receive: Receive) -> None:
        self.disconnected = False
        self._receive = receive
        self._serving_task = asyncio.current_task()
        self._watch_task: asyncio.Task[None] | None = None
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(WATCH_DELAY_SECONDS, self._start)

    def stop(self) -> None:
        self._timer.cancel()
        if self._watch_task is not None:
            self._watch_task.cancel()

    def _start(self) -> None:
        self._watch_task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            event = await self._receive()
            if (
                event['type'] == 'http.disconnect'
                and self._serving_task is not None
            ):
                self.disconnected = True
                self._serving_task.cancel()


_HEADERS_TOO_LARGE = Failure(
    ErrorKind.TOO_LARGE,
    'The headers are larger than the limit.',
)


def make_failure_answer(failure: Failure, request_id: str = '') -> CallerAnswer:
    """Return the answer that reports a failure to a caller.

    :param failure: the failure.
    :param request_id: identifier of the request, left out when empty.
    """
    problem = make_problem(failure, request_id)
    headers = [
        (name.encode(), value.encode())
        for name, value in problem.headers.items()
    ]
    return CallerAnswer(problem.status, headers, problem.body)


def _measure_head(scope: Scope) -> int:
    rows = scope['headers']
    size = sum(len(name) + len(value) for name, value in rows)
    return size + len(scope['raw_path']) + len(scope['query_string'])


def _build_request(scope: Scope, content: bytes) -> ReceivedRequest:
    path = scope['raw_path'].decode('latin-1')
    query = scope['query_string'].decode('latin-1')
    return ReceivedRequest(
        method=scope['method'],
        path=f'{path}?{query}' if query else path,
        headers=[
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in scope['headers']
        ],
        content=content,
    )
