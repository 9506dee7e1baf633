"""Moments of contact with members, sent as ages of one byte each."""

import math
from collections.abc import Sequence
from typing import final

#: Byte that stands for no contact, or one too long ago.
UNKNOWN = 255

#: Steps into which the view timeout is parted on the wire.
STEPS = 50

#: Moment of members that were never in contact.
NEVER = -math.inf


@final
class AgeTable:
    """Latest moment by member name, in seconds of the own clock.

    Examples
    ========

    >>> sender = AgeTable(step=0.1)
    >>> sender.note('b', 7.95)
    >>> row = sender.encode(['a', 'b'], now=8)
    >>> list(row)
    [255, 1]
    >>> receiver = AgeTable(step=0.1)
    >>> receiver.merge(['a', 'b'], row, moment=20)
    >>> receiver.find('b')
    19.9

    :param step: seconds that one unit on the wire stands for.
    """

    def __init__(self, step: float) -> None:
        self._step = step
        self._moments: dict[str, float] = {}

    def find(self, name: str) -> float:
        """Return the latest moment of a member."""
        return self._moments.get(name, NEVER)

    def note(self, name: str, moment: float) -> None:
        """Note a moment unless a later one is known."""
        if moment > self.find(name):
            self._moments[name] = moment

    def encode(self, names: Sequence[str], now: float) -> bytes:
        """Return the ages of members, one byte each, rounded up."""
        return bytes(self._encode_age(now - self.find(name)) for name in names)

    def merge(
        self,
        names: Sequence[str],
        row: bytes,
        moment: float,
    ) -> None:
        """Take over the ages of another member.

        :param names: members that the bytes stand for.
        :param moment: own time at which the ages count from.
        """
        for name, age in zip(names, row, strict=False):
            if age != UNKNOWN:
                self.note(name, moment - age * self._step)

    def _encode_age(self, age: float) -> int:
        if age == math.inf:
            return UNKNOWN
        return min(UNKNOWN, max(0, math.ceil(age / self._step)))
