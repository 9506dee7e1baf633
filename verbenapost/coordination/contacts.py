"""What a member knows of its contact with the others."""

import dataclasses
import math
from collections import deque
from typing import final

import xxhash

from verbenapost.coordination.ages import NEVER, STEPS, AgeTable
from verbenapost.protocol.membership import NO_AGE, Heartbeat

#: Sent heartbeats whose time is remembered.
MAX_REMEMBERED = 1024

#: Bits that one process uses for its counters.
COUNTER_BITS = 20

#: Milliseconds of a second.
MILLISECONDS = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Times of membership, in seconds.

    :param view_timeout: longest time without a confirmed view.
    :param interval: time between two rounds of heartbeats.
    :param removal_delay: silence after which a member without a lease is to
        be removed.
    :param patience: time after which an intent that is out of date may be
        replaced.
    """

    view_timeout: float = 5.0
    interval: float = 0.5
    removal_delay: float = 30.0
    patience: float = 20.0


@final
class SentCounters:
    """Times at which the own heartbeats were sent.

    Counters start at a number drawn from the identity, so that an echo for
    an earlier process of the place is not mistaken for one of this process.

    :param identity: identity of the process.
    """

    def __init__(self, identity: str) -> None:
        start = xxhash.xxh32_intdigest(identity.encode())
        self._next = (start << COUNTER_BITS) + 1
        self._times: dict[int, float] = {}
        self._order: deque[int] = deque()

    def draw(self, now: float) -> int:
        """Return the counter of a heartbeat that is sent now."""
        counter = self._next
        self._next += 1
        self._times[counter] = now
        self._order.append(counter)
        if len(self._order) > MAX_REMEMBERED:
            self._times.pop(self._order.popleft())
        return counter

    def find(self, counter: int) -> float:
        """Return when a heartbeat was sent, or ``NEVER``."""
        return self._times.get(counter, NEVER)


@final
class Contacts:
    """Moments of contact and of freshness.

    Explanation
    ===========

    ``reach`` holds for each member a moment after which it surely wrote a
    message, first hand or told by others. It never looks younger than it is,
    so that news can't circulate and keep a dead member alive.

    :param name: name of the own member.
    :param identity: identity of the own process.
    :param view_timeout: seconds.
    """

    def __init__(self, name: str, identity: str, view_timeout: float) -> None:
        step = view_timeout / STEPS
        self.sent = SentCounters(identity)
        self.reach = AgeTable(step)
        self.fresh = NEVER
        self.seen_fresh = NEVER
        self._name = name
        self._newest: dict[str, tuple[str, int]] = {}

    def find_echo(self, name: str) -> int:
        """Return the newest counter of a peer, 0 for none."""
        return self._newest.get(name, ('', 0))[1]

    def note_arrival(self, beat: Heartbeat) -> float:
        """Note a heartbeat and return since when what it says holds."""
        known = self._newest.get(beat.name)
        if (
            known is None
            or known[0] != beat.identity
            or beat.counter > known[1]
        ):
            self._newest[beat.name] = (beat.identity, beat.counter)
        return self.sent.find(beat.echo)

    def note_freshness(self, moment: float, *, current: bool) -> None:
        """Note that a fresh peer's views were confirmed.

        :param current: whether the own views are as new as the peer's.
        """
        self.seen_fresh = max(self.seen_fresh, moment)
        if current:
            self.fresh = max(self.fresh, moment)

    def encode_freshness(self, now: float) -> int:
        """Return the age of the last confirmation in milliseconds."""
        age = now - self.fresh
        if age == math.inf:
            return NO_AGE
        return max(0, math.ceil(age * MILLISECONDS))
