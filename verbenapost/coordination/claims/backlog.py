"""Attempts and outcomes that wait at a claim owner."""

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
    RingSlotRecord,
    pack_claims,
    read_key_time,
)

#: Seconds that outcomes wait so that they can share a write with claims.
OUTCOME_DELAY_SECONDS = 0.25


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A write in flight.

    :param record: value of the slot.
    :param claims: attempts whose claims the write carries, by key.
    :param denials: refusals that may be sent once the write succeeds.
    :param expired: attempts whose keys the floor of this write excludes.
    :param answered: keys whose attempts were refused while the write was in
        flight; the keys stay in ``claims`` because the write may still take
        effect.
    """

    record: RingSlotRecord
    claims: dict[bytes, Attempt]
    denials: list[Denial]
    expired: list[Attempt]
    answered: set[bytes] = dataclasses.field(default_factory=set)

    def list_open(self) -> list[Attempt]:
        """Return the unanswered attempts whose claims the write carries."""
        return [
            attempt
            for key, attempt in self.claims.items()
            if key not in self.answered
        ]

    def list_all_open(self) -> list[Attempt]:
        """Return all unanswered attempts of the write."""
        waiting = self.list_open()
        waiting.extend(denial.attempt for denial in self.denials)
        waiting.extend(self.expired)
        return waiting


class Backlog:
    """Waiting attempts by what they wait for, and outcomes to write.

    Explanation
    ===========

    At most one attempt of the backlog claims a key: either a queued attempt
    or an attempt in flight. All other attempts with that key are waiters.
    """

    def __init__(self) -> None:
        self.outcomes = OutcomeQueue()
        self.waiters = Waiters()
        self.denials: list[Denial] = []
        self.in_flight: Write | None = None
        self._queued: dict[bytes, Attempt] = {}

    @property
    def count(self) -> int:
        """Return the number of waiting attempts, without those in flight."""
        return len(self._queued) + len(self.denials) + self.waiters.count

    def find_due_time(self) -> float | None:
        """Return the monotonic time at which the next write is due.

        :returns: a time in the past for a write that is due now, ``None``
            when nothing waits for a write.
        """
        if self._queued or self.denials:
            return 0
        since = self.outcomes.since
        return None if since is None else since + OUTCOME_DELAY_SECONDS

    def find_pending(self, key: bytes) -> Attempt | None:
        """Return the queued or in-flight attempt that claims a key."""
        queued = self._queued.get(key)
        if queued is not None or self.in_flight is None:
            return queued
        return self.in_flight.claims.get(key)

    def add_claim(self, attempt: Attempt) -> None:
        """Queue an attempt for the next write.

        If the write in flight already claims the key, only the attempt, and
        with it the deadline, is replaced.
        """
        if self.in_flight is not None and attempt.key in self.in_flight.claims:
            self.in_flight.claims[attempt.key] = attempt
            self.in_flight.answered.discard(attempt.key)
        else:
            self._queued[attempt.key] = attempt

    def withdraw(self, key: bytes, number: int) -> bool:
        """Remove a queued attempt.

        :returns: whether the attempt was queued.
        """
        queued = self._queued.get(key)
        if queued is None or queued.claim_request.attempt != number:
            return False
        self._queued.pop(key)
        return True

    def start_write(
        self, size: int, sequence: int, writer: str, floor: int
    ) -> Write:
        """Build the next record and mark the write as in flight."""
        keys = list(self._queued)[:MAX_WRITE_CLAIMS]
        claims = {key: self._queued.pop(key) for key in keys}
        old = [key for key in keys if read_key_time(key) <= floor]
        expired = [claims.pop(key) for key in old]
        rows = pack_claims(attempt.row for attempt in claims.values())
        outcomes = self.outcomes.pop_batch()
        record = RingSlotRecord(size, sequence, writer, floor, rows, outcomes)
        self.in_flight = Write(record, claims, self.denials, expired)
        self.denials = []
        return self.in_flight

    def end_write(self) -> Write:
        """Remove and return the write in flight.

        :raises RuntimeError: if no write is in flight.
        """
        if self.in_flight is None:
            raise RuntimeError('no write is in flight')
        write = self.in_flight
        self.in_flight = None
        return write

    def pop_queued(self) -> list[Attempt]:
        """Remove and return the attempts that wait for the next write."""
        attempts = list(self._queued.values())
        attempts.extend(denial.attempt for denial in self.denials)
        self._queued.clear()
        self.denials.clear()
        return attempts

    def pop_timed_out_claims(self, now: float) -> list[Attempt]:
        """Remove and return the queued attempts whose deadline has passed."""
        timed_out = _find_timed_out(self._queued.values(), now)
        for attempt in timed_out:
            self._queued.pop(attempt.key)
        return timed_out

    def mark_timed_out_in_flight(self, now: float) -> list[Attempt]:
        """Mark the in-flight attempts past their deadline as answered.

        :returns: the attempts that were marked.
        """
        if self.in_flight is None:
            return []
        timed_out = _find_timed_out(self.in_flight.list_open(), now)
        self.in_flight.answered.update(attempt.key for attempt in timed_out)
        return timed_out

    def pop_timed_out_denials(self, now: float) -> list[Attempt]:
        """Remove the denials past their deadline and return the attempts."""
        timed_out = _find_timed_out(
            (denial.attempt for denial in self.denials), now
        )
        if timed_out:
            self.denials = [
                denial
                for denial in self.denials
                if denial.attempt.deadline > now
            ]
        return timed_out

    def pop_all(self) -> list[Attempt]:
        """Remove and return every attempt that is not in flight."""
        attempts = self.pop_queued()
        attempts.extend(self.waiters.pop_all())
        return attempts

    def pop_in_flight(self) -> list[Attempt]:
        """Mark the attempts in flight as answered.

        :returns: the attempts that were unanswered until now.
        """
        if self.in_flight is None:
            return []
        attempts = self.in_flight.list_all_open()
        self.in_flight.answered.update(self.in_flight.claims)
        self.in_flight.denials.clear()
        self.in_flight.expired.clear()
        return attempts


def _find_timed_out(attempts: Iterable[Attempt], now: float) -> list[Attempt]:
    return [attempt for attempt in attempts if attempt.deadline <= now]
