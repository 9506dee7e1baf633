"""Everything that waits at a claim owner."""

import dataclasses
from collections.abc import Iterable
from typing import final

from verbenapost.coordination.claims.queue import (
    MAX_WRITE_CLAIMS,
    Attempt,
    Denial,
    OutcomeQueue,
    Waiters,
)
from verbenapost.state.claims import (
    SlotRecord,
    pack_claims,
    read_key_time,
)

#: Seconds that outcomes wait for claims to share a write with.
OUTCOME_DELAY = 0.25


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A write in flight.

    :param record: value of the slot.
    :param claims: attempts whose claims it carries, by key.
    :param denials: refusals that it confirms.
    :param expired: attempts whose keys the floor of this write excludes.
    :param answered: keys whose attempts were refused meanwhile; they stay
        among the claims, since the write may yet take effect.
    """

    record: SlotRecord
    claims: dict[bytes, Attempt]
    denials: list[Denial]
    expired: list[Attempt]
    answered: set[bytes] = dataclasses.field(default_factory=set)

    def list_open(self) -> list[Attempt]:
        """Return the claiming attempts that still wait."""
        return [
            attempt
            for key, attempt in self.claims.items()
            if key not in self.answered
        ]

    def list_all_open(self) -> list[Attempt]:
        """Return all attempts that still wait."""
        waiting = self.list_open()
        waiting.extend(denial.attempt for denial in self.denials)
        waiting.extend(self.expired)
        return waiting


class Backlog:
    """Attempts by what they wait for, and outcomes to write.

    Explanation
    ===========

    A key is claimed by at most one attempt of the backlog: the one queued or
    the one in flight. All others with that key are waiters.
    """

    def __init__(self) -> None:
        self.outcomes = OutcomeQueue()
        self.waiters = Waiters()
        self.denials: list[Denial] = []
        self.flight: Write | None = None
        self._queued: dict[bytes, Attempt] = {}

    @property
    def count(self) -> int:
        """Return the number of attempts that wait."""
        return len(self._queued) + len(self.denials) + self.waiters.count

    def find_due(self) -> float | None:
        """Return when the next write is due, ``None`` for never.

        A moment in the past stands for now.
        """
        if self._queued or self.denials:
            return 0
        since = self.outcomes.since
        return None if since is None else since + OUTCOME_DELAY

    def find_pending(self, key: bytes) -> Attempt | None:
        """Return the attempt that is to claim a key."""
        queued = self._queued.get(key)
        if queued is not None or self.flight is None:
            return queued
        return self.flight.claims.get(key)

    def add_claim(self, attempt: Attempt) -> None:
        """Put an attempt into the next write, or renew its deadline."""
        if self.flight is not None and attempt.key in self.flight.claims:
            self.flight.claims[attempt.key] = attempt
            self.flight.answered.discard(attempt.key)
        else:
            self._queued[attempt.key] = attempt

    def withdraw(self, key: bytes, number: int) -> bool:
        """Remove a queued attempt and return whether it was there."""
        queued = self._queued.get(key)
        if queued is None or queued.asked.attempt != number:
            return False
        self._queued.pop(key)
        return True

    def start_write(
        self, size: int, sequence: int, writer: str, floor: int
    ) -> Write:
        """Collect the next record."""
        keys = list(self._queued)[:MAX_WRITE_CLAIMS]
        claims = {key: self._queued.pop(key) for key in keys}
        old = [key for key in keys if read_key_time(key) <= floor]
        expired = [claims.pop(key) for key in old]
        rows = pack_claims(attempt.row for attempt in claims.values())
        outcomes = self.outcomes.take()
        record = SlotRecord(size, sequence, writer, floor, rows, outcomes)
        self.flight = Write(record, claims, self.denials, expired)
        self.denials = []
        return self.flight

    def end_write(self) -> Write:
        """Return the write that was in flight.

        :raises RuntimeError: when none was.
        """
        if self.flight is None:
            raise RuntimeError('no write is in flight')
        write = self.flight
        self.flight = None
        return write

    def pop_queued(self) -> list[Attempt]:
        """Remove the attempts that wait for the next write."""
        attempts = list(self._queued.values())
        attempts.extend(denial.attempt for denial in self.denials)
        self._queued.clear()
        self.denials.clear()
        return attempts

    def pop_late_claims(self, now: float) -> list[Attempt]:
        """Remove the queued attempts whose callers' time is up."""
        late = _find_late(self._queued.values(), now)
        for attempt in late:
            self._queued.pop(attempt.key)
        return late

    def mark_late_flight(self, now: float) -> list[Attempt]:
        """Return the attempts in flight whose callers' time is up."""
        if self.flight is None:
            return []
        late = _find_late(self.flight.list_open(), now)
        self.flight.answered.update(attempt.key for attempt in late)
        return late

    def pop_late_denials(self, now: float) -> list[Attempt]:
        """Remove the denials whose callers' time is up."""
        late = _find_late((denial.attempt for denial in self.denials), now)
        if late:
            self.denials = [
                denial
                for denial in self.denials
                if denial.attempt.deadline > now
            ]
        return late

    def pop_all(self) -> list[Attempt]:
        """Remove every attempt that is not in flight."""
        attempts = self.pop_queued()
        attempts.extend(self.waiters.pop_all())
        return attempts

    def pop_flight(self) -> list[Attempt]:
        """Return the open attempts in flight and mark them as answered."""
        if self.flight is None:
            return []
        attempts = self.flight.list_all_open()
        self.flight.answered.update(self.flight.claims)
        self.flight.denials.clear()
        self.flight.expired.clear()
        return attempts


def _find_late(attempts: Iterable[Attempt], now: float) -> list[Attempt]:
    return [attempt for attempt in attempts if attempt.deadline <= now]
