"""Creation of the components that the settings of a daemon ask for."""

from verbenapost.coordination.scheduling.outages import StoreOutageDetector
from verbenapost.daemon.logs import make_logger
from verbenapost.platform.advice import AdviceClient
from verbenapost.platform.cloud import CloudClient
from verbenapost.platform.http import HttpClient, HttpTransport
from verbenapost.platform.store import PlatformStore
from verbenapost.platform.workers import WorkerClient
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.scheduler.ports import LeaderPorts
from verbenapost.scheduler.relays import RelayTransport
from verbenapost.scheduler.settings import SchedulerSettings
from verbenapost.scheduler.storecalls import StoreCallObserver
from verbenapost.scheduler.storetransport import StoreTransport


def make_ports(
    settings: SchedulerSettings,
    transport: HttpTransport,
    relays: RelayTransport,
    store_transport: StoreTransport,
) -> LeaderPorts:
    """Return the dependencies of a daemon's core.

    :param settings: settings of the daemon.
    :param transport: transport of this process.
    :param relays: transport of the calls to the workers.
    :param store_transport: transport of the calls to the store.
    """
    http = HttpClient(transport)
    outage_detector = StoreOutageDetector()
    store = PlatformStore(
        HttpClient(store_transport),
        settings.store.address,
        StoreCallObserver(outage_detector),
    )
    cloud = settings.cloud
    advice = settings.advice_address
    return LeaderPorts(
        settings=settings,
        store=store,
        workers=WorkerClient(HttpClient(relays)),
        cloud=(
            CloudClient(http, cloud.address, settings.daemon) if cloud else None
        ),
        advice=AdviceClient(http, advice) if advice else None,
        election=Election(store, settings, make_logger('election')),
        configuration=ConfigurationFollower(make_logger('configuration')),
        metrics=SchedulerMetrics(),
        relays=relays,
        outage_detector=outage_detector,
    )
