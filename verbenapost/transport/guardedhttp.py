"""HTTP connection that is admitted, timed and refused by a guard."""

import asyncio
import socket
from http import HTTPStatus
from typing import Any, Final, final

from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    RequestResponseCycle,
)

from verbenapost.transport.guard import Guard
from verbenapost.transport.refusals import Reason
from verbenapost.transport.slicedhttp import (
    GuardedFlow,
    Part,
    SlicedProtocol,
)

#: Seconds for which a refused client may read the response. What it still
#: sends is dropped, since a reset would lose the response.
LINGER_SECONDS: Final = 1.0


class UnreadTimer:
    """Measures for how long a client has read nothing of its responses.

    >>> timer = UnreadTimer()
    >>> [timer.measure(*row) for row in ((9, 0), (9, 2), (5, 3), (0, 9))]
    [0, 2, 0, 0]
    """

    def __init__(self) -> None:
        self._size = 0
        self._since: float = 0

    def measure(self, size: int, now: float) -> float:
        """Return the seconds since the unread bytes have last become fewer.

        :param size: unread bytes.
        :param now: monotonic seconds.
        """
        if not size or size < self._size or not self._size:
            self._since = now
        self._size = size
        return now - self._since


@final
class GuardedProtocol(SlicedProtocol):
    """HTTP connection that keeps to the limits of a guard.

    :param guard: limits and connections of the listener.
    """

    def __init__(self, *args: Any, guard: Guard, **options: Any) -> None:
        super().__init__(*args, limits=guard.limits, **options)
        self._guard = guard
        # Time of the last response, or of the last bytes of an unfinished body.
        self._since = self.loop.time()
        self._unread = UnreadTimer()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection or refuse it."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        super().connection_made(transport)
        self.flow = GuardedFlow(transport)
        transport.set_write_buffer_limits(self._limits.unread_bytes)
        if not self._guard.admit(self, self._since):
            self._refuse(Reason.CONNECTIONS)
            transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection held."""
        self._guard.connections.discard(self)
        self._release()
        self.pipeline.clear()
        if self._running is not None and not self._running.response_complete:
            self._disconnect(self._running)
        super().connection_lost(exc)

    def on_response_complete(self) -> None:
        """Go on with what has waited for this response."""
        self._since = self.loop.time()
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if self._reason is not None:
            self._answer_refusal(self._reason)
        elif self.held_bytes:
            self.loop.call_soon(self._feed_held)

    def pause_writing(self) -> None:
        """Keep the next response until the client has read some."""
        super().pause_writing()
        self._guard.limit_unread()

    def check_progress(self, now: float) -> None:
        """Close the connection if it has exceeded a time limit.

        :param now: monotonic seconds.
        """
        if self.flow.read_paused and _is_reset(self.transport):
            self.transport.abort()
            return
        unread = self._unread.measure(self.measure_unread(), now)
        if unread > self._limits.stalled_seconds:
            self.close_unread()
        elif self._reason is not None:
            if not self._is_running() and now - self._since > LINGER_SECONDS:
                self.transport.abort()
        elif not self._held:
            self._check_client(now)

    def measure_idle(self, now: float) -> float | None:
        """Return the seconds without a request, ``None`` while one runs.

        A request whose body is unfinished waits for its client, unless an
        earlier one of the connection still runs.

        :param now: monotonic seconds.
        """
        waits_for_client = self._part is Part.BODY and (
            self._running is self.cycle
        )
        if not self._is_running():
            return now - self._since
        # Not since the last bytes: a client that sends them slowly would keep
        # its place for good.
        return now - self._started_at if waits_for_client else None

    def close_idle(self) -> None:
        """Close the connection in favour of a new one."""
        self._note(Reason.IDLE)
        self.transport.abort()

    def measure_unread(self) -> int:
        """Return the bytes of responses that the client has not read."""
        return self.transport.get_write_buffer_size()

    def close_unread(self) -> None:
        """Close the connection and drop what the client has not read."""
        self._note(Reason.UNREAD)
        self.transport.abort()

    def release_memory(self) -> None:
        """Refuse the connection because all together hold too much."""
        self.pipeline.clear()
        self._refuse(Reason.MEMORY)

    def _check_client(self, now: float) -> None:
        """Refuse a client that takes too long."""
        limits = self._limits
        waited = now - self._since
        if self._head_since is not None:
            if now - self._head_since > limits.head_seconds:
                self._refuse(Reason.HEAD_TIME)
        elif self._part is Part.BODY:
            if waited > limits.stalled_seconds:
                self._refuse(Reason.BODY_TIME)
        elif waited > limits.idle_seconds and not self._is_running():
            self.transport.close()

    def _note_progress(self) -> None:
        if not self._part_bytes and self._part is not Part.HEAD:
            self._head_since = None
            if self._part is Part.BODY:
                self._since = self.loop.time()
        elif self._head_since is None or self._held:
            self._head_since = self.loop.time()

    def _count(self, size: int) -> None:
        change = size - self.held_bytes
        self.held_bytes = size
        self._guard.hold(change)

    def _release(self) -> None:
        self._held = b''
        if self.held_bytes:
            self._count(0)

    def _is_running(self) -> bool:
        running = self._running
        if running is None:
            return False
        return not (running.response_complete or running.disconnected)

    def _note(self, reason: Reason) -> None:
        self._reason = reason
        client = self.client[0] if self.client else ''
        self._guard.refusals.note(self._guard.listener, reason, client)

    def _refuse(self, reason: Reason) -> None:
        """Refuse the connection once earlier requests have been answered."""
        self._note(reason)
        self._release()
        if self._part is Part.BODY:
            self._drop_unfinished()
        elif self._part is Part.HEAD:
            # The client may linger; the head is not needed any more.
            self.headers = []
            self.scope['headers'] = self.headers
        # The parser holds what it has read of the head.
        self.parser = None  # type: ignore[assignment]
        self._answer_refusal(reason)

    def _drop_unfinished(self) -> None:
        """Drop the request whose body is unfinished."""
        cycle = self.cycle
        if self.pipeline and self.pipeline[0][0] is cycle:
            self.pipeline.popleft()
        elif cycle is self._running:
            self._disconnect(cycle)

    def _answer_refusal(self, reason: Reason) -> None:
        if self._is_running():
            self.flow.hold()
            return
        cycle = self.cycle
        is_begun = cycle is not None and cycle.response_started
        if self._part is not Part.BODY or not is_begun:
            self.transport.write(_make_response(reason))
        self._linger()

    def _linger(self) -> None:
        """Let the client read the response, and drop what it still sends."""
        self._since = self.loop.time()
        self._unset_keepalive_if_required()
        self.flow.release()
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def _disconnect(self, cycle: RequestResponseCycle) -> None:
        """Tell the application that the client of a request is gone."""
        cycle.disconnected = True
        cycle.message_event.set()


def _is_reset(transport: asyncio.Transport) -> bool:
    """Return whether the client has reset a connection that is not read."""
    opened = transport.get_extra_info('socket')
    return bool(opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def _make_response(reason: Reason) -> bytes:
    phrase = HTTPStatus(reason.status).phrase.encode()
    return b''.join(
        (
            STATUS_LINE[reason.status],
            b'content-type: text/plain; charset=utf-8\r\n',
            b'content-length: %d\r\n' % len(phrase),
            b'connection: close\r\n\r\n',
            phrase,
        )
    )
