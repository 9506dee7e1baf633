"""ASGI applications for callers, readiness probes and metrics scrapes."""

from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from typing import Any, Final

from verbenapost.daemon.timers import read_clock
from verbenapost.platform.names import (
    AUTHORIZATION_HEADER,
    AUTHORIZATION_SCHEME,
    CALLER_TIMEOUT_HEADER,
    CHALLENGE_HEADER,
    READY_PATH,
)
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.scheduler.answers import (
    EntryAnswer,
    EntryRequest,
    Status,
)
from verbenapost.scheduler.entry import Entry
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.scheduler.turns import RequestTurns, refuse_busy
from verbenapost.transport.bodies import BodyReader, ByteBudget, Receive
from verbenapost.transport.disconnects import find_watch

#: Longest body of one request, in bytes.
MAX_BODY_BYTES: Final = 262_144

#: Seconds that a caller waits when it sends no timeout.
DEFAULT_TIMEOUT: Final = 3.0

#: Digits of a timeout; one with more counts as none.
MAX_TIMEOUT_DIGITS: Final = 9

#: Path of the metrics.
METRICS_PATH: Final = '/metrics'

_MILLI: Final = 1000
_HTTP: Final = 'http'
_METHODS: Final = frozenset(('POST', 'GET', 'DELETE'))

#: Header that names the scheme of a missing or refused key.
_CHALLENGE: Final = (CHALLENGE_HEADER.encode(), AUTHORIZATION_SCHEME.encode())

Scope = MutableMapping[str, Any]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class CallerApp:
    """Reads a request, passes it to the entry and writes the answer.

    :param entry: handler of the requests.
    :param metrics: metrics of the daemon.
    :param bodies_bytes: memory for the bodies of all concurrent requests.
    :param served_at_once: requests that are served at one time.
    :ivar running: number of requests in progress.
    :ivar closing: whether answers ask callers to close their connections.
    """

    def __init__(
        self,
        entry: Entry,
        metrics: SchedulerMetrics,
        bodies_bytes: int,
        served_at_once: int,
    ) -> None:
        self._metrics = metrics
        self.running = 0
        self.closing = False
        self._entry = entry
        self._budget = ByteBudget(bodies_bytes)
        self._turns = RequestTurns(served_at_once, self._budget)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope['type'] != _HTTP:
            return
        self.running += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.running -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        began = read_clock()
        headers = dict(scope['headers'])
        reader = BodyReader(self._budget, MAX_BODY_BYTES)
        try:
            body = await reader.read(receive)
            request = EntryRequest(
                scope['method'],
                _read_host(headers),
                scope['path'],
                body.ok(),
                began + _read_timeout(headers),
                _read_authorization(scope['headers']),
                find_watch(scope),
            )
            answer = await self._answer(request, body.err())
        finally:
            reader.release()
        self._count(scope['method'], answer, read_clock() - began)
        await self._write(answer, send)

    async def _answer(
        self, request: EntryRequest, failure: Failure | None
    ) -> EntryAnswer:
        """Return the answer to a request whose body was read or not."""
        if failure is None or failure.kind is ErrorKind.TOO_LARGE:
            return await self._turns.serve(request, self._entry.serve)
        return refuse_busy()

    def _count(self, method: str, answer: EntryAnswer, seconds: float) -> None:
        known = method if method in _METHODS else 'other'
        status = str(int(answer.status))
        self._metrics.requests.inc({'method': known, 'status': status})
        self._metrics.request_seconds.observe({'method': known}, seconds)
        fault = answer.authentication_fault
        if fault is not None:
            self._metrics.unauthenticated.inc({'reason': fault.value})

    async def _write(self, answer: EntryAnswer, send: Send) -> None:
        headers = [(b'content-type', b'application/json')]
        if answer.retry_after is not None:
            seconds = f'{answer.retry_after:.2f}'.encode()
            headers.append((b'retry-after', seconds))
        if answer.status is Status.UNAUTHENTICATED:
            headers.append(_CHALLENGE)
        if self.closing:
            headers.append((b'connection', b'close'))
        await _respond(send, answer.status, headers, answer.body)


class ProbeApp:
    """Answers the platform's readiness probes.

    :param is_ready: returns whether the daemon accepts new connections.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(
        self, scope: Scope, _receive: Receive, send: Send
    ) -> None:
        """Answer one probe."""
        if scope['type'] != _HTTP:
            return
        status = Status.NO_ROUTE
        if scope['path'] == READY_PATH:
            ready = self._is_ready()
            status = Status.OK if ready else Status.UNAVAILABLE
        await _respond(send, status, [], b'')


class MetricsApp:
    """Serves the metrics as text.

    :param render: returns the rendered metrics.
    """

    def __init__(self, render: Callable[[], bytes]) -> None:
        self._render = render

    async def __call__(
        self, scope: Scope, _receive: Receive, send: Send
    ) -> None:
        """Answer one scrape."""
        if scope['type'] != _HTTP:
            return
        if scope['path'] != METRICS_PATH:
            await _respond(send, Status.NO_ROUTE, [], b'')
            return
        headers = [(b'content-type', b'text/plain; charset=utf-8')]
        await _respond(send, Status.OK, headers, self._render())


async def _respond(
    send: Send,
    status: Status,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    """Send a complete response."""
    length = (b'content-length', str(len(body)).encode())
    await send(
        {
            'type': 'http.response.start',
            'status': int(status),
            'headers': [*headers, length],
        },
    )
    await send({'type': 'http.response.body', 'body': body})


def _read_host(headers: dict[bytes, bytes]) -> str:
    host = headers.get(b'host', b'').decode('latin-1')
    return host.rpartition(':')[0] if ':' in host else host


def _read_authorization(headers: Iterable[tuple[bytes, bytes]]) -> bytes | None:
    """Return the value of the header, joined by commas if it is repeated."""
    name = AUTHORIZATION_HEADER.encode()
    found = [value for header, value in headers if header == name]
    return b', '.join(found) if found else None


def _read_timeout(headers: dict[bytes, bytes]) -> float:
    text = headers.get(CALLER_TIMEOUT_HEADER.encode(), b'')
    is_usable = text.isdigit() and len(text) <= MAX_TIMEOUT_DIGITS
    return int(text) / _MILLI if is_usable else DEFAULT_TIMEOUT
