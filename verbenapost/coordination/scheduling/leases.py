"""Leases of runs, on the clock of the worker that they run on."""

import math
from typing import Final

#: How much slower than true time a worker's clock may be, from the
#: platform's pages.
CLOCK_DRIFT: Final = 0.02

#: Seconds added before a lease counts as lapsed, for scheduling delays of the
#: worker's own timer.
LAPSE_MARGIN: Final = 0.15

_MS: Final = 1000


class LeaseClock:
    """What is known of a worker's clock and of the leases that it has seen.

    Explanation
    ===========

    An answer that shows the clock was made between sending and receiving. So
    the clock shows at most the shown time plus all time since sending, and at
    least the shown time plus the time since receiving, less the drift.

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
        self._shown: int | None = None
        self._sent: float = 0
        self._received: float = 0
        self._lapsed_at = -math.inf

    @property
    def known(self) -> bool:
        """Whether the clock was ever seen."""
        return self._shown is not None

    def observe(self, shown: int, sent: float, received: float) -> None:
        """Take the clock of an answer.

        :param shown: the worker's clock in milliseconds.
        :param sent: local seconds at which the call was sent.
        :param received: local seconds at which the answer came.
        """
        if self._shown is None or sent >= self._sent:
            self._shown = shown
            self._sent = sent
            self._received = received

    def make_deadline(
        self,
        now: float,
        seconds: float,
        latest: bool = False,  # noqa: FBT001, FBT002
    ) -> int:
        """Return a time on the worker's clock in milliseconds.

        :param now: local seconds.
        :param seconds: how far ahead.
        :param latest: take the latest that the clock may show now, for a lease
            that must not be short; else the earliest, for an order that must
            not be carried out late.
        """
        if self._shown is None:
            raise ValueError('the clock of the worker is not known')
        passed = (now - self._received) * (1 - CLOCK_DRIFT)
        if latest:
            passed = now - self._sent
        return self._shown + math.floor((passed + seconds) * _MS)

    def note_lease(self, deadline: int) -> None:
        """Note a deadline that is about to be sent to the worker."""
        if self._shown is None:
            return
        ahead = (deadline - self._shown) / _MS / (1 - CLOCK_DRIFT)
        lapsed_at = self._received + ahead + LAPSE_MARGIN
        self._lapsed_at = max(self._lapsed_at, lapsed_at)

    def note_unknown_lease(self, now: float, longest: float) -> None:
        """Note that others may have sent leases of a length until now."""
        lapsed_at = now + longest / (1 - CLOCK_DRIFT) + LAPSE_MARGIN
        self._lapsed_at = max(self._lapsed_at, lapsed_at)

    def is_lapsed(self, now: float) -> bool:
        """Return whether every lease that it may know has passed for sure."""
        return now > self._lapsed_at
