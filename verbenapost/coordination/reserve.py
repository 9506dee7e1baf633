"""Part of the slots that is kept for short work."""

import math
from typing import final

from verbenapost.coordination.runtimes import RunTimes

#: A kind is long when it runs this many times as long as the shortest.
LONG_RATIO = 4.0

#: Seconds in which a remembered peak falls to half.
PEAK_HALF_LIFE = 20.0

#: Headroom over the remembered peak.
HEADROOM = 1.1


@final
class RecentPeak:
    """Highest value seen lately.

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
    """Sizes the slots that long work may not use.

    Explanation
    ===========

    Kinds are told apart by learned run time. A kind not known yet counts as
    long once any other is known. The reserve follows what short work lately
    needed and never takes more than the fair share of short work.
    """

    def __init__(self, times: RunTimes) -> None:
        self._times = times
        self._peak = RecentPeak()

    def is_long(self, now: float, kind: str) -> bool:
        """Tell whether runs of a kind are long."""
        shortest = self._times.find_shortest(now)
        if shortest is None:
            return False
        run = self._times.get(now, kind)
        return not run.known or run.mean >= LONG_RATIO * shortest

    def compute(
        self,
        now: float,
        slots: int,
        need: int,
        fraction: float,
    ) -> int:
        """Return the slots to keep.

        :param slots: usable slots of the service.
        :param need: short asks that run or wait now.
        :param fraction: fair share of short work, 0 to 1.
        """
        peak = self._peak.observe(now, need)
        return min(math.ceil(peak * HEADROOM), int(slots * fraction))
