"""What the leader needs from its daemon."""

import dataclasses
from typing import final

from verbenapost.platform.advice import AdviceClient
from verbenapost.platform.cloud import CloudClient
from verbenapost.platform.store import PlatformStore
from verbenapost.platform.workers import WorkerClient
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.scheduler.relays import RelayCarrier
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
    relays: RelayCarrier | None = None
