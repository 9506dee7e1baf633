"""ASGI application that takes callers' requests."""

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

#: Seconds after which the connection is watched for the caller's leaving.
#: A shorter request ends before the watch would pay for itself.
WATCH_AFTER = 0.05

#: Path under which the daemon answers for itself.
OWN_PATH = '/-/'

Scope = MutableMapping[str, Any]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]


class RequestServer(Protocol):
    """What serves callers' requests."""

    @property
    def closing(self) -> bool:
        """Whether connections end with their next answer."""

    async def serve(self, request: ReceivedRequest) -> CallerAnswer:
        """Return the whole answer of a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers send.

    :param header_bytes: all headers of one request.
    :param body_bytes: body of one request.
    """

    header_bytes: int
    body_bytes: int


class CallerApp:
    """Reads a request, has it served, and writes the whole answer.

    :param server: serves the requests.
    :param own_app: application for the daemon's own paths.
    :param limits: bounds on one request.
    :param budget: memory that all bodies share.
    """

    def __init__(
        self,
        server: RequestServer,
        own_app: AsgiApp,
        limits: CallerLimits,
        budget: ByteBudget,
    ) -> None:
        self.running = 0
        self.served = 0
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
        """Answer one ASGI event."""
        if scope['type'] != 'http' or scope['path'].startswith(OWN_PATH):
            await self._own_app(scope, receive, send)
            return
        self.running += 1
        reader = BodyReader(self._budget, self._limits.body_bytes)
        try:
            await self._answer(scope, receive, send, reader)
        finally:
            reader.release()
            self.running -= 1
            self.served += 1

    async def _answer(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        reader: BodyReader,
    ) -> None:
        if _measure_headers(scope) > self._limits.header_bytes:
            await self._write(send, make_answer(_HEADERS_TOO_LARGE))
            return
        content = await reader.read(receive)
        if isinstance(content, Err):
            await self._write(send, make_answer(content.err_value))
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
            if watch.gone:
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
    """Cancels the serving task when the caller goes away."""

    def __init__(self, receive: Receive) -> None:
        self.gone = False
        self._receive = receive
        self._server = asyncio.current_task()
        self._task: asyncio.Task[None] | None = None
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(WATCH_AFTER, self._start)

    def stop(self) -> None:
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _start(self) -> None:
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            event = await self._receive()
            if event['type'] == 'http.disconnect' and self._server is not None:
                self.gone = True
                self._server.cancel()


_HEADERS_TOO_LARGE = Failure(
    ErrorKind.TOO_LARGE,
    'The headers are larger than the limit.',
)


def make_answer(failure: Failure, request_id: str = '') -> CallerAnswer:
    """Return the answer that tells a caller of a failure."""
    problem = make_problem(failure, request_id)
    headers = [
        (name.encode(), text.encode()) for name, text in problem.headers.items()
    ]
    return CallerAnswer(problem.status, headers, problem.body)


def _measure_headers(scope: Scope) -> int:
    rows = scope['headers']
    size = sum(len(name) + len(text) for name, text in rows)
    return size + len(scope['raw_path']) + len(scope['query_string'])


def _build_request(scope: Scope, content: bytes) -> ReceivedRequest:
    path = scope['raw_path'].decode('latin-1')
    query = scope['query_string'].decode('latin-1')
    return ReceivedRequest(
        method=scope['method'],
        path=f'{path}?{query}' if query else path,
        headers=[
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in scope['headers']
        ],
        content=content,
    )
