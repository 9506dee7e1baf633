"""Slots that are reserved for short work."""

import math
from typing import final

from verbenapost.coordination.runtimes import RunTimes

#: Ratio to the shortest mean run time from which a kind counts as long.
LONG_RATIO = 4.0

#: Half-life of a recorded peak, in seconds.
PEAK_HALF_LIFE = 20.0

#: Factor by which the reserve exceeds the recorded peak.
HEADROOM = 1.1


@final
class RecentPeak:
    """Recent maximum with exponential decay.

    Examples
    ========

    >>> peak = RecentPeak()
    >>> peak.observe(0, 8), peak.observe(20, 1)
    (8, 4.0)
    """

    def __init__(self) -> None:
        self._peak: float = 0
        self._seen_at: float = 0

    def observe(self, now: float, current: float) -> float:
        """Add a value and return the decayed peak."""
        if self._peak:
            age = max(now - self._seen_at, 0)
            self._peak *= 0.5 ** (age / PEAK_HALF_LIFE)
        self._seen_at = max(now, self._seen_at)
        self._peak = max(self._peak, current)
        return self._peak


@final
class ShortReserve:
    """Computes the number of slots that long work may not use.

    Explanation
    ===========

    Kinds are classified by their measured run time. A kind without enough
    samples counts as long once any other kind is known. The reserve follows
    the recent peak need of short work and never exceeds the fair share of
    short work.

    :param run_times: measured run times.
    """

    def __init__(self, run_times: RunTimes) -> None:
        self._run_times = run_times
        self._peak = RecentPeak()

    def is_long(self, now: float, kind: str) -> bool:
        """Return whether runs of a kind count as long."""
        shortest = self._run_times.find_shortest_mean(now)
        if shortest is None:
            return False
        run = self._run_times.get(now, kind)
        return not run.known or run.mean >= LONG_RATIO * shortest

    def compute(
        self,
        now: float,
        slots: int,
        need: int,
        fraction: float,
    ) -> int:
        """Return the number of slots to reserve.

        :param slots: usable slots of the service.
        :param need: short requests that run or wait now.
        :param fraction: fair share of short work, 0 to 1.
        """
        peak = self._peak.observe(now, need)
        return min(math.ceil(peak * HEADROOM), int(slots * fraction))
