"""Detection of store outages, and the Retry-After of refused callers.

Load pattern: the store is unavailable for some seconds while callers go on
submitting at their usual rate. Nothing can be accepted. A caller that is kept
waiting until its deadline loses the time for retries, and a caller whose write
was attempted gets an uncertain answer.
"""

import itertools
import math
from typing import Final

#: Consecutive failures before the store counts as unavailable: single answers
#: are lost even while the store is healthy.
MIN_FAILURES: Final = 3

#: Seconds for which the failures must have lasted, so that a reconnection
#: doesn't count as an outage.
MIN_FAILURE_SECONDS: Final = 0.3

#: Seconds after which a call without an answer makes the store suspect, unless
#: another call has been answered meanwhile. A slow store answers in less.
SUSPECT_SECONDS: Final = 0.4

#: Retry-After as a share of the outage's age: an outage that has lasted for
#: long tends to continue for long, and a caller's few retries have to outlast
#: it.
RETRY_AGE_SHARE: Final = 0.8

#: Bounds of Retry-After, in seconds: callers retry only a few times, and jobs
#: can be accepted again as soon as the store is back.
RETRY_MIN: Final = 0.8
RETRY_MAX: Final = 2.5

#: Relative jitter of a Retry-After, so that callers that were refused together
#: don't return together.
RETRY_JITTER: Final = 0.3


class StoreOutageDetector:
    """Detects a store outage from the outcomes of store calls.

    Examples
    ========

    >>> detector = StoreOutageDetector()
    >>> for moment in (10.0, 10.1, 10.2):
    ...     detector.record_call(answered=False, now=moment)
    >>> detector.is_unavailable(10.2), detector.is_unavailable(10.4)
    (False, True)
    >>> round(detector.choose_retry_after(12, chance=0.5), 2)
    1.6
    >>> detector.record_call(answered=True, now=12)
    >>> detector.is_unavailable(13)
    False
    >>> call = detector.begin_call(13)
    >>> detector.is_suspect(13.1), detector.is_suspect(13.5)
    (False, True)
    >>> detector.end_call(call)
    >>> detector.is_suspect(13.5)
    False
    """

    def __init__(self) -> None:
        self._failures = 0
        self._failing_since: float = 0
        self._answered_at = -math.inf
        self._numbers = itertools.count()
        # Local seconds at which the answer to each open call is expected.
        self._open_calls: dict[int, float] = {}

    def begin_call(self, expected_at: float) -> int:
        """Record that a call is sent.

        :param expected_at: local seconds at which a healthy store answers it.
        :returns: number of the call for :meth:`end_call`.
        """
        number = next(self._numbers)
        self._open_calls[number] = expected_at
        return number

    def end_call(self, number: int) -> None:
        """Record that a call is over, with any outcome."""
        self._open_calls.pop(number, None)

    def record_call(self, *, answered: bool, now: float) -> None:
        """Record the outcome of a call.

        :param answered: whether the store has processed the call.
        :param now: local seconds.
        """
        if answered:
            self._failures = 0
            self._answered_at = now
            return
        if not self._failures:
            self._failing_since = now
        self._failures += 1

    def is_unavailable(self, now: float) -> bool:
        """Return whether the store is unavailable."""
        lasted = now - self._failing_since
        return self._failures >= MIN_FAILURES and lasted >= MIN_FAILURE_SECONDS

    def is_suspect(self, now: float) -> bool:
        """Return whether the store may be unavailable.

        :param now: local seconds.
        """
        oldest = min(self._open_calls.values(), default=math.inf)
        silent_since = max(oldest, self._answered_at)
        return self._failures > 0 or now - silent_since > SUSPECT_SECONDS

    def choose_retry_after(self, now: float, chance: float) -> float:
        """Return the seconds after which a refused caller may retry.

        :param now: local seconds.
        :param chance: random number from 0 to 1.
        """
        middle = (now - self._failing_since) * RETRY_AGE_SHARE
        bounded = min(max(middle, RETRY_MIN), RETRY_MAX)
        return bounded * (1 + RETRY_JITTER * (2 * chance - 1))
