"""Observation of the calls to the store."""

from typing import final

from verbenapost.coordination.scheduling.outages import StoreOutageDetector
from verbenapost.daemon.timers import read_clock


@final
class StoreCallObserver:
    """Reports each call to the detector of store outages.

    :param detector: the detector.
    """

    def __init__(self, detector: StoreOutageDetector) -> None:
        self._detector = detector

    def begin(self, wait: float) -> int:
        """Record that a call is sent.

        :param wait: seconds that the store may wait before it answers.
        :returns: number of the call.
        """
        return self._detector.begin_call(read_clock() + wait)

    def end(self, number: int, *, answered: bool) -> None:
        """Record the outcome of a call.

        :param number: number of the call.
        :param answered: whether the store has processed the call.
        """
        self._detector.end_call(number)
        self._detector.record_call(answered=answered, now=read_clock())
