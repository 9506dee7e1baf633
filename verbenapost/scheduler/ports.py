"""What the leader and its links need from their daemon."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Any, final

from verbenapost.coordination.scheduling.board import Board
from verbenapost.coordination.scheduling.commands import Command
from verbenapost.coordination.scheduling.outages import StoreOutage
from verbenapost.platform.advice import AdviceClient
from verbenapost.platform.cloud import CloudClient
from verbenapost.platform.store import PlatformStore
from verbenapost.platform.workers import WorkerClient
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.scheduler.recorder import Recorder
from verbenapost.scheduler.relays import RelayTransport
from verbenapost.scheduler.settings import SchedulerSettings


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LeaderPorts:
    """What the leader needs.

    :param settings: settings of the daemon.
    :param store: the store.
    :param workers: calls of workers.
    :param cloud: calls of the cloud, where there is one.
    :param advice: calls of the policy's service, where there is one.
    :param election: who leads.
    :param configuration: the operators' configuration.
    :param metrics: metrics of the daemon.
    :param outage: whether the store is away.
    :param relays: has other daemons send calls to workers, where they can.
    """

    settings: SchedulerSettings
    store: PlatformStore
    workers: WorkerClient
    cloud: CloudClient | None
    advice: AdviceClient | None
    election: Election
    configuration: ConfigurationFollower
    metrics: SchedulerMetrics
    outage: StoreOutage = dataclasses.field(default_factory=StoreOutage)
    relays: RelayTransport | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LinkPorts:
    """What a link to a worker needs.

    :param client: calls of workers.
    :param election: whether orders may be sent.
    :param recorder: writes ends into the store.
    :param hold_seconds: longest lease of a run.
    :param wake: has the boards plan again.
    :param metrics: metrics of the daemon.
    :param send: carries commands out.
    :param log: log of this part.
    """

    client: WorkerClient
    election: Election
    recorder: Recorder
    hold_seconds: float
    wake: Callable[[], None]
    metrics: SchedulerMetrics
    send: Callable[[Board, Sequence[Command]], None]
    log: Any
