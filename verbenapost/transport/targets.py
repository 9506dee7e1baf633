"""HTTP client for targets: whole answers that belong to their request."""

import asyncio
import dataclasses
from typing import Self

import aiohttp
import yarl
from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure, Outcome
from verbenapost.protocol.targets import (
    HOP_HEADERS,
    REQUEST_ID_HEADER,
    Headers,
    TargetAnswer,
    TargetRequest,
)

#: Seconds after which an idle connection to a target is closed.
IDLE_SECONDS = 10.0

#: Longest wait for a connection to a target, in seconds.
CONNECT_SECONDS = 1.0

_NOT_RUN = Outcome.NOT_RUN
_NEVER_CONNECTED = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLimits:
    """Bounds of the client.

    :param answer_bytes: largest answer that is held.
    :param connections: connections to one target.
    """

    answer_bytes: int
    connections: int


class TargetClient:
    """Sends one attempt at a time over connections of its own.

    Explanation
    ===========

    A connection carries one request at a time. A connection whose request
    was abandoned is closed and never used again, so that a late answer can
    not reach another caller.
    """

    def __init__(self, limits: TargetLimits) -> None:
        self._limits = limits
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> Self:
        """Open the session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=self._limits.connections,
                keepalive_timeout=IDLE_SECONDS,
                use_dns_cache=False,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        )
        # The client must not repeat by itself: a method's standard meaning
        # may be overruled by the service's configuration.
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
        """Send one attempt and read the whole answer."""
        try:
            return await self._exchange(request)
        except _NEVER_CONNECTED as fault:
            return _fail(ErrorKind.TARGET_REFUSED, str(fault), _NOT_RUN)
        except TimeoutError:
            return _fail(
                ErrorKind.DEADLINE_EXCEEDED,
                'The target gave no answer in time.',
                Outcome.UNKNOWN,
            )
        except (aiohttp.ClientError, OSError, ValueError) as broken:
            return _fail(ErrorKind.TARGET_FAILED, str(broken), None)

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
                    sock_connect=CONNECT_SECONDS,
                ),
            ) as response,
        ):
            return await self._read(request, response)

    async def _read(
        self,
        request: TargetRequest,
        response: aiohttp.ClientResponse,
    ) -> Result[TargetAnswer, Failure]:
        echoed = response.headers.get(REQUEST_ID_HEADER)
        if echoed not in {None, request.request_id}:
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
        headers = _strip_headers(response)
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


def _strip_headers(response: aiohttp.ClientResponse) -> Headers:
    named = {
        token.strip().lower()
        for token in response.headers.get('Connection', '').split(',')
    }
    dropped = HOP_HEADERS | named
    return [
        (name, text)
        for name, text in response.headers.items()
        if name.lower() not in dropped
    ]


def _fail(
    kind: ErrorKind,
    detail: str,
    outcome: Outcome | None,
) -> Err[Failure]:
    return Err(Failure(kind, detail, known_outcome=outcome))
