"""Rate limits and circuit breaker of the store client."""

import dataclasses
import enum
from typing import final

#: Consecutive failed calls that open the circuit.
FAILURES_TO_OPEN = 5

#: Seconds from a failed call or a probe to the next probe while the circuit is
#: open.
OPEN_SECONDS = 1.0

#: Reads a second for claims, enough to read all groups of a claim ring at
#: once.
CLAIM_READ_RATE = 200

#: Writes a second for claims, above the rate at which a claim owner writes.
CLAIM_WRITE_RATE = 80


@enum.unique
class CallClass(enum.StrEnum):
    """Use of the store that has a rate limit of its own."""

    CLAIMS = 'claims'
    LEASES = 'leases'
    CONFIGURATION = 'configuration'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CallRate:
    """Highest rates of one class of calls, in calls a second."""

    reads: float = 100
    writes: float = 50


#: Rates of each class unless the settings say otherwise.
DEFAULT_RATES = {
    CallClass.CLAIMS: CallRate(CLAIM_READ_RATE, CLAIM_WRITE_RATE),
    CallClass.LEASES: CallRate(),
    CallClass.CONFIGURATION: CallRate(),
}


class TokenBucket:
    """Token bucket whose tokens are granted in order of reservation.

    Examples
    ========

    >>> bucket = TokenBucket(rate=2, burst=1)
    >>> bucket.reserve(now=0), bucket.reserve(now=0)
    (0, 0.5)
    >>> bucket.reserve(now=0, max_wait=0.7) is None
    True

    :param rate: tokens a second.
    :param burst: tokens that the full bucket holds.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    def reserve(
        self, now: float, max_wait: float | None = None
    ) -> float | None:
        """Reserve one token and return the seconds to wait for it.

        :param now: monotonic seconds.
        :param max_wait: seconds; no token is reserved when the wait would be
            longer.
        :returns: seconds to wait, or ``None`` when no token was reserved.
        """
        self._refill(now)
        wait = max(0, (1 - self._tokens) / self.rate)
        if max_wait is not None and wait > max_wait:
            return None
        self._tokens -= 1
        return wait

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Set the rate and the capacity from ``now`` on."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            refilled = (now - self._refilled_at) * self.rate
            self._tokens = min(self.burst, self._tokens + max(0, refilled))
        self._refilled_at = now


class CircuitBreaker:
    """Refuses calls while the store is down, except for one probe per interval.

    Examples
    ========

    >>> breaker = CircuitBreaker(failures_to_open=1, open_seconds=1)
    >>> breaker.record_failure(now=0)
    >>> breaker.admit(now=0.5), breaker.admit(now=1.5), breaker.admit(now=1.6)
    (False, True, False)
    >>> breaker.record_success()
    >>> breaker.admit(now=1.7)
    True

    :param failures_to_open: consecutive failures that open the circuit.
    :param open_seconds: seconds from a failed call or a probe to the next
        probe.
    """

    def __init__(
        self,
        failures_to_open: int = FAILURES_TO_OPEN,
        open_seconds: float = OPEN_SECONDS,
    ) -> None:
        self._failures_to_open = failures_to_open
        self._open_seconds = open_seconds
        self._failures = 0
        self._next_probe_at: float = 0

    @property
    def is_open(self) -> bool:
        """Return whether calls other than probes are refused."""
        return self._failures >= self._failures_to_open

    def admit(self, now: float) -> bool:
        """Return whether a call may be sent now."""
        if not self.is_open:
            return True
        if now < self._next_probe_at:
            return False
        self._next_probe_at = now + self._open_seconds
        return True

    def record_success(self) -> None:
        """Close the circuit after a call that the store answered."""
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Count a failed call and postpone the next probe."""
        self._failures += 1
        self._next_probe_at = now + self._open_seconds
