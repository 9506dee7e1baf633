"""Factory functions for the parts of a daemon."""

import random
import time

from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.documents import Clocks
from verbenapost.coordination.jobs.recordstore import JobRecordStore
from verbenapost.coordination.writes import ResolvingWriter
from verbenapost.daemon.settings import Settings
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.store import StorePort
from verbenapost.transport.bodies import ByteBudget
from verbenapost.transport.callers import (
    AsgiApp,
    CallerApp,
    CallerLimits,
    RequestServer,
)
from verbenapost.transport.network import PeerNetwork
from verbenapost.transport.peers import Deliver, Identity
from verbenapost.transport.store import HttpStoreClient, StoreSettings
from verbenapost.transport.targets import TargetClient, TargetLimits

#: Largest number of connections to one target.
TARGET_CONNECTIONS = 64


def make_network(
    settings: Settings,
    incarnation: str,
    deliver: Deliver,
) -> PeerNetwork:
    """Return the network of peer streams.

    :param incarnation: random identifier chosen at each process start.
    :param deliver: called with the sender and the message.
    """
    key = settings.peer_key
    secret = '' if key is None else key.get_secret_value()
    identity = Identity(settings.name, incarnation, secret)
    addresses = {
        peer.name: (str(peer.address), peer.port) for peer in settings.peers
    }
    return PeerNetwork(identity, addresses, deliver)


def make_store(settings: Settings) -> HttpStoreClient:
    """Return the client for the platform's store."""
    return HttpStoreClient(StoreSettings(url=settings.store.url))


def make_targets(settings: Settings) -> TargetClient:
    """Return the client for targets."""
    limits = TargetLimits(settings.limits.answer_bytes, TARGET_CONNECTIONS)
    return TargetClient(limits)


def make_app(
    settings: Settings,
    server: RequestServer,
    admin_app: AsgiApp,
) -> CallerApp:
    """Return the application for callers and administration.

    :param admin_app: application for the daemon's own paths below ``/-/``.
    """
    limits = settings.limits
    return CallerApp(
        server,
        admin_app,
        CallerLimits(limits.header_bytes, limits.body_bytes),
        ByteBudget(limits.bodies_total_bytes),
    )


def make_configuration(
    store: StorePort,
    incarnation: str,
) -> ConfigurationService:
    """Return the configuration service.

    :param store: the platform's store.
    :param incarnation: random identifier chosen at each process start.
    """
    rng = random.Random(incarnation)  # noqa: S311
    writer = ResolvingWriter(store, read_clock, rng)
    clocks = Clocks(unix=time.time, monotonic=read_clock)
    return ConfigurationService(store, incarnation, writer, clocks)


def make_record_store(store: StorePort, incarnation: str) -> JobRecordStore:
    """Return the store of job records.

    :param store: the platform's store.
    :param incarnation: random identifier chosen at each process start.
    """
    rng = random.Random(f'{incarnation}-jobs')  # noqa: S311
    writer = ResolvingWriter(store, read_clock, rng)
    return JobRecordStore(store, writer, incarnation, read_clock)
