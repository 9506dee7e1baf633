"""Times of last contact with members, sent as one-byte ages."""

import math
from collections.abc import Sequence
from typing import final

#: Byte for no contact, or for a contact too long ago to encode.
UNKNOWN = 255

#: Units on the wire into which the view timeout is divided.
AGE_STEPS = 50

#: Time of contact of members without any contact.
NEVER = -math.inf


@final
class AgeTable:
    """Latest time of contact by member, in seconds of the local clock.

    Examples
    ========

    >>> sender = AgeTable(step=0.1)
    >>> sender.record('b', 7.95)
    >>> row = sender.encode(['a', 'b'], now=8)
    >>> list(row)
    [255, 1]
    >>> receiver = AgeTable(step=0.1)
    >>> receiver.merge(['a', 'b'], row, moment=20)
    >>> receiver.get_latest('b')
    19.9

    :param step: seconds per unit on the wire.
    """

    def __init__(self, step: float) -> None:
        self._step = step
        self._moments: dict[str, float] = {}

    def get_latest(self, name: str) -> float:
        """Return the latest time of contact with a member, or ``NEVER``."""
        return self._moments.get(name, NEVER)

    def record(self, name: str, moment: float) -> None:
        """Record a time of contact unless a later one is known."""
        if moment > self.get_latest(name):
            self._moments[name] = moment

    def encode(self, names: Sequence[str], now: float) -> bytes:
        """Return the ages of members, one byte each, rounded up."""
        return bytes(
            self._encode_age(now - self.get_latest(name)) for name in names
        )

    def merge(
        self,
        names: Sequence[str],
        row: bytes,
        moment: float,
    ) -> None:
        """Merge the ages that another member has sent.

        :param names: members in the order of the bytes.
        :param row: ages, one byte per member.
        :param moment: local time to which the ages are relative.
        """
        for name, age in zip(names, row, strict=False):
            if age != UNKNOWN:
                self.record(name, moment - age * self._step)

    def _encode_age(self, age: float) -> int:
        if age == math.inf:
            return UNKNOWN
        return min(UNKNOWN, max(0, math.ceil(age / self._step)))
