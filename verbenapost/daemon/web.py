"""HTTP server that the daemon starts and stops."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Iterator
from typing import final

import uvicorn

from verbenapost.transport.callers import AsgiApp

#: Seconds after which an idle caller connection is closed.
IDLE_SECONDS = 30

#: Seconds between checks whether the server has started.
START_POLL = 0.01


@final
class _Server(uvicorn.Server):
    """Server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers of the process unchanged."""
        yield


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WebAddress:
    """Listening address of a server.

    :param host: IP number.
    :param port: TCP port.
    :param backlog: largest number of connections that wait to be accepted.
    """

    host: str
    port: int
    backlog: int


class WebServer:
    """Serves one ASGI application on one address."""

    def __init__(self, app: AsgiApp, address: WebAddress) -> None:
        config = uvicorn.Config(
            app,
            host=address.host,
            port=address.port,
            loop='asyncio',
            http='httptools',
            ws='none',
            lifespan='off',
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            backlog=address.backlog,
            timeout_keep_alive=IDLE_SECONDS,
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.server_state.connections)

    async def start(self) -> None:
        """Start the server and wait until it listens.

        :raises OSError: when the server cannot listen on the address.
        """
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError('the HTTP server did not start')
            await asyncio.sleep(START_POLL)

    async def stop(self) -> None:
        """Stop listening and wait until the running requests have ended."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    async def _serve(self) -> None:
        # uvicorn exits the process when it cannot listen; here the daemon
        # decides what follows.
        try:
            await self._server.serve()
        except SystemExit as ended:
            raise OSError('the HTTP server did not start') from ended
