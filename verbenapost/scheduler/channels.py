"""Requests and replies between two daemons over one peer stream."""

import asyncio
import inspect
import itertools
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgpack
from result import Err, Ok, Result

from verbenapost.daemon.timers import read_clock
from verbenapost.protocol import codec
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.scheduler.messages import Heartbeat, Reply, Request
from verbenapost.scheduler.tasks import TaskSet

#: Seconds between two heartbeats on a connection.
HEARTBEAT_SECONDS: Final = 0.5

#: Seconds without a message after which a connection is closed: three missed
#: heartbeats.
SILENCE_SECONDS: Final = 1.6

#: Returns the answer to a message, or an awaitable of the answer; raises
#: ``ValueError`` when the message has none.
RequestHandler = Callable[[Any], Any]

Send = Callable[[Any], bool]


class Channel:
    """One side of a connection, which can send and answer requests.

    :param send: queues a message and returns whether that succeeded.
    :param answer: handler of the other side's requests.
    :param tasks: runs the answers that are awaitable.
    :ivar relays: whether the other side relays calls for this side.
    :ivar heard_at: local clock in seconds at the last received message.
    """

    def __init__(
        self, send: Send, answer: RequestHandler, tasks: TaskSet
    ) -> None:
        self.relays = False
        self.heard_at = read_clock()
        self._send = send
        self._answer = answer
        self._tasks = tasks
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[bytes]] = {}

    @property
    def silent(self) -> bool:
        """Whether no message arrived within :data:`SILENCE_SECONDS`."""
        return read_clock() - self.heard_at > SILENCE_SECONDS

    async def ask(
        self,
        message: Any,
        timeout: float,
    ) -> Result[Any, CallFault]:
        """Send a request and return its answer.

        :param message: the request.
        :param timeout: seconds to wait.
        :returns: the answer, or a fault that tells whether the request may
            have had an effect.
        """
        number = next(self._numbers)
        future: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        if not self._send(Request(number, codec.encode(message))):
            return Err(CallFault(CallFaultKind.NOT_DONE, 'no connection'))
        self._waiting[number] = future
        try:
            async with asyncio.timeout(timeout):
                body = await future
        except TimeoutError:
            return Err(CallFault(CallFaultKind.UNKNOWN, 'no reply in time'))
        except ConnectionError as fault:
            return Err(CallFault(CallFaultKind.UNKNOWN, str(fault)))
        finally:
            self._waiting.pop(number, None)
        return _decode_reply(body)

    def send_heartbeat(self, *, relays: bool) -> None:
        """Send a heartbeat.

        :param relays: whether this side relays calls.
        """
        self._send(Heartbeat(relays))

    def receive(self, message: Any) -> None:
        """Process a message of the other side."""
        self.heard_at = read_clock()
        match message:
            case Reply():
                future = self._waiting.get(message.number)
                if future is not None and not future.done():
                    future.set_result(message.body)
            case Request():
                self._handle_request(message)
            case Heartbeat():
                self.relays = message.relays

    def close(self) -> None:
        """Fail all pending requests, since the connection is closed."""
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(ConnectionError('connection lost'))

    def _handle_request(self, request: Request) -> None:
        try:
            response = self._answer(codec.decode(msgpack.unpackb(request.body)))
        except (ValueError, TypeError):
            # An empty reply tells the other side that there is no answer.
            self._send(Reply(request.number, b''))
            return
        if inspect.isawaitable(response):
            self._tasks.add(self._reply_later(request.number, response))
        else:
            self._send(Reply(request.number, codec.encode(response)))

    async def _reply_later(self, number: int, response: Awaitable[Any]) -> None:
        self._send(Reply(number, codec.encode(await response)))


def _decode_reply(body: bytes) -> Result[Any, CallFault]:
    if not body:
        return Err(
            CallFault(CallFaultKind.NOT_DONE, 'the other side has no answer')
        )
    try:
        return Ok(codec.decode(msgpack.unpackb(body)))
    except (ValueError, TypeError) as fault:
        return Err(CallFault(CallFaultKind.UNKNOWN, f'invalid reply: {fault}'))
