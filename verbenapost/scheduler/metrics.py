"""Metrics of a daemon on the platform, in the text format of Prometheus."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Final, final

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

#: Upper bounds of the latency histograms in seconds.
BUCKETS: Final = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)

Labels = dict[str, str]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TenantMetrics:
    """Gauges and counters by tenant.

    :param running_cores: cores of what may be running.
    :param cap_cores: cap in cores; 0 is no limit.
    :param waiting_tasks: tasks that wait to start.
    :param refused: refused jobs, also by reason.
    """

    running_cores: Gauge
    cap_cores: Gauge
    waiting_tasks: Gauge
    refused: Counter


class SchedulerMetrics:
    """Counters, gauges and histograms of one daemon.

    :ivar requests: answers to callers, by method and status.
    :ivar unauthenticated: requests refused for their API key, by reason.
    :ivar request_seconds: time to answer callers, by method.
    :ivar store_calls: calls of the store, by kind and outcome.
    :ivar orders: orders to workers, by kind and outcome.
    :ivar order_seconds: time until a worker answered a start.
    :ivar takeovers: number of times that this daemon began to lead.
    :ivar wave_vms: VMs of completed waves, by reason.
    :ivar vms: VMs by pool and state, as the leader knows them.
    :ivar interference_findings: pairs of images that slow each other down, as
        the leader knows them.
    :ivar interference_observations: observations of how slow a task is.
    :ivar interference_avoided: tasks that were placed apart from an image that
        interferes with theirs.
    :ivar refused_connections: refused connections, by listener and reason.
    :ivar log_lines_dropped: log lines dropped because nobody read them.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._sources: list[Callable[[], None]] = []
        self.requests = self._count('requests_total', 'Answers to callers.')
        self.unauthenticated = self._count(
            'unauthenticated_total', 'Requests refused for their API key.'
        )
        self.request_seconds = self._time(
            'request_seconds', 'Time to answer callers.'
        )
        self.store_calls = self._count(
            'store_calls_total', 'Calls to the store.'
        )
        self.orders = self._count('orders_total', 'Orders to workers.')
        self.order_seconds = self._time(
            'order_seconds', 'Time until a worker answered a start.'
        )
        self.takeovers = self._count('takeovers_total', 'Leaderships begun.')
        self.wave_vms = self._count(
            'wave_vms_total', 'VMs of completed waves by reason.'
        )
        self.vms = self._gauge('vms', 'VMs by pool and state.')
        self.interference_findings = self._gauge(
            'interference_findings', 'Pairs of images that interfere now.'
        )
        self.interference_observations = self._count(
            'interference_observations_total', 'Observations of slowdowns.'
        )
        self.interference_avoided = self._count(
            'interference_avoided_total',
            'Tasks placed apart from an image that interferes.',
        )
        self.refused_connections = self._count(
            'refused_connections_total',
            'Connections of clients that exceeded a limit.',
        )
        self.log_lines_dropped = self._gauge(
            'log_lines_dropped', 'Log lines dropped.'
        )

    @functools.cached_property
    def tenants(self) -> TenantMetrics:
        """Metrics by tenant, which are shown once they have been used."""
        return TenantMetrics(
            self._gauge('tenant_running_cores', 'Cores of running tasks.'),
            self._gauge('tenant_cap_cores', 'Cap in cores; 0 is no limit.'),
            self._gauge('tenant_waiting_tasks', 'Tasks that wait to start.'),
            self._count('tenant_refused_total', 'Refused jobs by reason.'),
        )

    def add_source(self, read: Callable[[], None]) -> None:
        """Register a function that updates metrics before each scrape."""
        self._sources.append(read)

    def render(self) -> bytes:
        """Return the metrics as the body of a scrape answer."""
        for read in self._sources:
            read()
        body, _headers = render(self._registry, [])
        return bytes(body)

    def _count(self, name: str, doc: str) -> Counter:
        return Counter(f'verbenapost_{name}', doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f'verbenapost_{name}', doc, registry=self._registry)

    def _time(self, name: str, doc: str) -> Histogram:
        return Histogram(
            f'verbenapost_{name}',
            doc,
            registry=self._registry,
            buckets=list(BUCKETS),
        )
