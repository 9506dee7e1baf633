"""Decisions of a claim owner."""

from collections.abc import Iterable

from result import Err

from verbenapost.coordination.claims.backlog import Backlog, Write
from verbenapost.coordination.claims.keys import (
    KeyAge,
    KeyWindow,
    parse_key,
)
from verbenapost.coordination.claims.queue import Attempt, Denial, Reply
from verbenapost.coordination.claims.ring import Ring
from verbenapost.protocol.claims import (
    ClaimGranted,
    ClaimKey,
    ClaimRepeated,
    RecordOutcome,
)
from verbenapost.protocol.errors import ErrorKind, Failure, Outcome
from verbenapost.state.claims import (
    OutcomeRow,
    SlotRecord,
    read_key_time,
    unpack_claim,
)

#: Attempts that wait for a write or an outcome.
MAX_WAITING_ATTEMPTS = 20_000

#: Seconds before the caller's time is up at which an attempt is refused, so
#: that the entry hears what is known of the key.
REFUSE_EARLY = 0.3

#: Claims that are remembered or wait; more are refused to bound the memory.
MAX_CLAIMS = 400_000


class Desk:
    """Answers attempts from a ring and collects what to write next.

    Explanation
    ===========

    An attempt is granted only after a record with its claim is in the ring.
    An entry that hears from two owners acts on the first answer and releases
    a claim that it does not use.

    A claim that is refused while its write is undecided stays in the ring if
    the write takes effect. Only the entry that asked knows that the attempt
    is over, so only the entry releases it.

    :param ring: what is known of the ring.
    :param writer: random identity of this process start.
    :param window: times that keys may have.
    """

    def __init__(self, ring: Ring, writer: str, window: KeyWindow) -> None:
        self.ring = ring
        self.store_down = False
        self._writer = writer
        self._window = window
        self._backlog = Backlog()

    @property
    def waiting(self) -> int:
        """Return the number of attempts that wait."""
        return self._backlog.count

    def receive(
        self, sender: str, asked: ClaimKey, now: float, wall: float
    ) -> list[Reply]:
        """Judge an attempt.

        :param sender: entry that asks.
        :param asked: its message.
        :param now: monotonic seconds.
        :param wall: Unix time in seconds.
        """
        parsed = parse_key(asked.key)
        if isinstance(parsed, Err):
            attempt = Attempt(sender, asked, b'', now)
            return [attempt.refuse(parsed.err_value)]
        early = min(REFUSE_EARLY, asked.wait / 2)
        deadline = now + asked.wait - early
        attempt = Attempt(sender, asked, parsed.ok_value, deadline)
        return self._judge(attempt, wall)

    def record_outcome(
        self, told: RecordOutcome, now: float, wall: float
    ) -> list[Reply]:
        """Take in how an attempt ended."""
        parsed = parse_key(told.key)
        if isinstance(parsed, Err):
            return []
        key = parsed.ok_value
        if told.released and self._backlog.withdraw(key, told.attempt):
            return self._judge_waiters(key, wall)
        self._backlog.waiters.remove(key, told.attempt)
        if self._may_hold(key, told.attempt):
            self._backlog.outcomes.add(_make_row(key, told), now)
        return []

    def find_due(self) -> float | None:
        """Return when the next write is due, ``None`` for never."""
        return self._backlog.find_due()

    def refuse_late(self, now: float, wall: float) -> list[Reply]:
        """Refuse the attempts whose callers' time is up."""
        withdrawn = self._backlog.pop_late_claims(now)
        late = [*withdrawn, *self._backlog.mark_late_flight(now)]
        replies = _refuse_all(late, self._explain_wait())
        denied = self._backlog.pop_late_denials(now)
        replies.extend(_refuse_all(denied, _expire(Outcome.UNKNOWN)))
        replies.extend(self._backlog.waiters.refuse_late(now))
        for attempt in withdrawn:
            replies.extend(self._judge_waiters(attempt.key, wall))
        return replies

    def is_full(self, wall: float) -> bool:
        """Return whether the ring has no slot for the next record."""
        return self.ring.is_full(self._window, wall)

    def refuse_full(self) -> list[Reply]:
        """Refuse what waits for a write that the full ring can't take."""
        attempts = self._backlog.pop_queued()
        keys = [attempt.key for attempt in attempts]
        for key in keys:
            attempts.extend(self._backlog.waiters.pop(key))
        failure = Failure(ErrorKind.OVERLOADED, 'the claim ring is full')
        return _refuse_all(attempts, failure)

    def refuse_all(self) -> list[Reply]:
        """Refuse all that waits, when the duty ends."""
        attempts = self._backlog.pop_all()
        attempts.extend(self._backlog.pop_flight())
        failure = Failure(ErrorKind.NOT_READY, 'the claim owner leaves')
        return _refuse_all(attempts, failure)

    def start_write(self, wall: float) -> Write:
        """Collect the next record."""
        self.ring.forget_expired(self._window, wall)
        return self._backlog.start_write(
            self.ring.size,
            self.ring.sequence + 1,
            self._writer,
            self.ring.next_floor,
        )

    def finish_write(self, revision: int, wall: float) -> list[Reply]:
        """Answer what the write in flight has decided."""
        write = self._backlog.end_write()
        self.store_down = False
        replies = self.take_in(write.record, revision, wall)
        replies.extend(_grant(attempt) for attempt in write.list_open())
        replies.extend(
            denial.attempt.refuse(denial.failure) for denial in write.denials
        )
        replies.extend(_refuse_all(write.expired, _expire(Outcome.NOT_RUN)))
        for attempt in write.expired:
            replies.extend(self._judge_waiters(attempt.key, wall))
        return replies

    def lose_write(self, wall: float) -> list[Reply]:
        """Judge all anew after a write that can not take effect.

        What other owners have written must have been taken in before.
        """
        write = self._backlog.end_write()
        self._backlog.outcomes.put_back(write.record.outcomes)
        attempts = write.list_all_open()
        attempts.extend(self._backlog.pop_all())
        return self._judge_all(attempts, wall)

    def take_in(
        self, record: SlotRecord, revision: int, wall: float
    ) -> list[Reply]:
        """Apply a record of the log and answer those it concerns."""
        self.ring.apply(record, revision)
        replies: list[Reply] = []
        for row in record.outcomes:
            replies.extend(self._judge_waiters(row.key, wall))
        return replies

    def _may_hold(self, key: bytes, number: int) -> bool:
        row = self.ring.find_claim(key)
        return row is None or unpack_claim(row).attempt == number

    def _judge_waiters(self, key: bytes, wall: float) -> list[Reply]:
        return self._judge_all(self._backlog.waiters.pop(key), wall)

    def _judge_all(
        self, attempts: Iterable[Attempt], wall: float
    ) -> list[Reply]:
        replies: list[Reply] = []
        for attempt in attempts:
            replies.extend(self._judge(attempt, wall))
        return replies

    def _judge(self, attempt: Attempt, wall: float) -> list[Reply]:
        earlier = self._backlog.find_pending(attempt.key)
        if earlier is not None:
            return self._judge_pending(attempt, earlier)
        row = self.ring.find_claim(attempt.key)
        if row is not None:
            return self._judge_claimed(attempt, row)
        return self._judge_new(attempt, wall)

    def _judge_pending(self, attempt: Attempt, earlier: Attempt) -> list[Reply]:
        if attempt.asked.attempt == earlier.asked.attempt:
            self._backlog.add_claim(attempt)
            return []
        if attempt.asked.fingerprint != earlier.asked.fingerprint:
            return [attempt.refuse(Failure(ErrorKind.KEY_REUSED))]
        return self._wait(attempt)

    def _judge_claimed(self, attempt: Attempt, packed: bytes) -> list[Reply]:
        claim = unpack_claim(packed)
        if attempt.asked.fingerprint != claim.fingerprint:
            return [attempt.refuse(Failure(ErrorKind.KEY_REUSED))]
        outcome = self.ring.find_outcome(attempt.key)
        if outcome is not None:
            return [_repeat(attempt, outcome)]
        if attempt.asked.attempt == claim.attempt:
            return [_grant(attempt)]
        return self._wait(attempt)

    def _wait(self, attempt: Attempt) -> list[Reply]:
        if self.waiting >= MAX_WAITING_ATTEMPTS:
            return [attempt.refuse(Failure(ErrorKind.ALREADY_CLAIMED))]
        self._backlog.waiters.add(attempt)
        return []

    def _judge_new(self, attempt: Attempt, wall: float) -> list[Reply]:
        if read_key_time(attempt.key) <= self.ring.floor:
            return [attempt.refuse(_expire(Outcome.UNKNOWN))]
        known = self.ring.claim_count + self.waiting
        if self.waiting >= MAX_WAITING_ATTEMPTS or known >= MAX_CLAIMS:
            return [attempt.refuse(Failure(ErrorKind.OVERLOADED))]
        if self._window.judge(attempt.key, wall) is KeyAge.IN_WINDOW:
            self._backlog.add_claim(attempt)
        else:
            denial = Denial(attempt, _expire(Outcome.NOT_RUN))
            self._backlog.denials.append(denial)
        return []

    def _explain_wait(self) -> Failure:
        if self.store_down:
            return Failure(ErrorKind.STORE_UNAVAILABLE)
        return Failure(ErrorKind.DEADLINE_EXCEEDED)


def _grant(attempt: Attempt) -> Reply:
    granted = ClaimGranted(attempt.asked.key, attempt.asked.attempt)
    return Reply(attempt.sender, granted)


def _refuse_all(attempts: Iterable[Attempt], failure: Failure) -> list[Reply]:
    return [attempt.refuse(failure) for attempt in attempts]


def _make_row(key: bytes, told: RecordOutcome) -> OutcomeRow:
    return OutcomeRow(
        key,
        told.attempt,
        told.released,
        told.status,
        told.content_type,
        told.body,
    )


def _expire(outcome: Outcome) -> Failure:
    return Failure(ErrorKind.KEY_EXPIRED, known_outcome=outcome)


def _repeat(attempt: Attempt, outcome: OutcomeRow) -> Reply:
    answer = ClaimRepeated(
        attempt.asked.key,
        attempt.asked.attempt,
        outcome.status,
        outcome.content_type,
        outcome.body,
    )
    return Reply(attempt.sender, answer)
