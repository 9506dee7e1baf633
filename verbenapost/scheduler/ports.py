"""Dependencies of the leader and of its links to workers."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Any, final

from verbenapost.coordination.scheduling.commands import Command
from verbenapost.coordination.scheduling.interference import Interference
from verbenapost.coordination.scheduling.orderwindow import OrderWindow
from verbenapost.coordination.scheduling.outages import StoreOutageDetector
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.daemon.logs import make_logger
from verbenapost.platform.advice import AdviceClient
from verbenapost.platform.cloud import CloudClient
from verbenapost.platform.store import PlatformStore
from verbenapost.platform.workers import WorkerClient
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.interference import InterferenceWatch
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.scheduler.recorder import Recorder
from verbenapost.scheduler.relays import RelayTransport
from verbenapost.scheduler.settings import SchedulerSettings


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LeaderPorts:
    """Dependencies of the leader.

    :param settings: settings of the daemon.
    :param store: the store.
    :param workers: client of the workers.
    :param cloud: client of the cloud, if configured.
    :param advice: client of the policy service, if configured.
    :param election: leadership of this daemon.
    :param configuration: the operator configuration.
    :param metrics: metrics of the daemon.
    :param outage_detector: tells whether the store is unavailable.
    :param relays: transport that relays calls to workers through other
        daemons, if used.
    """

    settings: SchedulerSettings
    store: PlatformStore
    workers: WorkerClient
    cloud: CloudClient | None
    advice: AdviceClient | None
    election: Election
    configuration: ConfigurationFollower
    metrics: SchedulerMetrics
    outage_detector: StoreOutageDetector = dataclasses.field(
        default_factory=StoreOutageDetector
    )
    relays: RelayTransport | None = None

    def watch_interference(self) -> InterferenceWatch | None:
        """Return the detection of a new leader, or ``None`` if it is off."""
        if not self.settings.detects_interference:
            return None
        return InterferenceWatch(
            Interference(), self.metrics, make_logger('interference')
        )


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LinkPorts:
    """Dependencies of a link to a worker.

    :param client: client of the workers.
    :param election: leadership of this daemon.
    :param recorder: writes job progress to the store.
    :param hold_seconds: longest lease of a run in seconds.
    :param wake: triggers a planning round.
    :param metrics: metrics of the daemon.
    :param window: limit of unanswered starts.
    :param send: sends commands to workers.
    :param log: logger.
    :param interference: detects images that slow each other down, or ``None``
        if that is off.
    """

    client: WorkerClient
    election: Election
    recorder: Recorder
    hold_seconds: float
    wake: Callable[[], None]
    metrics: SchedulerMetrics
    window: OrderWindow
    send: Callable[[PoolState, Sequence[Command]], None]
    log: Any
    interference: InterferenceWatch | None = None
