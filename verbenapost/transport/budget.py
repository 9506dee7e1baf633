"""Call budget and circuit breaker of the store client."""

import dataclasses
import enum
from typing import final

#: Failed calls in a row that open the circuit.
FAILURES_TO_OPEN = 5

#: Seconds that the circuit stays open before a probe.
OPEN_SECONDS = 1.0

#: Reads a second for claims, enough to read a ring's groups at once.
CLAIM_READS = 200

#: Writes a second for claims, above the pace of a claim owner.
CLAIM_WRITES = 80


@enum.unique
class CallClass(enum.StrEnum):
    """Use of the store that has a budget of its own."""

    CLAIMS = 'claims'
    LEASES = 'leases'
    CONFIGURATION = 'configuration'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CallRate:
    """Rates of one class of calls, in calls a second."""

    reads: float = 100
    writes: float = 50


#: Rates of each class unless the settings say otherwise.
DEFAULT_RATES = {
    CallClass.CLAIMS: CallRate(CLAIM_READS, CLAIM_WRITES),
    CallClass.LEASES: CallRate(),
    CallClass.CONFIGURATION: CallRate(),
}


class TokenBucket:
    """Bucket that hands out reservations in order of asking.

    Examples
    ========

    >>> bucket = TokenBucket(rate=2, burst=1)
    >>> bucket.reserve(now=0), bucket.reserve(now=0)
    (0, 0.5)
    >>> bucket.reserve(now=0, longest=0.7) is None
    True

    :param rate: tokens a second.
    :param burst: tokens that the full bucket holds.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._filled_at: float | None = None

    def reserve(self, now: float, longest: float | None = None) -> float | None:
        """Take one token and return the seconds to wait for it.

        :param now: monotonic seconds.
        :param longest: seconds; nothing is taken when the wait is longer.
        :returns: seconds to wait, or ``None`` when none was taken.
        """
        self._fill(now)
        wait = max(0, (1 - self._tokens) / self.rate)
        if longest is not None and wait > longest:
            return None
        self._tokens -= 1
        return wait

    def change(self, rate: float, burst: float, now: float) -> None:
        """Set a new rate from now on."""
        self._fill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            earned = (now - self._filled_at) * self.rate
            self._tokens = min(self.burst, self._tokens + max(0, earned))
        self._filled_at = now


class CircuitBreaker:
    """Refuses calls while the store is down, but for one probe at a time.

    Examples
    ========

    >>> breaker = CircuitBreaker(failures_to_open=1, open_seconds=1)
    >>> breaker.record_failure(now=0)
    >>> breaker.admit(now=0.5), breaker.admit(now=1.5), breaker.admit(now=1.6)
    (False, True, False)
    >>> breaker.record_success()
    >>> breaker.admit(now=1.7)
    True

    :param failures_to_open: failures in a row that open the circuit.
    :param open_seconds: seconds between probes.
    """

    def __init__(
        self,
        failures_to_open: int = FAILURES_TO_OPEN,
        open_seconds: float = OPEN_SECONDS,
    ) -> None:
        self._failures_to_open = failures_to_open
        self._open_seconds = open_seconds
        self._failures = 0
        self._probe_at: float = 0

    @property
    def is_open(self) -> bool:
        """Return whether ordinary calls are refused."""
        return self._failures >= self._failures_to_open

    def admit(self, now: float) -> bool:
        """Return whether a call may go out now."""
        if not self.is_open:
            return True
        if now < self._probe_at:
            return False
        self._probe_at = now + self._open_seconds
        return True

    def record_success(self) -> None:
        """Close the circuit."""
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Count a call that the store did not answer."""
        self._failures += 1
        self._probe_at = now + self._open_seconds
