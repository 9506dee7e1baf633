"""Run times of tasks, learned by route."""

from typing import Final

#: Seconds that a task is taken to run before any has ended.
FIRST_GUESS: Final = 1.0

#: Share of a new run time in the mean.
GAIN: Final = 0.05


class RunTimes:
    """Mean run time of a task by route; what callers declare is far off.

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
        """Take the run time of a task that is done."""
        mean = self._means.get(route, seconds)
        self._means[route] = mean + GAIN * (seconds - mean)

    def estimate(self, route: str) -> float:
        """Return the seconds that a task of a route runs."""
        return self._means.get(route, FIRST_GUESS)
