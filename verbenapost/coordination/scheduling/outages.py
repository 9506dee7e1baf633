"""Whether the store is away, and when a refused caller may come back.

Load pattern: the store is gone for some seconds while callers go on to submit
at their usual rate. Nothing can be accepted, a caller that is held until its
time is up can't use that time, and one whose write was tried gets no certain
answer.
"""

from typing import Final

#: Failures in a row before the store counts as away: single answers get lost
#: while it is well.
FAILURES: Final = 3

#: Seconds for which they must have lasted; a restart of a connection passes.
AWAY_SECONDS: Final = 0.3

#: Share of an outage's age after which it may be over: one that has lasted for
#: long goes on for long, and a caller's few tries have to outlast it.
AGE_SHARE: Final = 0.8

#: Shortest and longest Retry-After in seconds: callers try again few times,
#: and there is room as soon as the store is back.
RETRY_MIN: Final = 0.8
RETRY_MAX: Final = 2.5

#: Spread of a Retry-After around its middle, so that callers who were refused
#: together don't return together.
SPREAD: Final = 0.3


class StoreOutage:
    """Judges the store by how its calls have ended.

    Examples
    ========

    >>> outage = StoreOutage()
    >>> for moment in (10.0, 10.1, 10.2):
    ...     outage.note(answered=False, now=moment)
    >>> outage.is_away(10.2), outage.is_away(10.4)
    (False, True)
    >>> round(outage.choose_retry(12, chance=0.5), 2)
    1.6
    >>> outage.note(answered=True, now=12)
    >>> outage.is_away(13)
    False
    """

    def __init__(self) -> None:
        self._failures = 0
        self._began: float = 0

    def note(self, *, answered: bool, now: float) -> None:
        """Note how a call has ended.

        :param answered: whether the store has dealt with it.
        :param now: local seconds.
        """
        if answered:
            self._failures = 0
            return
        if not self._failures:
            self._began = now
        self._failures += 1

    def is_away(self, now: float) -> bool:
        """Return whether nothing can be stored."""
        lasted = now - self._began
        return self._failures >= FAILURES and lasted >= AWAY_SECONDS

    def choose_retry(self, now: float, chance: float) -> float:
        """Return the seconds after which a refused caller may come back.

        :param now: local seconds.
        :param chance: random number from 0 to 1.
        """
        middle = (now - self._began) * AGE_SHARE
        bounded = min(max(middle, RETRY_MIN), RETRY_MAX)
        return bounded * (1 + SPREAD * (2 * chance - 1))
