"""HTTP server that the daemon starts and stops."""

import asyncio
import contextlib
import dataclasses
import functools
import math
import os
import socket
from collections.abc import Iterator
from typing import final

import uvicorn

from verbenapost.transport.callers import AsgiApp
from verbenapost.transport.guard import Guard
from verbenapost.transport.guardedhttp import GuardedProtocol
from verbenapost.transport.listeners import open_listener

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
    """Serves one ASGI application on one address.

    :param app: the application.
    :param address: address to listen on.
    :param guard: limits of the connections.
    """

    def __init__(self, app: AsgiApp, address: WebAddress, guard: Guard) -> None:
        config = uvicorn.Config(
            app,
            loop='asyncio',
            # Any callable that makes a protocol will do; the type names
            # classes only.
            http=functools.partial(  # type: ignore[arg-type]
                GuardedProtocol, guard=guard
            ),
            ws='none',
            lifespan='off',
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            # asyncio also accepts as many connections in one iteration.
            backlog=min(address.backlog, guard.accepted_at_once),
            timeout_keep_alive=math.ceil(guard.limits.idle_seconds),
        )
        self._server = _Server(config)
        self._guard = guard
        self._address = address
        self._task: asyncio.Task[None] | None = None
        self._guarding: asyncio.Task[None] | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.server_state.connections)

    async def start(self) -> None:
        """Start the server and wait until it listens.

        :raises OSError: when the server cannot listen on the address.
        """
        receive_bytes = self._guard.limits.receive_bytes
        opened = open_listener(
            self._address.host, self._address.port, receive_bytes
        )
        self._task = asyncio.create_task(self._serve(opened))
        self._guarding = asyncio.create_task(self._guard.run())
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError('the HTTP server did not start')
            await asyncio.sleep(START_POLL)
        for server in self._server.servers:
            for listener in server.sockets:
                _set_backlog(listener.fileno(), self._address.backlog)

    async def stop(self) -> None:
        """Stop listening and wait until the running requests have ended."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
        if self._guarding is not None:
            self._guarding.cancel()

    async def _serve(self, opened: socket.socket) -> None:
        # uvicorn exits the process when it cannot listen; here the daemon
        # decides what follows.
        try:
            await self._server.serve([opened])
        except SystemExit as ended:
            raise OSError('the HTTP server did not start') from ended


def _set_backlog(descriptor: int, backlog: int) -> None:
    """Change how many connections wait to be accepted by a listener.

    :param descriptor: descriptor of the listening socket.
    :param backlog: number of connections.
    """
    with socket.socket(fileno=os.dup(descriptor)) as listener:
        listener.listen(backlog)
