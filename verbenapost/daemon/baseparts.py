"""Parts that all others depend on: streams, store, views, members."""

import secrets

import aiohttp

from verbenapost.coordination.applied import AppliedTable
from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.roster import Roster
from verbenapost.coordination.timers import TimerService
from verbenapost.coordination.writes import MonotonicReads
from verbenapost.daemon.assembly import (
    make_configuration,
    make_network,
    make_store,
)
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.membership import MemberHost
from verbenapost.daemon.metrics import Metrics
from verbenapost.daemon.routing import MessageRouter
from verbenapost.daemon.settings import Settings
from verbenapost.daemon.timers import read_clock
from verbenapost.daemon.vmrelay import VmRelay
from verbenapost.transport.refusals import Refusals
from verbenapost.transport.serverconnections import ServerConnector

#: Random bytes in an incarnation, the identifier of one process start.
INCARNATION_BYTES = 6


class BaseParts:
    """Streams, store, views and members of one daemon.

    Must be created inside the running event loop.

    :param settings: checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.metrics = Metrics()
        self.router = MessageRouter()
        self.timers = TimerService()
        self.roster = Roster(settings.name)
        self.applied = AppliedTable()
        self.refusals = Refusals(make_logger('clients'), read_clock)
        self.session = aiohttp.ClientSession(connector=ServerConnector())
        self.network = make_network(
            settings,
            self.incarnation,
            self.router.deliver,
            self.refusals,
        )
        self._make_views()
        self._make_members()

    async def close(self) -> None:
        """Close all streams and connections."""
        await self.network.stop()
        await self.session.close()
        await self.store.close()

    def _make_views(self) -> None:
        self.store = make_store(self.settings)
        self.reads = MonotonicReads(self.store)
        self.configuration = make_configuration(self.reads, self.incarnation)
        self.directory = VmDirectory(self.reads)

    def _make_members(self) -> None:
        self.members = MemberHost(
            self.settings,
            self.incarnation,
            self.reads,
            self.configuration,
            self.network,
        )
        self.members.register_handlers(self.router)
        self.vm_relay = VmRelay(
            self.directory,
            self.applied,
            self.network.send,
        )
        self.vm_relay.register_handlers(self.router)
