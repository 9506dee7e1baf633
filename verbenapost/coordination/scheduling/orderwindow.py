"""Limit of the starts that wait for an answer.

Load pattern: a burst brings more starts per second than the processors of the
leader and its relays can send. Without a limit, answers are read after their
timeouts, so that starts are repeated on other workers and stopped where they
run, and the work per start grows as the capacity for it falls short. A task
that has not been sent can still be placed anywhere.
"""

import collections
import math
from typing import Final

#: Starts that may wait for an answer at first.
INITIAL_LIMIT: Final = 256

#: Bounds of the limit.
MIN_LIMIT: Final = 8
MAX_LIMIT: Final = 1024

#: Smoothed time to an answer above which the limit shrinks, in seconds; well
#: below the timeout of an order.
TARGET_SECONDS: Final = 0.2

#: Smoothed time to an answer up to which the limit grows fast, in seconds.
FAST_SECONDS: Final = 0.05

#: Weight of one answer in the smoothed time: a few silent workers among many
#: leave it below the target.
SMOOTHING: Final = 0.05

#: Factor by which the limit shrinks, at most once in the interval.
SHRINK_FACTOR: Final = 0.7
SHRINK_INTERVAL_SECONDS: Final = 0.2

#: Seconds over which answers are counted for the rate.
RATE_SECONDS: Final = 1.0


class OrderWindow:
    """Adapts the number of unanswered starts to the time that answers take.

    Explanation
    ===========

    The limit shrinks by a factor while answers take too long (multiplicative
    decrease). It grows by about one for each limit's worth of answers that
    come in time (additive increase), or by one for each answer while answers
    come fast.

    Examples
    ========

    >>> window = OrderWindow()
    >>> window.free
    256
    >>> window.begin()
    >>> window.free
    255
    >>> window.end(0.01, now=1.0)
    >>> window.free
    257
    """

    def __init__(self) -> None:
        self._limit: float = INITIAL_LIMIT
        self._unanswered = 0
        self._smoothed: float = 0
        self._shrunk_at = -math.inf
        self._exhausted_at = -math.inf
        self._answered_at: collections.deque[float] = collections.deque()

    @property
    def free(self) -> int:
        """Number of starts that may be sent now."""
        return max(0, int(self._limit) - self._unanswered)

    def begin(self) -> None:
        """Record that a start is sent."""
        self._unanswered += 1

    def note_exhausted(self, now: float) -> None:
        """Record that tasks wait because of the limit.

        :param now: local seconds.
        """
        self._exhausted_at = now

    def is_exhausted(self, now: float) -> bool:
        """Return whether tasks have waited because of the limit recently.

        :param now: local seconds.
        """
        return now - self._exhausted_at < RATE_SECONDS

    def end(self, seconds: float, now: float) -> None:
        """Record that a start was answered or timed out.

        :param seconds: seconds since the start was sent.
        :param now: local seconds.
        """
        self._unanswered -= 1
        self._answered_at.append(now)
        self._smoothed += SMOOTHING * (seconds - self._smoothed)
        if self._smoothed <= TARGET_SECONDS:
            fast = self._smoothed <= FAST_SECONDS
            growth = 1 if fast else 1 / self._limit
            self._limit = min(self._limit + growth, MAX_LIMIT)
        elif now - self._shrunk_at >= SHRINK_INTERVAL_SECONDS:
            self._shrunk_at = now
            self._limit = max(self._limit * SHRINK_FACTOR, MIN_LIMIT)

    def estimate_wait(self, tasks: int, now: float) -> float:
        """Return the seconds until a number of waiting tasks can be sent.

        :param tasks: number of tasks that wait.
        :param now: local seconds.
        """
        while self._answered_at and self._answered_at[0] < now - RATE_SECONDS:
            self._answered_at.popleft()
        if not self.is_exhausted(now):
            return 0
        rate = max(len(self._answered_at), 1) / RATE_SECONDS
        return tasks / rate
