"""Estimated run times of tasks by route."""

from typing import Final

#: Estimated run time in seconds before the first task of a route has ended.
DEFAULT_SECONDS: Final = 1.0

#: Weight of a new run time in the exponential moving average.
SMOOTHING_FACTOR: Final = 0.05


class RunTimes:
    """Moving average of the run time of a route's tasks.

    The run times that callers declare are too inaccurate to be used.

    Examples
    ========

    >>> times = RunTimes()
    >>> times.estimate('plan')
    1.0
    >>> times.observe('plan', 2.0)
    >>> times.estimate('plan')
    2.0
    """

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Record the run time of a task that is done."""
        mean = self._means.get(route, seconds)
        self._means[route] = mean + SMOOTHING_FACTOR * (seconds - mean)

    def estimate(self, route: str) -> float:
        """Return the estimated run time of a route's task in seconds."""
        return self._means.get(route, DEFAULT_SECONDS)
