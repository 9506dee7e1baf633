"""Times of contact with other members and of confirmed views."""

import dataclasses
import math
from collections import deque
from typing import final

import xxhash

from verbenapost.coordination.contactages import AGE_STEPS, NEVER, AgeTable
from verbenapost.protocol.membership import NO_AGE, Heartbeat

#: Sent heartbeats whose send time is kept.
MAX_SENT_TIMES = 1024

#: Low bits of a heartbeat counter that count the messages of one process.
COUNTER_BITS = 20

#: Milliseconds in one second.
MILLISECONDS_PER_SECOND = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Membership timeouts and intervals, in seconds.

    :param view_timeout: time for which a confirmation of the views is valid.
    :param interval: time between two rounds of heartbeats.
    :param removal_delay: time without contact after which a member without a
        lease is removed.
    :param intent_timeout: time after which an outdated intent may be
        replaced.
    """

    view_timeout: float = 5.0
    interval: float = 0.5
    removal_delay: float = 30.0
    intent_timeout: float = 20.0


@final
class SentCounters:
    """Send times of this process's heartbeats, by counter.

    Counters start at a hash of the process identity, so that an echo of a
    heartbeat from an earlier process of the same member is not mistaken for
    an echo of this process's heartbeat.

    :param identity: identity of the process.
    """

    def __init__(self, identity: str) -> None:
        start = xxhash.xxh32_intdigest(identity.encode())
        self._next = (start << COUNTER_BITS) + 1
        self._times: dict[int, float] = {}
        self._order: deque[int] = deque()

    def issue(self, now: float) -> int:
        """Return the next counter and record when it is sent."""
        counter = self._next
        self._next += 1
        self._times[counter] = now
        self._order.append(counter)
        if len(self._order) > MAX_SENT_TIMES:
            self._times.pop(self._order.popleft())
        return counter

    def find(self, counter: int) -> float:
        """Return when a heartbeat was sent, ``NEVER`` if unknown."""
        return self._times.get(counter, NEVER)


@final
class Contacts:
    """Times of the last contact with each member and of freshness.

    Explanation
    ===========

    ``last_contact`` holds, for each member, a time after which that member is
    known to have sent a message, either received directly or reported by
    others. The time is a lower bound: relaying a report never makes a contact
    appear more recent, so circulating reports can't make a dead member appear
    alive.

    ``confirmed_at`` is the time at which this daemon's views were last
    confirmed; ``newest_confirmation`` is the latest time at which those of any
    member are known to have been confirmed.

    :param name: name of this member.
    :param identity: identity of this process.
    :param view_timeout: time for which a confirmation is valid, in seconds.
    """

    def __init__(self, name: str, identity: str, view_timeout: float) -> None:
        step = view_timeout / AGE_STEPS
        self.sent = SentCounters(identity)
        self.last_contact = AgeTable(step)
        self.confirmed_at = NEVER
        self.newest_confirmation = NEVER
        self._name = name
        self._received: dict[str, tuple[str, int]] = {}

    def find_echo(self, name: str) -> int:
        """Return the newest counter received from a peer, 0 for none."""
        return self._received.get(name, ('', 0))[1]

    def record_heartbeat(self, heartbeat: Heartbeat) -> float:
        """Record a heartbeat and return a lower bound of its send time.

        :returns: send time of the local heartbeat that the peer echoes; the
            peer sent its message later. ``NEVER`` if the echo is unknown.
        """
        known = self._received.get(heartbeat.name)
        if (
            known is None
            or known[0] != heartbeat.identity
            or heartbeat.counter > known[1]
        ):
            self._received[heartbeat.name] = (
                heartbeat.identity,
                heartbeat.counter,
            )
        return self.sent.find(heartbeat.echo)

    def note_freshness(self, moment: float, *, current: bool) -> None:
        """Record that the store confirmed the views of a member.

        :param moment: time of the confirmation.
        :param current: whether this daemon's views are as new as those
            that were confirmed.
        """
        self.newest_confirmation = max(self.newest_confirmation, moment)
        if current:
            self.confirmed_at = max(self.confirmed_at, moment)

    def encode_freshness(self, now: float) -> int:
        """Return the age of the last confirmation in milliseconds.

        The age is rounded up; ``NO_AGE`` means that there was none.
        """
        age = now - self.confirmed_at
        if age == math.inf:
            return NO_AGE
        return max(0, math.ceil(age * MILLISECONDS_PER_SECOND))
