"""Forecast of the work that comes in once a VM that is ordered now has joined.

Load pattern: a queue's rate of jobs rises within a few seconds from next to
nothing to several times its mean. A VM needs seconds to join a pool, so that a
pool that is sized for the present rate is short for as long as the rate rises,
and the jobs of these seconds start late.
"""

import dataclasses
import math
from collections.abc import Collection
from typing import Final, final

#: Seconds of each of the two spans whose rates are compared.
SPAN_SECONDS: Final = 1.0

#: Standard deviations of the number of jobs by which the later span has to
#: exceed the earlier one, so that chance is not taken for a rise.
RISE_DEVIATIONS: Final = 1.5

#: Largest ratio of a forecast to the present rate while no higher rate of the
#: queue is known; a rise doesn't go on for ever.
MAX_GROWTH: Final = 2.0

#: Seconds after which a higher rate of the past no longer counts.
PEAK_SECONDS: Final = 120.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job that was requested.

    :param at: local seconds.
    :param core_seconds: expected work of the job.
    """

    at: float
    core_seconds: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Span:
    """Jobs and work of one span.

    :param jobs: number of jobs.
    :param rate: work in core-seconds per second.
    """

    jobs: int
    rate: float


class DemandForecast:
    """Extrapolates a rise in the rate of incoming work.

    Examples
    ========

    >>> forecast = DemandForecast()
    >>> rising = [Arrival(number / 5, 4) for number in range(1, 6)]
    >>> rising += [Arrival(1 + number / 20, 4) for number in range(1, 21)]
    >>> forecast.predict(rising, now=2, lead=2)
    160.0
    >>> steady = [Arrival(number / 10, 4) for number in range(1, 21)]
    >>> forecast.predict(steady, now=2, lead=2)
    0
    """

    def __init__(self) -> None:
        self._peak: float = 0
        self._peak_at = -math.inf

    def predict(
        self, arrivals: Collection[Arrival], now: float, lead: float
    ) -> float:
        """Return the expected rate, 0 unless the rate rises.

        :param arrivals: the jobs of two spans at least, in any order.
        :param now: local seconds.
        :param lead: seconds until a VM that is ordered now has joined.
        :returns: work in core-seconds per second.
        """
        later = _measure(arrivals, now - SPAN_SECONDS, now)
        earlier = _measure(arrivals, now - 2 * SPAN_SECONDS, now - SPAN_SECONDS)
        limit = max(later.rate * MAX_GROWTH, self._find_peak(now))
        self._note_peak(later.rate, now)
        deviation = math.sqrt(later.jobs + earlier.jobs)
        if later.jobs - earlier.jobs <= RISE_DEVIATIONS * deviation:
            return 0
        slope = (later.rate - earlier.rate) / SPAN_SECONDS
        # The later span shows the rate half a span ago.
        ahead = lead + SPAN_SECONDS / 2
        return max(0, min(later.rate + slope * ahead, limit))

    def _find_peak(self, now: float) -> float:
        return self._peak if now - self._peak_at < PEAK_SECONDS else 0

    def _note_peak(self, rate: float, now: float) -> None:
        if rate >= self._find_peak(now):
            self._peak = rate
            self._peak_at = now


def _measure(arrivals: Collection[Arrival], first: float, last: float) -> _Span:
    """Return the jobs and work after one time and up to another."""
    found = [row.core_seconds for row in arrivals if first < row.at <= last]
    return _Span(len(found), sum(found) / SPAN_SECONDS)
