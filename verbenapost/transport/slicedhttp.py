"""HTTP connection whose parser is fed in slices within limits."""

import abc
import asyncio
import enum
from typing import Any, Final

import httptools
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT, FlowControl
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from verbenapost.transport.connectionlimits import ConnectionLimits
from verbenapost.transport.disconnects import set_watch
from verbenapost.transport.refusals import Reason

#: Bytes that are read from a connection at a time.
READ_BYTES: Final = 16_384

#: Bytes of a head that the parser gets at a time. Few, since limits are checked
#: between two slices.
SLICE_BYTES: Final = 2048

#: Bytes that a parsed request occupies while it waits, beside its body.
REQUEST_BYTES: Final = 4096

#: Bytes of a body that are read and dropped after its request was answered.
#: A client that stays within them can go on with its connection.
MAX_DROPPED_BYTES: Final = 1_048_576

_HEAD_END: Final = b'\r\n\r\n'

# All connections read into the same memory and copy what they have read.
_READ_BUFFER: Final = memoryview(bytearray(READ_BYTES))


@enum.unique
class Part(enum.Enum):
    """Part of a request that the parser is in."""

    NONE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()


# Members are looked up more slowly than variables of the module.
_NONE: Final = Part.NONE
_HEAD: Final = Part.HEAD
_BODY: Final = Part.BODY


class _LimitError(Exception):
    """Ends the parser's work on a head that exceeds a limit."""


class GuardedFlow(FlowControl):
    """Flow control that reads no further while requests wait.

    :ivar holds: whether unparsed bytes wait.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.holds = False

    def hold(self) -> None:
        """Stop reading until :meth:`release`."""
        self.holds = True
        self.pause_reading()

    def release(self) -> None:
        """Read again."""
        self.holds = False
        self.resume_reading()

    def resume_reading(self) -> None:
        """Read again unless bytes wait; called for each received request."""
        if self.read_paused and not self.holds:
            super().resume_reading()


class SlicedProtocol(HttpToolsProtocol, asyncio.BufferedProtocol, abc.ABC):
    """HTTP connection that checks limits between slices of its input.

    Explanation
    ===========

    The parser keeps a head until its end, and the server library queues each
    request that is parsed while another one is answered. So the parser gets
    little at a time, and nothing while enough requests wait. The connection is
    not read meanwhile, which makes a well-behaved client wait.

    :ivar held_bytes: bytes that the connection keeps in memory for heads that
        are unfinished or large, and for waiting requests.
    """

    flow: GuardedFlow

    def __init__(
        self, *args: Any, limits: ConnectionLimits, **options: Any
    ) -> None:
        super().__init__(*args, **options)
        self.held_bytes = 0
        self._limits = limits
        self._part = _NONE
        # Bytes of the current part: of the empty lines, of the head, or of the
        # body since its last data.
        self._part_bytes = 0
        self._has_body_data = False
        self._dropped_bytes = 0
        self._running: RequestResponseCycle | None = None
        # Time at which the running request began.
        self._started_at = self.loop.time()
        # Bytes of the head of the running request, if it is a large one.
        self._head_bytes = 0
        self._held = b''
        # Time since which a head or other bytes besides bodies are unfinished.
        self._head_since: float | None = None
        self._reason: Reason | None = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Feed the parser while no request has to wait, and hold the rest."""
        if self._reason is None:
            self._unset_keepalive_if_required()
            chunk = bytes(_READ_BUFFER[:nbytes])
            self._feed(self._held + chunk if self._held else chunk)

    def on_message_begin(self) -> None:
        """Note that a head begins."""
        super().on_message_begin()
        self._part = _HEAD

    def on_headers_complete(self) -> None:
        """Check the head, then start or queue its request."""
        limits = self._limits
        if len(self.headers) > limits.header_lines:
            raise self._exceed(Reason.HEADER_LINES)
        if self._part_bytes > limits.header_line_bytes:
            longest = max(len(name) + len(text) for name, text in self.headers)
            if longest > limits.header_line_bytes:
                raise self._exceed(Reason.HEADER_LINE)
        super().on_headers_complete()
        # The parser appends trailers; they are not given to the application.
        self.headers = []
        self._part = _BODY
        self._part_bytes = 0
        self._dropped_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Note progress of the body."""
        self._has_body_data = True
        if self.cycle.response_complete:
            self._dropped_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        super().on_message_complete()
        self._part = _NONE
        self._part_bytes = 0

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        size = _measure_headers(cycle)
        self._running = cycle
        self._started_at = self.loop.time()
        set_watch(cycle.scope, lambda: cycle.disconnected)
        self._head_bytes = size if size > SLICE_BYTES else 0
        super()._start_asgi_task(cycle, app)

    @abc.abstractmethod
    def _refuse(self, reason: Reason) -> None:
        """Refuse the connection."""

    @abc.abstractmethod
    def _count(self, size: int) -> None:
        """Count the bytes that the connection keeps in memory."""

    @abc.abstractmethod
    def _note_progress(self) -> None:
        """Note what the client has to send next, and since when."""

    def _feed(self, chunk: bytes) -> None:
        position, size = 0, len(chunk)
        while position < size:
            if self.pipeline and self._must_wait():
                break
            end = size if self._part is _BODY else _find_end(chunk, position)
            if not self._feed_slice(chunk[position:end]):
                return
            position = end
        if position >= size and self._is_between_requests():
            return
        self._hold(chunk[position:])
        self._note_progress()

    def _feed_held(self) -> None:
        if self._reason is None and not self.transport.is_closing():
            self._feed(self._held)

    def _feed_slice(self, chunk: bytes) -> bool:
        """Feed the parser and return whether more may be fed."""
        self._part_bytes += len(chunk)
        self._has_body_data = False
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            # The request is served without the upgrade.
            self._held = b''
            return False
        except httptools.HttpParserError:
            self._refuse(self._reason or Reason.MALFORMED)
            return False
        if not self._part_bytes:
            return True
        reason = self._find_excess()
        if reason is not None:
            self._refuse(reason)
        return reason is None

    def _find_excess(self) -> Reason | None:
        """Return the limit that the unfinished part exceeds, if any."""
        limits = self._limits
        if self._part is _BODY:
            return self._find_body_excess()
        if self._part is _NONE:
            has_excess = self._part_bytes > limits.empty_bytes
            return Reason.EMPTY_LINES if has_excess else None
        if len(self.headers) > limits.header_lines:
            return Reason.HEADER_LINES
        has_excess = self._part_bytes > limits.head_bytes
        return Reason.HEAD if has_excess else None

    def _find_body_excess(self) -> Reason | None:
        limits = self._limits
        if self._has_body_data:
            self._part_bytes = 0
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            return Reason.BODY
        has_excess = (
            self._part_bytes > limits.trailer_bytes
            or len(self.headers) > limits.header_lines
        )
        return Reason.TRAILERS if has_excess else None

    def _is_between_requests(self) -> bool:
        """Whether the connection keeps nothing and expects nothing."""
        if self._part is not _NONE or self._head_since is not None:
            return False
        if self._part_bytes or self.held_bytes or self._head_bytes:
            return False
        return not (self.pipeline or self.flow.holds)

    def _must_wait(self) -> bool:
        """Return whether queued requests have to be answered first."""
        is_full = len(self.pipeline) >= self._limits.pipelined_requests
        return is_full or len(self.cycle.body) > HIGH_WATER_LIMIT

    def _hold(self, chunk: bytes) -> None:
        """Keep unparsed bytes, and stop reading while there are any."""
        self._held = chunk
        if chunk:
            self.flow.hold()
        elif self.flow.holds:
            self.flow.release()
        size = len(chunk)
        if self._part is _HEAD:
            size += self._part_bytes
        if self._head_bytes:
            size += self._measure_head()
        size += sum(_measure_request(cycle) for cycle, _app in self.pipeline)
        if size != self.held_bytes:
            self._count(size)

    def _measure_head(self) -> int:
        """Return the bytes of a large head whose request isn't answered."""
        if self._running is None or self._running.response_complete:
            self._head_bytes = 0
        return self._head_bytes

    def _exceed(self, reason: Reason) -> _LimitError:
        self._reason = reason
        return _LimitError(reason.label)


def _measure_request(cycle: RequestResponseCycle) -> int:
    """Return the bytes of a request that waits for earlier responses."""
    return REQUEST_BYTES + _measure_headers(cycle) + len(cycle.body)


def _measure_headers(cycle: RequestResponseCycle) -> int:
    rows = cycle.scope['headers']
    return sum(len(name) + len(text) for name, text in rows)


def _find_end(chunk: bytes, position: int) -> int:
    """Return the end of the slice of a head that begins at a position.

    It ends with the head, so that limits are checked behind each request.
    """
    end = position + SLICE_BYTES
    head_end = chunk.find(_HEAD_END, position, end)
    return end if head_end < 0 else head_end + len(_HEAD_END)
