"""Daemon process: start, graceful stop and readiness."""

import asyncio
import contextlib
from collections.abc import Coroutine, Sequence
from typing import Any

from verbenapost.daemon.admin import AdminApp, make_registry
from verbenapost.daemon.adminparts import make_admin_ports
from verbenapost.daemon.assembly import make_app, make_guard
from verbenapost.daemon.duties import Duties
from verbenapost.daemon.gauges import register_gauges
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.metrics import sample_loop_lag
from verbenapost.daemon.parts import Parts
from verbenapost.daemon.rebalancing import RebalanceTask
from verbenapost.daemon.settings import Settings
from verbenapost.daemon.storefollower import follow_store
from verbenapost.daemon.timers import read_clock, run_timers
from verbenapost.daemon.web import WebAddress, WebServer

#: Seconds between checks for running requests at shutdown.
DRAIN_POLL = 0.05

#: Seconds without a request before idle connections are closed, because a
#: caller may be about to send a request on one of them.
QUIET_SECONDS = 1.0


class Daemon:
    """Parts, tasks and HTTP server of one daemon.

    Must be created inside the running event loop.

    :param settings: checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.parts = Parts(settings)
        self._duties = Duties(self.parts)
        self._log = make_logger('daemon')
        self._tasks: list[asyncio.Task[None]] = []
        register_gauges(self.parts, self.measure_view_age)
        admin = AdminApp(
            make_admin_ports(self.parts, self),
            make_registry(settings),
            self.parts.metrics,
        )
        self._app = make_app(settings, self.parts.entry, admin.build())
        self._web = WebServer(
            self._app,
            WebAddress(
                settings.listen.address,
                settings.listen.port,
                settings.limits.connections,
            ),
            make_guard(settings, self.parts.refusals),
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer may send new requests."""
        return not self.explain()

    def explain(self) -> str:
        """Return why the daemon is not ready, empty when it is."""
        parts = self.parts
        if parts.entry.closing or not parts.entry.accepting:
            return 'The daemon is leaving.'
        if not parts.configuration.view.revision:
            return 'The configuration has not been read yet.'
        if not parts.directory.position:
            return 'The VM records have not been read yet.'
        return parts.members.explain()

    def measure_view_age(self) -> float:
        """Return the seconds since the store confirmed the view."""
        return self.parts.members.measure_view_age()

    def list_duties(self) -> Sequence[str]:
        """Return the roles that the daemon holds."""
        return self._duties.list_roles()

    def count_running(self) -> int:
        """Return the number of requests that the daemon is processing."""
        return self._app.active_requests

    async def start(self) -> None:
        """Start the peer streams, the background tasks and the server."""
        parts = self.parts
        listen = self.settings.peers_listen
        await parts.targets.start()
        await parts.network.start(str(listen.address), listen.port)
        self._duties.subscribe_timers()
        self._spawn_tasks()
        await self._web.start()
        self._log.info('started', name=self.settings.name)

    async def stop(self) -> None:
        """Shut down gracefully, letting running requests finish.

        Each of the two waits for requests ends after ``shutdown.drain``
        seconds.
        """
        shutdown = self.settings.shutdown
        entry = self.parts.entry
        entry.closing = True
        self._log.info('leaving', grace=shutdown.balancer_grace)
        await asyncio.sleep(shutdown.balancer_grace)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(shutdown.drain):
                await self._wait_until_quiet()
        entry.accepting = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(shutdown.drain):
                await self._drain()
        await self._web.stop()
        await self._end_tasks()
        await self.parts.members.tasks.release()
        await self.parts.close()
        self._log.info('stopped')

    def _spawn_tasks(self) -> None:
        parts = self.parts
        self._spawn(run_timers(parts.timers))
        self._spawn(sample_loop_lag(parts.metrics))
        self._follow('configuration', parts.configuration)
        self._follow('vms', parts.directory)
        for task in parts.members.tasks.list_tasks():
            self._spawn(task)
        self._spawn(parts.keeper.run())
        self._spawn(parts.keeper.watch_wave())
        self._spawn(RebalanceTask(parts.keeper).run())
        self._spawn(parts.leaving.run())
        self._spawn(parts.jobs.record_store.run())

    async def _end_tasks(self) -> None:
        self.parts.claims.close_all()
        self.parts.jobs.close_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _wait_until_quiet(self) -> None:
        """Serve requests until none has run for ``QUIET_SECONDS``."""
        quiet_from = read_clock()
        finished = self._app.finished_requests
        while read_clock() - quiet_from < QUIET_SECONDS:
            await asyncio.sleep(DRAIN_POLL)
            if (
                self._app.active_requests
                or self._app.finished_requests != finished
            ):
                quiet_from = read_clock()
                finished = self._app.finished_requests

    async def _drain(self) -> None:
        while self._app.active_requests:
            await asyncio.sleep(DRAIN_POLL)

    def _follow(self, name: str, follower: Any) -> None:
        self._spawn(follow_store(name, follower))

    def _spawn(self, task: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(task))
