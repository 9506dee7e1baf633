"""A daemon on the platform: an entry, and the leader while it is elected."""

import asyncio
from typing import Any, Final

from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.timers import read_clock
from verbenapost.daemon.web import WebAddress, WebServer
from verbenapost.platform.advice import AdviceClient
from verbenapost.platform.cloud import CloudClient
from verbenapost.platform.http import HttpClient
from verbenapost.platform.names import OPERATOR_PREFIX
from verbenapost.platform.store import PlatformStore
from verbenapost.platform.workers import WorkerClient
from verbenapost.scheduler.calls import CallerApp, ProbeApp
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.entry import Entry
from verbenapost.scheduler.following import PrefixFollower
from verbenapost.scheduler.keys import LEADER_KEY
from verbenapost.scheduler.leader import Leader
from verbenapost.scheduler.messages import (
    AskPending,
    AskRoom,
    AskState,
    PendingAnswer,
    StateAnswer,
)
from verbenapost.scheduler.peers import (
    Answerer,
    LeaderClient,
    make_peer_app,
)
from verbenapost.scheduler.ports import LeaderPorts
from verbenapost.scheduler.settings import SchedulerSettings
from verbenapost.scheduler.tasks import TaskSet

#: Connections that may wait to be taken.
BACKLOG: Final = 512

#: Seconds for which the platform still sends connections after a shutdown has
#: begun: it looks once a second and takes two misses.
LEAVE_SECONDS: Final = 3.0

#: Seconds between two looks at whether requests still run.
DRAIN_POLL: Final = 0.05

#: Seconds before the platform's own limit at which a shutdown ends anyhow.
GRACE_MARGIN: Final = 0.5


class Node:
    """All parts of one daemon.

    :param settings: settings of the daemon.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        self._settings = settings
        self._log = make_logger('daemon')
        self._http = HttpClient()
        self._store = PlatformStore(self._http, settings.store.address)
        self._configuration = ConfigurationFollower(
            make_logger('configuration')
        )
        self._election = Election(
            self._store, settings, make_logger('election')
        )
        self._leader: Leader | None = None
        self._peers = LeaderClient(
            self._find_leader, self._find_local, make_logger('peers')
        )
        entry = Entry(
            self._configuration, self._store, self._peers, make_logger('entry')
        )
        self._app = CallerApp(entry)
        self._servers = self._make_servers()
        self._followers = (
            PrefixFollower(
                self._store,
                OPERATOR_PREFIX,
                self._configuration.take_change,
                make_logger('configuration'),
            ),
            PrefixFollower(
                self._store,
                LEADER_KEY,
                self._election.take_change,
                make_logger('election'),
            ),
        )
        self._tasks = TaskSet()

    def is_ready(self) -> bool:
        """Return whether this daemon can serve callers."""
        return self._configuration.current is not None and not self._app.closing

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        for server in self._servers:
            await server.start()
        for follower in self._followers:
            self._tasks.add(follower.run())
        self._tasks.add(self._campaign())
        self._tasks.add(self._lead())
        self._log.info('started', address=self._settings.address)

    async def stop(self) -> None:
        """Hand the leadership over, finish what runs, and close."""
        self._log.info('stop begins', running=self._app.running)
        began = read_clock()
        self._app.closing = True
        if self._leader is not None and self._election.holds():
            await self._hand_over(self._leader)
        await self._election.resign()
        grace = self._settings.bounds.grace_s - GRACE_MARGIN
        while read_clock() - began < grace:
            left = read_clock() - began > LEAVE_SECONDS
            if left and not self._app.running:
                break
            await asyncio.sleep(DRAIN_POLL)
        for server in self._servers:
            await server.stop()
        await self._tasks.close()
        await self._peers.close()
        await self._http.close()
        self._log.info('stopped', seconds=round(read_clock() - began, 2))

    def _make_servers(self) -> tuple[WebServer, ...]:
        listen = self._settings.listen
        internal = self._settings.internal_address
        return (
            WebServer(ProbeApp(self.is_ready), _parse(listen.probes)),
            WebServer(make_peer_app(self._find_local), _parse(internal)),
            WebServer(self._app, _parse(listen.callers)),
        )

    async def _campaign(self) -> None:
        await self._followers[1].listed.wait()
        await self._election.run()

    async def _lead(self) -> None:
        while True:
            await self._election.won.wait()
            self._leader = Leader(
                LeaderPorts(
                    self._settings,
                    self._store,
                    WorkerClient(self._http),
                    self._make_cloud(),
                    self._make_advice(),
                    self._election,
                    self._configuration,
                )
            )
            try:
                await self._leader.run()
            finally:
                self._leader = None
            self._election.lose('leading has ended')

    def _make_cloud(self) -> CloudClient | None:
        cloud = self._settings.cloud
        if cloud is None:
            return None
        return CloudClient(self._http, cloud.address, self._settings.daemon)

    def _make_advice(self) -> AdviceClient | None:
        address = self._settings.advice_address
        return AdviceClient(self._http, address) if address else None

    async def _hand_over(self, leader: Leader) -> None:
        try:
            async with asyncio.timeout(1):
                await leader.hand_over()
        except TimeoutError:
            self._log.warning('records not written before the handover')

    def _find_leader(self) -> Any:
        return self._election.current

    def _find_local(self) -> Answerer | None:
        leader = self._leader
        if leader is None or not leader.ready or not self._election.holds():
            return None
        return self._answer

    def _answer(self, message: Any) -> Any:
        leader = self._leader
        if leader is None:
            raise ValueError('this daemon does not lead')
        if isinstance(message, AskRoom):
            return leader.judge(message)
        if isinstance(message, AskState):
            state = leader.jobs.read_state(message.job)
            return StateAnswer('' if state is None else state.value)
        if isinstance(message, AskPending):
            return PendingAnswer(leader.count_pending(message.route))
        raise ValueError(f'{type(message).__name__} has no answer')


def _parse(address: str) -> WebAddress:
    host, _, port = address.rpartition(':')
    return WebAddress(host, int(port), BACKLOG)
