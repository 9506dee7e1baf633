"""HTTP exchanges with the servers of the platform."""

import asyncio
import dataclasses
import json
from collections.abc import Mapping
from typing import Any, Final, Protocol, final

import aiohttp
from result import Err, Ok, Result

from verbenapost.platform.connections import ConnectionPools
from verbenapost.platform.fields import Fields
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.transport.answerlimits import (
    DEFAULT_ANSWER_BYTES,
    DEFAULT_ANSWERS_BYTES,
)

#: Errors that occur before any byte of the request is sent.
_BEFORE_SENDING: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
#: Other errors, after which the outcome is open. A host that no DNS name can
#: have is a ``UnicodeError``; a header with a line break, a ``ValueError``.
_AFTER_SENDING: Final = (
    aiohttp.ClientError,
    OSError,
    ValueError,
)

_OK = 200
_JSON_HEADERS: Final = {'Content-Type': 'application/json'}


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call to a server of the platform.

    :param method: HTTP method.
    :param address: ``IP:port``.
    :param path: path with its query.
    :param body: fields of the JSON body, or ``None``.
    :param headers: additional headers.
    :param timeout: seconds for the whole exchange.
    """

    method: str
    address: str
    path: str
    body: Fields | None = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    timeout: float = 2.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A decoded answer.

    :param status: HTTP status.
    :param fields: decoded body, which may hold secrets of the store; empty
        without a body.
    """

    status: int
    fields: Fields = dataclasses.field(repr=False)

    @property
    def ok(self) -> bool:
        """Whether the status is 200."""
        return self.status == _OK


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EncodedCall:
    """A call with an encoded body.

    :param method: HTTP method.
    :param address: ``IP:port``.
    :param path: path with its query.
    :param payload: encoded body, or ``None``.
    :param headers: all headers set by the client.
    :param timeout: seconds for the whole exchange.
    """

    method: str
    address: str
    path: str
    payload: bytes | None
    headers: Mapping[str, str]
    timeout: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EncodedAnswer:
    """An answer with an encoded body.

    :param status: HTTP status.
    :param payload: encoded body, which may hold secrets of the store.
    """

    status: int
    payload: bytes = dataclasses.field(repr=False)


class Transport(Protocol):
    """Sends encoded calls to the servers of the platform."""

    async def send(
        self,
        call: EncodedCall,
    ) -> Result[EncodedAnswer, CallFault]:
        """Send a call and return its answer.

        :param call: the call.
        :returns: the answer with any status, or a fault that tells whether
            the call may have had an effect.
        """


class HttpTransport:
    """Sends calls over pooled connections of this process.

    :param answer_bytes: largest body of an answer.
    :param total_bytes: bytes of all answers that are being read.
    """

    def __init__(
        self,
        answer_bytes: int = DEFAULT_ANSWER_BYTES,
        total_bytes: int = DEFAULT_ANSWERS_BYTES,
    ) -> None:
        self._pools = ConnectionPools(answer_bytes, total_bytes)

    async def send(
        self,
        call: EncodedCall,
    ) -> Result[EncodedAnswer, CallFault]:
        """Send a call over a connection of this process.

        :param call: the call.
        """
        pool = self._pools.find(call.address)
        try:
            async with asyncio.timeout(call.timeout):
                status, payload = await pool.exchange(
                    call.method,
                    f'http://{call.address}{call.path}',
                    call.payload,
                    dict(call.headers),
                )
        except _BEFORE_SENDING as fault:
            return Err(CallFault(CallFaultKind.NOT_DONE, repr(fault)))
        except TimeoutError as fault:
            await self._pools.replace(call.address, pool)
            return Err(CallFault(CallFaultKind.UNKNOWN, repr(fault)))
        except _AFTER_SENDING as fault:
            return Err(CallFault(CallFaultKind.UNKNOWN, repr(fault)))
        return Ok(EncodedAnswer(status, payload))

    async def close(self) -> None:
        """Close all connections."""
        await self._pools.close()


class HttpClient:
    """Encodes calls and decodes their answers.

    :param transport: sends the encoded calls.
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def exchange(self, call: Call) -> Result[Answer, CallFault]:
        """Send a call and return its decoded answer.

        :param call: the call.
        :returns: the answer with any status, or a fault that tells whether
            the call may have had an effect.
        """
        answer = await self._transport.send(_encode_call(call))
        return answer.and_then(_decode_answer)


def _encode_call(call: Call) -> EncodedCall:
    payload = None
    headers = dict(call.headers)
    if call.body is not None:
        payload = json.dumps(call.body, separators=(',', ':')).encode()
        headers.update(_JSON_HEADERS)
    return EncodedCall(
        call.method,
        call.address,
        call.path,
        payload,
        headers,
        call.timeout,
    )


def _decode_answer(answer: EncodedAnswer) -> Result[Answer, CallFault]:
    fields = decode_body(answer.payload)
    if fields is None:
        detail = f'{answer.status} with an invalid body'
        return Err(CallFault(CallFaultKind.UNKNOWN, detail))
    return Ok(Answer(answer.status, fields))


def decode_body(body: bytes) -> Fields | None:
    """Return the fields of a body, or ``None`` unless it is a JSON object.

    An empty body has no fields.

    >>> decode_body(b'{"a": 1}'), decode_body(b''), decode_body(b'[')
    ({'a': 1}, {}, None)
    """
    if not body:
        return {}
    try:
        found: Any = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return found if isinstance(found, dict) else None
