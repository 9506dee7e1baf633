"""Run times learned per kind of work."""

import dataclasses
import math
from typing import final

from ddsketch import DDSketch

#: Seconds after which the older half of the samples is dropped.
WINDOW = 30.0

#: Samples from which the run time of a kind counts as known.
MIN_SAMPLES = 8

#: Samples after which cached quantiles are computed again.
REFRESH_SAMPLES = 32

#: Seconds assumed where nothing is known.
DEFAULT_RUN_TIME = 0.05

#: Relative accuracy of the quantiles.
ACCURACY = 0.02

#: Shortest run time that is told apart, in seconds.
SHORTEST = 0.0001

#: Seconds for which the shortest mean is kept without a new sample.
SHORTEST_AGE = 1.0

_SHORT_END = 0.05
_MIDDLE = 0.5
_LONG_END = 0.99


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RunTime:
    """What is known of the run time of a kind, in seconds.

    :param mean: arithmetic mean.
    :param low: fifth percentile.
    :param median: fiftieth percentile.
    :param high: ninety-ninth percentile.
    :param known: whether it rests on samples of the kind itself.
    """

    mean: float
    low: float
    median: float
    high: float
    known: bool = True


_UNKNOWN = RunTime(DEFAULT_RUN_TIME, 0, 0, 0, known=False)


@final
class _KindTimes:
    """Samples of one kind in two windows."""

    def __init__(self, now: float) -> None:
        self._recent = DDSketch(ACCURACY)
        self._older = DDSketch(ACCURACY)
        self._rotated_at = now
        self._stale = 0
        self._summary = _UNKNOWN

    def add(self, now: float, seconds: float) -> None:
        self.rotate(now)
        self._recent.add(max(seconds, SHORTEST))
        self._stale += 1

    def rotate(self, now: float) -> None:
        age = now - self._rotated_at
        if age < WINDOW:
            return
        self._older = self._recent if age < 2 * WINDOW else DDSketch(ACCURACY)
        self._recent = DDSketch(ACCURACY)
        self._rotated_at = now
        self._stale = REFRESH_SAMPLES

    def summarise(self, now: float) -> RunTime:
        current = now - self._rotated_at < WINDOW
        fresh = self._summary.known and self._stale < REFRESH_SAMPLES
        if current and fresh:
            return self._summary
        self.rotate(now)
        fresh = self._summary.known and self._stale < REFRESH_SAMPLES
        if not fresh and self._stale:
            self._stale = 0
            self._summary = self._compute()
        return self._summary

    def _compute(self) -> RunTime:
        merged = DDSketch(ACCURACY)
        merged.merge(self._older)
        merged.merge(self._recent)
        if merged.count < MIN_SAMPLES:
            return _UNKNOWN
        return RunTime(
            mean=merged.sum / merged.count,
            low=merged.get_quantile_value(_SHORT_END),
            median=merged.get_quantile_value(_MIDDLE),
            high=merged.get_quantile_value(_LONG_END),
        )


@final
class RunTimes:
    """Run times per kind; declared times are never used.

    Examples
    ========

    >>> times = RunTimes()
    >>> for _ in range(20):
    ...     times.add(0, 'visit', 0.2)
    >>> round(times.get(0, 'visit').median, 2)
    0.2
    >>> times.get(0, 'other').known
    False
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _KindTimes] = {}
        self._shortest: float | None = None
        self._samples = 0
        self._found = (-1, -math.inf)

    def add(self, now: float, kind: str, seconds: float) -> None:
        """Learn the run time of a whole run."""
        times = self._kinds.get(kind)
        if times is None:
            times = _KindTimes(now)
            self._kinds[kind] = times
        times.add(now, seconds)
        self._samples += 1

    def add_cut(self, now: float, kind: str, seconds: float) -> None:
        """Learn from a run that was cut, if it was longer than most."""
        if seconds > self.get(now, kind).median:
            self.add(now, kind, seconds)

    def get(self, now: float, kind: str) -> RunTime:
        """Return what is known of a kind."""
        times = self._kinds.get(kind)
        return _UNKNOWN if times is None else times.summarise(now)

    def find_shortest(self, now: float) -> float | None:
        """Return the mean run time of the shortest known kind."""
        samples, found_at = self._found
        if self._samples != samples or not 0 <= now - found_at < SHORTEST_AGE:
            self._found = self._samples, now
            known = [self.get(now, kind) for kind in self._kinds]
            means = [run.mean for run in known if run.known]
            self._shortest = min(means, default=None)
        return self._shortest
