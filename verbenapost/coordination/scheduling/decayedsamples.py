"""Mean and variance of recent values, with exponential forgetting."""

import dataclasses
import math
from typing import final

#: Smallest variance that is assumed for logarithms: that of a tenth of noise.
#: Response times are reported in whole milliseconds, so that a few equal
#: values don't show that there is none.
MIN_VARIANCE = 0.01


@final
@dataclasses.dataclass(slots=True)
class DecayedSample:
    """Values whose weight halves at a fixed interval.

    Samples of one half-life can be subtracted from each other.

    :param half_life: seconds in which the weight of a value halves.
    :param updated_at: local seconds to which the sums are decayed.
    :param weight: sum of the weights.
    :param total: weighted sum of the values.
    :param squares: weighted sum of the squared values.

    Examples
    ========

    >>> sample = DecayedSample(10, updated_at=0)
    >>> sample.add(2, now=0)
    >>> sample.add(4, now=10)
    >>> sample.weight
    1.5
    """

    half_life: float
    updated_at: float
    weight: float = 0
    total: float = 0
    squares: float = 0

    @property
    def mean(self) -> float:
        """Weighted mean; 0 without values."""
        return self.total / self.weight if self.weight else 0

    @property
    def mean_variance(self) -> float:
        """Variance of the mean; infinite without values."""
        if self.weight <= 0:
            return math.inf
        variance = self.squares / self.weight - self.mean**2
        return max(variance, MIN_VARIANCE) / self.weight

    def add(self, value: float, now: float) -> None:
        """Add a value."""
        self.decay(now)
        self.weight += 1
        self.total += value
        self.squares += value**2

    def decay(self, now: float) -> None:
        """Reduce the weights to those of a later time."""
        passed = now - self.updated_at
        if passed <= 0:
            return
        share: float = 0.5 ** (passed / self.half_life)
        self.updated_at = now
        self.weight *= share
        self.total *= share
        self.squares *= share

    def subtract(self, part: 'DecayedSample', now: float) -> 'DecayedSample':
        """Return the sample without the values of a part of it."""
        self.decay(now)
        part.decay(now)
        return DecayedSample(
            self.half_life,
            now,
            max(self.weight - part.weight, 0),
            self.total - part.total,
            max(self.squares - part.squares, 0),
        )
