"""Metrics of a daemon in the Prometheus text format."""

import asyncio
import dataclasses
import resource
import time
from collections.abc import Callable
from typing import Final, final

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render

#: Label combinations stored per metric; others are counted as ``other``.
MAX_SERIES = 2_000

#: Label value that stands for all combinations above the limit.
OTHER = 'other'

#: Seconds between samples of the event loop's lag.
LAG_PERIOD_SECONDS = 1.0

#: Bytes per unit in which the system reports resident memory.
_RSS_UNIT_BYTES: Final = 1024

# aioprometheus writes label values without escaping them.
_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})

Labels = tuple[str, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """Values of one metric by label values.

    Explanation
    ===========

    The request path updates a plain dictionary; the metrics library sees the
    values only while an answer to ``/-/metrics`` is rendered.

    Examples
    ========

    >>> grants = Series('grants_total', 'Grants.', ('service',))
    >>> grants.add('booking')
    >>> grants.add('booking', amount=2)
    >>> grants.read('booking')
    3

    :param name: name without the prefix of the product.
    :param doc: help text of the metric.
    :param labels: names of the labels.
    :param is_counter: whether the value only increases.
    :param numbers: values by label values.
    """

    name: str
    doc: str
    labels: Labels = ()
    is_counter: bool = True
    numbers: dict[Labels, float] = dataclasses.field(default_factory=dict)

    def add(self, *labels: str, amount: float = 1) -> None:
        """Increase the value for a combination of label values."""
        numbers = self.numbers
        try:
            numbers[labels] += amount
        except KeyError:
            key = self._limit(labels)
            numbers[key] = numbers.get(key, 0) + amount

    def put(self, amount: float, *labels: str) -> None:
        """Set the value for a combination of label values."""
        key = labels if labels in self.numbers else self._limit(labels)
        self.numbers[key] = amount

    def drop(self, *labels: str) -> None:
        """Remove the value for a combination of label values."""
        self.numbers.pop(labels, None)

    def read(self, *labels: str) -> float:
        """Return the value for a combination of label values, 0 if unset."""
        return self.numbers.get(labels, 0)

    def _limit(self, labels: Labels) -> Labels:
        if len(self.numbers) < MAX_SERIES:
            return labels
        return (OTHER,) * len(labels)


class Metrics:
    """All metrics of one daemon.

    :ivar requests: answers to callers, by service and status.
    :ivar refusals: refusals and failures, by error kind.
    :ivar grants: slots granted, by service.
    :ivar retries: retried requests, by service.
    :ivar claims: claims of idempotency keys, by outcome.
    :ivar store_calls: calls to the store, by kind and outcome.
    :ivar peer_bytes: bytes on peer streams, by direction.
    :ivar soft_refusals: requests that a soft quota would have refused, by
        service and team.
    :ivar refused_connections: refused connections, by listener and reason.
    :ivar queue_length: waiting requests, by service.
    :ivar freshness_age: seconds since the view was confirmed.
    :ivar duties: queues, shards or pools that the daemon owns, by role.
    :ivar loop_lag: seconds by which the event loop ran late.
    """

    def __init__(self) -> None:
        self._families: list[Series] = []
        self._sources: list[Callable[[], None]] = []
        count, gauge = self._add_counter, self._add_gauge
        self.requests = count(
            'requests_total', 'Answers to callers.', 'service', 'status'
        )
        self.refusals = count('refusals_total', 'Refusals, failures.', 'kind')
        self.grants = count('grants_total', 'Slots granted.', 'service')
        self.retries = count('retries_total', 'Retries.', 'service')
        self.claims = count('claims_total', 'Claims of keys.', 'outcome')
        self.store_calls = count(
            'store_calls_total', 'Calls to the store.', 'kind', 'outcome'
        )
        self.peer_bytes = count(
            'peer_bytes_total', 'Bytes on peer streams.', 'direction'
        )
        self.soft_refusals = count(
            'soft_refusals_total',
            'Requests that a quota on trial would have refused.',
            'service',
            'team',
        )
        self.refused_connections = count(
            'refused_connections_total',
            'Connections of clients that exceeded a limit.',
            'listener',
            'reason',
        )
        self.queue_length = gauge(
            'queue_length', 'Waiting requests.', 'service'
        )
        self.freshness_age = gauge(
            'freshness_age_seconds', 'Age of the last confirmed view.'
        )
        self.duties = gauge('duties', 'Duties held.', 'role')
        self.loop_lag = gauge('loop_lag_seconds', 'Lateness of the event loop.')
        self._cpu = count('cpu_seconds_total', 'Processor time.')
        self._memory = gauge('max_resident_bytes', 'Highest resident memory.')

    def add_source(self, read: Callable[[], None]) -> None:
        """Register a function that updates metrics before each scrape."""
        self._sources.append(read)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the body and the headers of the answer to a scrape."""
        for read in self._sources:
            read()
        self._cpu.put(time.process_time())
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._memory.put(usage.ru_maxrss * _RSS_UNIT_BYTES)
        registry = Registry()
        for series in self._families:
            _copy_series(series, registry)
        body, headers = render(registry, [])
        lowered = {name.lower(): text for name, text in headers.items()}
        return body, lowered

    def _add_counter(self, name: str, doc: str, *labels: str) -> Series:
        series = Series(name, doc, labels)
        self._families.append(series)
        return series

    def _add_gauge(self, name: str, doc: str, *labels: str) -> Series:
        series = Series(name, doc, labels, is_counter=False)
        self._families.append(series)
        return series


async def sample_loop_lag(
    metrics: Metrics,
    period: float = LAG_PERIOD_SECONDS,
) -> None:
    """Measure the lag of the event loop periodically until cancelled.

    :param metrics: receives the lag.
    :param period: seconds between samples.
    """
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + period
        await asyncio.sleep(period)
        metrics.loop_lag.put(max(0, loop.time() - due))


def _copy_series(series: Series, registry: Registry) -> None:
    collector_type = Counter if series.is_counter else Gauge
    name = f'verbenapost_{series.name}'
    collector = collector_type(name, series.doc, registry=registry)
    for values, number in series.numbers.items():
        escaped = [text.translate(_ESCAPES) for text in values]
        labels = dict(zip(series.labels, escaped, strict=True))
        collector.set_value(labels, number)
