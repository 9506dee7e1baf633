"""HTTP client of the targets.

Only a complete answer that belongs to its request is returned.
"""

import asyncio
import dataclasses
from typing import Self

import aiohttp
import yarl
from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure, Outcome
from verbenapost.protocol.targets import (
    HOP_BY_HOP_HEADERS,
    REQUEST_ID_HEADER,
    Headers,
    TargetAnswer,
    TargetRequest,
)
from verbenapost.transport.serverconnections import ServerConnector

#: Seconds after which an idle connection to a target is closed.
IDLE_SECONDS = 10.0

#: Timeout of connecting to a target, in seconds.
CONNECT_TIMEOUT = 1.0

_NOT_RUN = Outcome.NOT_RUN
_CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLimits:
    """Limits of the client.

    :param answer_bytes: largest body of an answer, in bytes.
    :param connections: concurrent connections to one target.
    """

    answer_bytes: int
    connections: int


class TargetClient:
    """Sends attempts at requests over its own connection pool.

    Explanation
    ===========

    A connection carries one request at a time. A connection whose request
    was abandoned is closed and never reused, so that a late answer cannot
    reach another caller.

    :param limits: limits of the client.
    """

    def __init__(self, limits: TargetLimits) -> None:
        self._limits = limits
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> Self:
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            connector=ServerConnector(
                limit=0,
                limit_per_host=self._limits.connections,
                keepalive_timeout=IDLE_SECONDS,
                use_dns_cache=False,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        )
        # aiohttp must not retry idempotent methods by itself: the service's
        # configuration may declare other methods idempotent than HTTP does.
        self._session._retry_connection = False  # noqa: SLF001
        return self

    async def stop(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self,
        request: TargetRequest,
    ) -> Result[TargetAnswer, Failure]:
        """Send one attempt and return the complete answer."""
        try:
            return await self._exchange(request)
        except _CONNECT_ERRORS as fault:
            return _fail(ErrorKind.TARGET_REFUSED, str(fault), _NOT_RUN)
        except TimeoutError:
            return _fail(
                ErrorKind.DEADLINE_EXCEEDED,
                'The target gave no answer in time.',
                Outcome.UNKNOWN,
            )
        except (aiohttp.ClientError, OSError, ValueError) as io_error:
            return _fail(ErrorKind.TARGET_FAILED, str(io_error), None)

    async def _exchange(
        self,
        request: TargetRequest,
    ) -> Result[TargetAnswer, Failure]:
        assert self._session is not None  # noqa: S101
        url = yarl.URL(f'http://{request.address}{request.path}', encoded=True)
        headers = [*request.headers, (REQUEST_ID_HEADER, request.request_id)]
        async with (
            asyncio.timeout(request.timeout),
            self._session.request(
                request.method,
                url,
                data=request.content or None,
                headers=headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=None,
                    sock_connect=CONNECT_TIMEOUT,
                ),
            ) as response,
        ):
            return await self._read(request, response)

    async def _read(
        self,
        request: TargetRequest,
        response: aiohttp.ClientResponse,
    ) -> Result[TargetAnswer, Failure]:
        echoed_id = response.headers.get(REQUEST_ID_HEADER)
        if echoed_id not in {None, request.request_id}:
            response.close()
            return _fail(
                ErrorKind.TARGET_FAILED,
                'The answer belongs to another request.',
                None,
            )
        content = await self._read_content(response)
        if content is None:
            response.close()
            return _fail(
                ErrorKind.TARGET_FAILED,
                'The answer is larger than the limit.',
                Outcome.RAN,
            )
        headers = _drop_hop_headers(response)
        return Ok(TargetAnswer(response.status, headers, content))

    async def _read_content(
        self,
        response: aiohttp.ClientResponse,
    ) -> bytes | None:
        limit = self._limits.answer_bytes
        if (response.content_length or 0) > limit:
            return None
        chunks = []
        size = 0
        async for chunk in response.content.iter_any():
            size += len(chunk)
            if size > limit:
                return None
            chunks.append(chunk)
        return b''.join(chunks)


def _drop_hop_headers(response: aiohttp.ClientResponse) -> Headers:
    connection_headers = {
        token.strip().lower()
        for token in response.headers.get('Connection', '').split(',')
    }
    dropped = HOP_BY_HOP_HEADERS | connection_headers
    return [
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in dropped
    ]


def _fail(
    kind: ErrorKind,
    detail: str,
    outcome: Outcome | None,
) -> Err[Failure]:
    return Err(Failure(kind, detail, known_outcome=outcome))
