"""Calls from an entry to the leader, as msgpack over HTTP."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

import aiohttp
import msgpack
from result import Err, Ok, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route as HttpRoute

from verbenapost.daemon.timers import read_clock
from verbenapost.protocol import codec
from verbenapost.scheduler.election import Leadership

#: Path at which a daemon answers other daemons.
ASK_PATH: Final = '/ask'

#: Path at which a daemon shows its metrics.
METRICS_PATH: Final = '/metrics'

#: Seconds that the leader has for an answer before the entry helps itself.
ASK_TIMEOUT: Final = 0.5

#: Seconds for which a leader that did not answer is not asked again.
SILENCE_SECONDS: Final = 0.7

_OK: Final = 200
_INVALID: Final = 400
_UNAVAILABLE: Final = 503

Answerer = Callable[[Any], Any]


class LeaderClient:
    """Asks whoever leads.

    :param find_leader: returns who leads, or ``None``.
    :param find_local: returns the answerer of this daemon while it leads.
    :param log: log of this part.
    """

    def __init__(
        self,
        find_leader: Callable[[], Leadership | None],
        find_local: Callable[[], Answerer | None],
        log: Any,
    ) -> None:
        self._find_leader = find_leader
        self._find_local = find_local
        self._log = log
        self._session: aiohttp.ClientSession | None = None
        self._silent_until: float = 0
        self._silent_address = ''

    async def ask(self, message: Any) -> Result[Any, str]:
        """Return the leader's answer, or why there is none."""
        local = self._find_local()
        if local is not None:
            return Ok(local(message))
        leader = self._find_leader()
        if leader is None:
            return Err('nobody leads')
        if self._is_silent(leader.address):
            return Err('the leader was silent just now')
        try:
            async with asyncio.timeout(ASK_TIMEOUT):
                return await self._send(leader.address, message)
        except (aiohttp.ClientError, TimeoutError, OSError) as fault:
            self._note_silent(leader.address, fault)
            return Err(repr(fault))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _send(self, address: str, message: Any) -> Result[Any, str]:
        if self._session is None:
            self._session = aiohttp.ClientSession(auto_decompress=False)
        url = f'http://{address}{ASK_PATH}'
        packed = codec.encode(message)
        async with self._session.post(url, data=packed) as response:
            body = await response.read()
            if response.status != _OK:
                return Err(f'status {response.status}')
        try:
            return Ok(codec.decode(msgpack.unpackb(body)))
        except ValueError as fault:
            return Err(f'broken answer: {fault}')

    def _is_silent(self, address: str) -> bool:
        return (
            address == self._silent_address
            and read_clock() < self._silent_until
        )

    def _note_silent(self, address: str, fault: Exception) -> None:
        self._silent_address = address
        self._silent_until = read_clock() + SILENCE_SECONDS
        self._log.warning('leader silent', address=address, fault=repr(fault))


def make_peer_app(
    find_local: Callable[[], Answerer | None],
    render_metrics: Callable[[], bytes],
) -> Starlette:
    """Return the application that answers other daemons.

    :param find_local: returns the answerer of this daemon while it leads.
    :param render_metrics: returns the metrics as text.
    """

    async def show_metrics(_request: Request) -> Response:
        return Response(render_metrics(), media_type='text/plain')

    async def answer(request: Request) -> Response:
        local = find_local()
        if local is None:
            return Response(status_code=_UNAVAILABLE)
        try:
            message = codec.decode(msgpack.unpackb(await request.body()))
        except ValueError as fault:
            return Response(str(fault), status_code=_INVALID)
        return Response(codec.encode(local(message)))

    return Starlette(
        routes=[
            HttpRoute(ASK_PATH, answer, methods=['POST']),
            HttpRoute(METRICS_PATH, show_metrics),
        ],
    )
