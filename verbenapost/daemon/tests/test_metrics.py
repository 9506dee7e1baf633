"""Tests of the metrics."""

import asyncio
import contextlib

from verbenapost.daemon import metrics as metrics_module
from verbenapost.daemon.metrics import Metrics, sample_loop_lag


class TestMetrics:
    def test_text_format(self):
        metrics = Metrics()
        metrics.requests.add('booking', '200')
        metrics.requests.add('booking', '200')
        metrics.queue_length.put(7, 'booking')
        metrics.freshness_age.put(0.5)
        body, headers = metrics.render()
        text = body.decode()
        line = 'verbenapost_requests_total{service="booking",status="200"} 2'
        assert line in text
        assert 'verbenapost_queue_length{service="booking"} 7' in text
        assert 'verbenapost_freshness_age_seconds 0.5' in text
        assert '# TYPE verbenapost_requests_total counter' in text
        assert 'verbenapost_cpu_seconds_total ' in text
        assert headers['content-type'].startswith('text/plain')

    def test_dropped_series_are_not_rendered(self):
        metrics = Metrics()
        metrics.queue_length.put(7, 'booking')
        metrics.queue_length.drop('booking')
        assert b'booking' not in metrics.render()[0]

    def test_label_values_are_escaped(self):
        metrics = Metrics()
        metrics.refusals.add('a"b\nc')
        lines = metrics.render()[0].decode().splitlines()
        assert [line for line in lines if 'a\\"b' in line]

    def test_combinations_are_bounded(self, monkeypatch):
        monkeypatch.setattr(metrics_module, 'MAX_SERIES', 2)
        metrics = Metrics()
        for service in ('a', 'b', 'c', 'd', 'a'):
            metrics.grants.add(service)
        assert metrics.grants.numbers == {('a',): 2, ('b',): 1, ('other',): 2}

    async def test_loop_lag_is_sampled(self):
        metrics = Metrics()
        sampler = asyncio.create_task(sample_loop_lag(metrics, 0))
        while not metrics.loop_lag.numbers:
            await asyncio.sleep(0)
        sampler.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sampler
        assert metrics.loop_lag.read() >= 0
