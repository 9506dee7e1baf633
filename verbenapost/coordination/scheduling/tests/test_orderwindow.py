"""Tests of the limit of unanswered starts.

The load: more starts than the control path can send. Its processor answers
one start after the other, so that the time to an answer grows with the number
of starts that are under way.
"""

import collections

import pytest

from verbenapost.coordination.scheduling.orderwindow import (
    INITIAL_LIMIT,
    MIN_LIMIT,
    OrderWindow,
)

#: Seconds after which an order counts as unanswered.
TIMEOUT_SECONDS = 0.65

#: Starts per second that the processor can send.
CAPACITY = 75


def play_load(offered, seconds=30.0, step=0.01):
    """Offer starts to a control path of limited capacity.

    :param offered: starts per second.
    :returns: starts per second that were answered in time, and the number of
        those that timed out in the second half.
    """
    window = OrderWindow()
    sent = collections.deque()
    waiting = answered = timed_out = capacity = now = 0
    while now < seconds:
        now += step
        waiting += offered * step
        for _ in range(min(window.free, int(waiting))):
            waiting -= 1
            sent.append(now)
            window.begin()
        capacity = min(capacity + CAPACITY * step, 1 + CAPACITY * step)
        while sent and capacity >= 1:
            capacity -= 1
            passed = now - sent.popleft()
            window.end(min(passed, TIMEOUT_SECONDS), now)
            if now > seconds / 2:
                answered += passed < TIMEOUT_SECONDS
                timed_out += passed >= TIMEOUT_SECONDS
    return answered / (seconds / 2), timed_out


class TestOverload:
    @pytest.mark.parametrize('factor', [0.5, 1, 1.5, 2, 3, 4])
    def test_goodput_stays_near_its_peak(self, factor):
        goodput, timed_out = play_load(CAPACITY * factor)
        assert goodput >= 0.9 * CAPACITY * min(factor, 1)
        assert timed_out == 0

    def test_the_limit_recovers(self):
        window = OrderWindow()
        for number in range(200):
            window.begin()
            window.end(TIMEOUT_SECONDS, now=number / 10)
        assert window.free == MIN_LIMIT
        for number in range(400):
            window.begin()
            window.end(0.01, now=20 + number / 100)
        assert window.free >= INITIAL_LIMIT

    def test_a_few_silent_workers_do_not_shrink_it(self):
        window = OrderWindow()
        for number in range(1000):
            window.begin()
            silent = number % 10 == 0
            window.end(TIMEOUT_SECONDS if silent else 0.01, now=number / 100)
        assert window.free >= INITIAL_LIMIT


class TestWait:
    def test_waiting_tasks_count_only_while_the_limit_binds(self):
        window = OrderWindow()
        for _ in range(50):
            window.begin()
            window.end(0.01, now=9.5)
        assert window.estimate_wait(100, now=10) == 0
        window.note_exhausted(now=10)
        assert window.estimate_wait(100, now=10) == pytest.approx(2)
