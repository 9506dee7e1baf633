"""What the leader knows of one incarnation of a worker."""

import math
from typing import Final

from verbenapost.coordination.scheduling.leases import LeaseClock
from verbenapost.coordination.scheduling.runends import RunEndTracker

#: Longest time between an answer of a worker and the next acknowledgement of
#: its ended runs, in seconds, within which the worker can't have started again
#: and ended another run.
MAX_UNWATCHED_SECONDS: Final = 0.2

_MILLI: Final = 1000


class Incarnation:
    """One start of a worker, with its own clock and numbers of ended runs.

    Explanation
    ===========

    A worker may start again under its identity. An answer tells something only
    about the incarnation that was known when its call was sent, so each call
    keeps that object, and what follows from the answer is recorded there.

    The worker read its clock after the call was sent. Its clock may be slow but
    not fast, so a reading that is ahead of another one by a second was made at
    least a second later. The earliest time of an answer follows from the call
    that was answered fastest; an answer may itself have been in transit for
    longer than a worker needs to start again.

    Examples
    ========

    >>> incarnation = Incarnation(1, now=10.0, hold_seconds=6)
    >>> incarnation.note_reading(5000, sent=10.0)
    True
    >>> incarnation.note_reading(5100, sent=10.0)
    True
    >>> incarnation.is_watched(10.25), incarnation.is_watched(10.4)
    (True, False)
    >>> incarnation.note_reading(5000, sent=10.4, floor=5100)
    False

    :param started_at_ms: start of the incarnation in Unix milliseconds.
    :param now: local seconds at which the incarnation was first heard of.
    :param hold_seconds: longest lease that others may have sent to it.
    :ivar clock: leases granted, and the offset of the worker's clock.
    :ivar ends: ended runs that were reported and stored.
    :ivar last_clock: latest reading of the worker's clock in milliseconds.
    :ivar last_report_clock: the same of its reports, which may overtake each
        other on different connections.
    """

    def __init__(
        self, started_at_ms: int, now: float, hold_seconds: float
    ) -> None:
        self.started_at_ms = started_at_ms
        self.known_since = now
        self.clock = LeaseClock()
        self.clock.note_unknown_lease(now, hold_seconds)
        self.ends = RunEndTracker()
        self.last_clock = 0
        self.last_report_clock = 0
        self._offset = -math.inf
        self._answered_at = -math.inf
        self._unanswered_starts = 0

    def begin_start(self) -> None:
        """Record that a start is sent, which the next incarnation may get."""
        self._unanswered_starts += 1

    def end_start(self, *, answered: bool) -> None:
        """Record that a start is answered, with any outcome, or has failed.

        :param answered: whether there was an answer.
        """
        self._unanswered_starts -= 1
        if not answered:
            self._answered_at = -math.inf

    def note_reading(self, reading: int, sent: float, floor: int = 0) -> bool:
        """Record the clock reading of an answer.

        :param reading: the worker's clock reading in milliseconds.
        :param sent: local seconds at which the call was sent.
        :param floor: latest reading that was known when the call was sent.
        :returns: whether the answer is of this incarnation. A lower reading is
            that of the next one, which has yet to show itself.
        """
        if reading < floor:
            self._answered_at = -math.inf
            return False
        seconds = reading / _MILLI
        self._offset = max(self._offset, sent - seconds)
        self._answered_at = max(self._answered_at, seconds + self._offset)
        self.last_clock = max(self.last_clock, reading)
        return True

    def is_watched(self, now: float) -> bool:
        """Return whether no other incarnation can have ended a run by now.

        The worker has answered just now, and so has it each start.

        :param now: local seconds.
        """
        recent = now - self._answered_at <= MAX_UNWATCHED_SECONDS
        return recent and not self._unanswered_starts
