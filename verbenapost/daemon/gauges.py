"""Metrics that are read from the daemon's parts at each scrape."""

from collections.abc import Callable
from typing import Protocol

from verbenapost.daemon.metrics import Metrics
from verbenapost.transport.network import PeerNetwork
from verbenapost.transport.refusals import Refusals
from verbenapost.transport.store import HttpStoreClient

#: Value of the label ``outcome``: the store client counts calls by kind only.
ALL_OUTCOMES = 'all'


class MeteredParts(Protocol):
    """Parts of a daemon that keep their own counters."""

    metrics: Metrics
    network: PeerNetwork
    store: HttpStoreClient
    refusals: Refusals


def register_gauges(
    parts: MeteredParts,
    measure_view_age: Callable[[], float],
) -> None:
    """Register functions that read the parts before each scrape.

    :param measure_view_age: returns the seconds since the view was confirmed.
    """
    metrics = parts.metrics

    def read_store() -> None:
        for kind, count in parts.store.calls.items():
            metrics.store_calls.put(count, kind, ALL_OUTCOMES)

    def read_peers() -> None:
        metrics.peer_bytes.put(parts.network.bytes_out, 'out')

    def read_refusals() -> None:
        for labels, count in parts.refusals.counts.items():
            metrics.refused_connections.put(count, *labels)

    def read_age() -> None:
        metrics.freshness_age.put(measure_view_age())

    for source in (read_store, read_peers, read_refusals, read_age):
        metrics.add_source(source)
