"""Leases of runs, in the time of the worker's own clock."""

import math
from typing import Final

#: Largest relative amount by which a worker's clock may be slow, as stated in
#: the platform's documentation.
CLOCK_DRIFT: Final = 0.02

#: Seconds added before a lease counts as lapsed, to allow for scheduling
#: delays of the worker's own timer.
LAPSE_MARGIN: Final = 0.15

#: Seconds by which a deadline may be too late, since the worker may have read
#: its clock at any time of an exchange; the longest exchange of an order.
MAX_CLOCK_ERROR: Final = 0.5

_MS: Final = 1000


def compute_lapse_seconds(longest: float) -> float:
    """Return the seconds after which a lease has surely lapsed.

    :param longest: seconds of the longest lease, as intended by its sender.
    """
    return (longest + MAX_CLOCK_ERROR) / (1 - CLOCK_DRIFT) + LAPSE_MARGIN


class LeaseClock:
    """Estimates a worker's clock and the expiry of the leases sent to it.

    Explanation
    ===========

    The worker read its clock some time between the sending of the call and
    the arrival of the answer. The clock therefore shows at most the reported
    time plus all time since sending, and at least the reported time plus the
    time since the arrival, less the drift.

    Examples
    ========

    >>> clock = LeaseClock()
    >>> clock.observe(5000, sent=10.0, received=10.1)
    >>> clock.make_deadline(10.5, seconds=1), clock.make_deadline(10.5, 1, True)
    (6392, 6500)
    >>> clock.note_lease(6500)
    >>> clock.is_lapsed(11.0), clock.is_lapsed(12.0)
    (False, True)
    """

    def __init__(self) -> None:
        self._reported: int | None = None
        self._sent: float = 0
        self._received: float = 0
        self._all_lapsed_at = -math.inf

    @property
    def known(self) -> bool:
        """Whether the worker has ever reported its clock."""
        return self._reported is not None

    def observe(self, reading: int, sent: float, received: float) -> None:
        """Record the clock reading of an answer.

        :param reading: the worker's clock reading in milliseconds.
        :param sent: local seconds at which the call was sent.
        :param received: local seconds at which the answer arrived.
        """
        if self._reported is None or sent >= self._sent:
            self._reported = reading
            self._sent = sent
            self._received = received

    def make_deadline(
        self,
        now: float,
        seconds: float,
        latest: bool = False,  # noqa: FBT001, FBT002
    ) -> int:
        """Return a deadline on the worker's clock in milliseconds.

        :param now: local seconds.
        :param seconds: seconds from now to the deadline.
        :param latest: whether to assume the latest time that the clock may
            show now, for a lease that must not be too short; otherwise the
            earliest is assumed, for an order that must not take effect late.
        :raises ValueError: when the worker has not reported its clock.
        """
        if self._reported is None:
            raise ValueError('the worker has not reported its clock')
        passed = (now - self._received) * (1 - CLOCK_DRIFT)
        if latest:
            passed = now - self._sent
        return self._reported + math.floor((passed + seconds) * _MS)

    def note_lease(self, deadline: int) -> None:
        """Record a lease deadline that is about to be sent to the worker."""
        if self._reported is None:
            return
        ahead = (deadline - self._reported) / _MS / (1 - CLOCK_DRIFT)
        lapsed_at = self._received + ahead + LAPSE_MARGIN
        self._all_lapsed_at = max(self._all_lapsed_at, lapsed_at)

    def note_unknown_lease(self, now: float, longest: float) -> None:
        """Record that former leaders may have sent leases until now.

        :param now: local seconds.
        :param longest: seconds of the longest lease.
        """
        lapsed_at = now + compute_lapse_seconds(longest)
        self._all_lapsed_at = max(self._all_lapsed_at, lapsed_at)

    def is_lapsed(self, now: float) -> bool:
        """Return whether every lease sent to the worker has surely lapsed."""
        return now > self._all_lapsed_at
