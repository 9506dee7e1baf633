"""Factory functions for the parts of a daemon."""

import dataclasses
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
from verbenapost.transport.guard import Guard, count_connections
from verbenapost.transport.handshakes import Handshakes
from verbenapost.transport.memoryplan import (
    MemoryPlan,
    find_memory,
    plan_memory,
)
from verbenapost.transport.network import PeerNetwork
from verbenapost.transport.peers import Deliver, Identity
from verbenapost.transport.refusals import Refusals
from verbenapost.transport.store import HttpStoreClient, StoreSettings
from verbenapost.transport.targets import TargetClient, TargetLimits

#: Largest number of connections to one target.
TARGET_CONNECTIONS = 64


def make_network(
    settings: Settings,
    incarnation: str,
    deliver: Deliver,
    refusals: Refusals,
) -> PeerNetwork:
    """Return the network of peer streams.

    :param incarnation: random identifier chosen at each process start.
    :param deliver: called with the sender and the message.
    :param refusals: counts the refused connections.
    """
    key = settings.peer_key
    secret = '' if key is None else key.get_secret_value()
    identity = Identity(settings.name, incarnation, secret)
    addresses = {
        peer.name: (str(peer.address), peer.port) for peer in settings.peers
    }
    limits = make_plan(settings).limits
    handshakes = Handshakes(limits.handshakes, refusals)
    return PeerNetwork(identity, addresses, deliver, handshakes)


def make_store(settings: Settings) -> HttpStoreClient:
    """Return the client for the platform's store."""
    return HttpStoreClient(
        StoreSettings(
            url=settings.store.url,
            answer_bytes=make_plan(settings).limits.answer_bytes,
        )
    )


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
    bodies_bytes = make_plan(settings).limits.bodies_total_bytes
    return CallerApp(
        server,
        admin_app,
        CallerLimits(limits.header_bytes, limits.body_bytes),
        ByteBudget(bodies_bytes),
    )


def make_guard(settings: Settings, refusals: Refusals) -> Guard:
    """Return the guard of the listener for callers and operators.

    :param refusals: counts the refused connections.
    """
    return Guard('callers', make_plan(settings).callers, refusals)


def make_plan(settings: Settings) -> MemoryPlan:
    """Return the limits that fit the memory of the settings together.

    The limits on one request and on the callers' connections, which the
    settings had before the guard, are kept.
    """
    limits = find_memory(settings.connection_limits)
    derived = count_connections(limits.descriptors)
    fitted = dataclasses.replace(
        limits,
        head_bytes=max(limits.head_bytes, settings.limits.header_bytes),
        bodies_total_bytes=settings.limits.bodies_total_bytes,
    )
    return plan_memory(
        fitted, limits.connections or min(derived, settings.limits.connections)
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
