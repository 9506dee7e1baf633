"""Run time estimates per kind of work."""

import dataclasses
import math
from typing import final

from ddsketch import DDSketch

#: Seconds after which the older half of the samples is dropped.
WINDOW = 30.0

#: Samples needed before the run time of a kind counts as known.
MIN_SAMPLES = 8

#: New samples after which cached quantiles are recomputed.
REFRESH_SAMPLES = 32

#: Run time in seconds that is assumed for unknown kinds.
DEFAULT_RUN_TIME = 0.05

#: Relative accuracy of the quantiles.
ACCURACY = 0.02

#: Run time in seconds to which shorter samples are rounded up.
MIN_RUN_TIME = 0.0001

#: Seconds for which the shortest mean is cached without a new sample.
SHORTEST_MEAN_AGE = 1.0

_LOW_QUANTILE = 0.05
_MEDIAN_QUANTILE = 0.5
_HIGH_QUANTILE = 0.99


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RunTime:
    """Run time statistics of one kind, in seconds.

    :param mean: arithmetic mean.
    :param low: fifth percentile.
    :param median: fiftieth percentile.
    :param high: ninety-ninth percentile.
    :param known: whether the values are computed from samples of the kind.
    """

    mean: float
    low: float
    median: float
    high: float
    known: bool = True


_UNKNOWN = RunTime(DEFAULT_RUN_TIME, 0, 0, 0, known=False)


@final
class _KindTimes:
    """Run time samples of one kind in two consecutive windows."""

    def __init__(self, now: float) -> None:
        self._recent = DDSketch(ACCURACY)
        self._older = DDSketch(ACCURACY)
        self._rotated_at = now
        self._staleness = 0
        self._summary = _UNKNOWN

    def add(self, now: float, seconds: float) -> None:
        self.rotate(now)
        self._recent.add(max(seconds, MIN_RUN_TIME))
        self._staleness += 1

    def rotate(self, now: float) -> None:
        age = now - self._rotated_at
        if age < WINDOW:
            return
        self._older = self._recent if age < 2 * WINDOW else DDSketch(ACCURACY)
        self._recent = DDSketch(ACCURACY)
        self._rotated_at = now
        self._staleness = REFRESH_SAMPLES

    def summarise(self, now: float) -> RunTime:
        current = now - self._rotated_at < WINDOW
        fresh = self._summary.known and self._staleness < REFRESH_SAMPLES
        if current and fresh:
            return self._summary
        self.rotate(now)
        fresh = self._summary.known and self._staleness < REFRESH_SAMPLES
        if not fresh and self._staleness:
            self._staleness = 0
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
            low=merged.get_quantile_value(_LOW_QUANTILE),
            median=merged.get_quantile_value(_MEDIAN_QUANTILE),
            high=merged.get_quantile_value(_HIGH_QUANTILE),
        )


@final
class RunTimes:
    """Measured run times by kind; declared run times are not used.

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
        self._shortest_computed = (-1, -math.inf)

    def add(self, now: float, kind: str, seconds: float) -> None:
        """Add the run time of a completed run."""
        times = self._kinds.get(kind)
        if times is None:
            times = _KindTimes(now)
            self._kinds[kind] = times
        times.add(now, seconds)
        self._samples += 1

    def add_cancelled(self, now: float, kind: str, seconds: float) -> None:
        """Add a cancelled run if it ran longer than the median.

        A cancelled run gives only a lower bound of its run time.
        """
        if seconds > self.get(now, kind).median:
            self.add(now, kind, seconds)

    def get(self, now: float, kind: str) -> RunTime:
        """Return the statistics of a kind."""
        times = self._kinds.get(kind)
        return _UNKNOWN if times is None else times.summarise(now)

    def find_shortest_mean(self, now: float) -> float | None:
        """Return the lowest mean run time of all known kinds."""
        samples, computed_at = self._shortest_computed
        if (
            self._samples != samples
            or not 0 <= now - computed_at < SHORTEST_MEAN_AGE
        ):
            self._shortest_computed = self._samples, now
            known = [self.get(now, kind) for kind in self._kinds]
            means = [run.mean for run in known if run.known]
            self._shortest = min(means, default=None)
        return self._shortest
