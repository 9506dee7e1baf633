"""Tests of the timer service, in virtual time."""

import itertools
import queue

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenapost.coordination.timers import Tick, TimerService


def run_until(service, end):
    now = service.next_deadline()
    while now is not None and now <= end:
        service.run_due(now)
        now = service.next_deadline()


class TestTimerService:
    def test_one_tick_per_period(self):
        service, ticks = TimerService(1), []
        service.subscribe('a', 2, ticks.append, now=0)
        service.subscribe('b', 3, ticks.append, now=0)
        run_until(service, 6)
        assert ticks == [
            Tick('a', 2),
            Tick('b', 3),
            Tick('a', 4),
            Tick('a', 6),
            Tick('b', 6),
        ]

    def test_late_call_causes_one_tick(self):
        service, ticks = TimerService(1), []
        service.subscribe('a', 1, ticks.append, now=0)
        assert service.run_due(50) == 1
        assert service.run_due(50.5) == 0

    def test_inbox_receives_ticks(self):
        service, inbox = TimerService(1), queue.Queue()
        service.subscribe('a', 1, inbox, now=0)
        service.run_due(1)
        assert inbox.get_nowait() == Tick('a', 1)

    def test_ended_and_replaced_subscriptions_send_no_ticks(self):
        service, old, new = TimerService(1), [], []
        service.subscribe('a', 1, old.append, now=0)
        service.subscribe('a', 5, new.append, now=0)
        service.subscribe('b', 1, old.append, now=0)
        service.unsubscribe('b')
        service.unsubscribe('b')
        run_until(service, 5)
        assert (old, new) == ([], [Tick('a', 5)])

    def test_subscriber_can_unsubscribe_itself(self):
        service, ticks = TimerService(1), []

        def notify(tick):
            ticks.append(tick)
            service.unsubscribe('a')

        service.subscribe('a', 1, notify, now=0)
        run_until(service, 9)
        assert len(ticks) == 1
        assert service.next_deadline() is None

    @pytest.mark.parametrize(('period', 'jitter'), [(0, 0), (-1, 0), (1, 1)])
    def test_invalid_periods_are_refused(self, period, jitter):
        with pytest.raises(ValueError, match='timer a'):
            TimerService().subscribe('a', period, print, now=0, jitter=jitter)

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(
        period=st.floats(0.01, 100),
        jitter=st.floats(0, 0.9),
        seed=st.integers(0, 99),
    )
    def test_intervals_stay_within_the_jitter(self, period, jitter, seed):
        service, times = TimerService(seed), [0.0]
        service.subscribe(
            'a',
            period,
            lambda tick: times.append(tick.now),
            now=0,
            jitter=jitter,
        )
        run_until(service, period * 20)
        for earlier, later in itertools.pairwise(times):
            gap = later - earlier
            assert period * (1 - jitter) * 0.999 <= gap <= period * 1.001
