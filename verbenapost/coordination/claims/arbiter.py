"""Decisions on claim attempts, without input or output."""

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
    RingSlotRecord,
    read_key_time,
    unpack_claim,
)

#: Maximum attempts waiting for a write or an outcome.
MAX_WAITING_ATTEMPTS = 20_000

#: Seconds before the caller's deadline at which an attempt is refused, so that
#: the entry still receives what is known about the key.
EARLY_REFUSAL_SECONDS = 0.3

#: Maximum claims in the ring and in the backlog; further claims are refused to
#: bound the memory.
MAX_CLAIMS = 400_000


class ClaimArbiter:
    """Grants or refuses attempts and collects the next record.

    Explanation
    ===========

    An attempt is granted only after a record with its claim is in the ring.
    An entry that receives answers from two owners acts on the first answer
    and releases a claim that it does not use.

    A claim that is refused while the outcome of its write is unknown stays
    in the ring if the write takes effect. Only the entry that sent the
    attempt knows that the attempt has ended, so only that entry releases the
    claim.

    :param ring: known records of the ring.
    :param writer: random identity of this process start.
    :param window: range of timestamps in which a key is accepted.
    """

    def __init__(self, ring: Ring, writer: str, window: KeyWindow) -> None:
        self.ring = ring
        self.store_down = False
        self._writer = writer
        self._window = window
        self._backlog = Backlog()

    @property
    def waiting(self) -> int:
        """Return the number of waiting attempts, without those in flight."""
        return self._backlog.count

    def receive(
        self, sender: str, claim_request: ClaimKey, now: float, wall: float
    ) -> list[Reply]:
        """Decide on an attempt.

        :param sender: entry that sent the message.
        :param claim_request: message of the entry.
        :param now: monotonic seconds.
        :param wall: Unix time in seconds.
        """
        parsed = parse_key(claim_request.key)
        if isinstance(parsed, Err):
            attempt = Attempt(sender, claim_request, b'', now)
            return [attempt.refuse(parsed.err_value)]
        margin = min(EARLY_REFUSAL_SECONDS, claim_request.wait / 2)
        deadline = now + claim_request.wait - margin
        attempt = Attempt(sender, claim_request, parsed.ok_value, deadline)
        return self._decide(attempt, wall)

    def record_outcome(
        self, report: RecordOutcome, now: float, wall: float
    ) -> list[Reply]:
        """Queue the outcome of an attempt for the next write.

        :param report: outcome as the entry reports it.
        :param now: monotonic seconds.
        :param wall: Unix time in seconds.
        """
        parsed = parse_key(report.key)
        if isinstance(parsed, Err):
            return []
        key = parsed.ok_value
        if report.released and self._backlog.withdraw(key, report.attempt):
            return self._decide_waiters(key, wall)
        self._backlog.waiters.remove(key, report.attempt)
        if self._may_hold_claim(key, report.attempt):
            self._backlog.outcomes.add(_make_row(key, report), now)
        return []

    def find_due_time(self) -> float | None:
        """Return the monotonic time at which the next write is due.

        :returns: a time in the past for a write that is due now, ``None``
            when nothing waits for a write.
        """
        return self._backlog.find_due_time()

    def refuse_timed_out(self, now: float, wall: float) -> list[Reply]:
        """Refuse the attempts whose deadline has passed."""
        withdrawn = self._backlog.pop_timed_out_claims(now)
        timed_out = [*withdrawn, *self._backlog.mark_timed_out_in_flight(now)]
        replies = _refuse_all(timed_out, self._make_timeout_failure())
        denied = self._backlog.pop_timed_out_denials(now)
        replies.extend(_refuse_all(denied, _make_key_expired(Outcome.UNKNOWN)))
        replies.extend(self._backlog.waiters.refuse_timed_out(now))
        for attempt in withdrawn:
            replies.extend(self._decide_waiters(attempt.key, wall))
        return replies

    def is_full(self, wall: float) -> bool:
        """Return whether the ring has no slot for the next record."""
        return self.ring.is_full(self._window, wall)

    def refuse_full(self) -> list[Reply]:
        """Refuse the attempts that wait for a write while the ring is full."""
        attempts = self._backlog.pop_queued()
        keys = [attempt.key for attempt in attempts]
        for key in keys:
            attempts.extend(self._backlog.waiters.pop(key))
        failure = Failure(ErrorKind.OVERLOADED, 'the claim ring is full')
        return _refuse_all(attempts, failure)

    def refuse_all(self) -> list[Reply]:
        """Refuse all attempts when this process stops being the owner."""
        attempts = self._backlog.pop_all()
        attempts.extend(self._backlog.pop_in_flight())
        failure = Failure(ErrorKind.NOT_READY, 'the claim owner leaves')
        return _refuse_all(attempts, failure)

    def start_write(self, wall: float) -> Write:
        """Build the next record and mark the write as in flight."""
        self.ring.forget_expired(self._window, wall)
        return self._backlog.start_write(
            self.ring.size,
            self.ring.sequence + 1,
            self._writer,
            self.ring.next_floor,
        )

    def finish_write(self, revision: int, wall: float) -> list[Reply]:
        """Answer the attempts of the write in flight, which succeeded."""
        write = self._backlog.end_write()
        self.store_down = False
        replies = self.apply_record(write.record, revision, wall)
        replies.extend(_grant(attempt) for attempt in write.list_open())
        replies.extend(
            denial.attempt.refuse(denial.failure) for denial in write.denials
        )
        replies.extend(
            _refuse_all(write.expired, _make_key_expired(Outcome.NOT_RUN))
        )
        for attempt in write.expired:
            replies.extend(self._decide_waiters(attempt.key, wall))
        return replies

    def fail_write(self, wall: float) -> list[Reply]:
        """Decide all attempts again after a write that can't take effect.

        The records that other owners wrote must have been applied before.
        """
        write = self._backlog.end_write()
        self._backlog.outcomes.requeue(write.record.outcomes)
        attempts = write.list_all_open()
        attempts.extend(self._backlog.pop_all())
        return self._decide_all(attempts, wall)

    def apply_record(
        self, record: RingSlotRecord, revision: int, wall: float
    ) -> list[Reply]:
        """Apply a record of the log and answer the waiters of its outcomes."""
        self.ring.apply(record, revision)
        replies: list[Reply] = []
        for row in record.outcomes:
            replies.extend(self._decide_waiters(row.key, wall))
        return replies

    def _may_hold_claim(self, key: bytes, number: int) -> bool:
        row = self.ring.find_claim(key)
        return row is None or unpack_claim(row).attempt == number

    def _decide_waiters(self, key: bytes, wall: float) -> list[Reply]:
        return self._decide_all(self._backlog.waiters.pop(key), wall)

    def _decide_all(
        self, attempts: Iterable[Attempt], wall: float
    ) -> list[Reply]:
        replies: list[Reply] = []
        for attempt in attempts:
            replies.extend(self._decide(attempt, wall))
        return replies

    def _decide(self, attempt: Attempt, wall: float) -> list[Reply]:
        pending = self._backlog.find_pending(attempt.key)
        if pending is not None:
            return self._decide_pending(attempt, pending)
        row = self.ring.find_claim(attempt.key)
        if row is not None:
            return self._decide_claimed(attempt, row)
        return self._decide_new(attempt, wall)

    def _decide_pending(
        self, attempt: Attempt, pending: Attempt
    ) -> list[Reply]:
        if attempt.claim_request.attempt == pending.claim_request.attempt:
            self._backlog.add_claim(attempt)
            return []
        if (
            attempt.claim_request.fingerprint
            != pending.claim_request.fingerprint
        ):
            return [attempt.refuse(Failure(ErrorKind.KEY_REUSED))]
        return self._add_waiter(attempt)

    def _decide_claimed(self, attempt: Attempt, packed: bytes) -> list[Reply]:
        claim = unpack_claim(packed)
        if attempt.claim_request.fingerprint != claim.fingerprint:
            return [attempt.refuse(Failure(ErrorKind.KEY_REUSED))]
        outcome = self.ring.find_outcome(attempt.key)
        if outcome is not None:
            return [_repeat(attempt, outcome)]
        if attempt.claim_request.attempt == claim.attempt:
            return [_grant(attempt)]
        return self._add_waiter(attempt)

    def _add_waiter(self, attempt: Attempt) -> list[Reply]:
        if self.waiting >= MAX_WAITING_ATTEMPTS:
            return [attempt.refuse(Failure(ErrorKind.ALREADY_CLAIMED))]
        self._backlog.waiters.add(attempt)
        return []

    def _decide_new(self, attempt: Attempt, wall: float) -> list[Reply]:
        if read_key_time(attempt.key) <= self.ring.floor:
            return [attempt.refuse(_make_key_expired(Outcome.UNKNOWN))]
        claims_in_memory = self.ring.claim_count + self.waiting
        if (
            self.waiting >= MAX_WAITING_ATTEMPTS
            or claims_in_memory >= MAX_CLAIMS
        ):
            return [attempt.refuse(Failure(ErrorKind.OVERLOADED))]
        if self._window.classify(attempt.key, wall) is KeyAge.IN_WINDOW:
            self._backlog.add_claim(attempt)
        else:
            denial = Denial(attempt, _make_key_expired(Outcome.NOT_RUN))
            self._backlog.denials.append(denial)
        return []

    def _make_timeout_failure(self) -> Failure:
        if self.store_down:
            return Failure(ErrorKind.STORE_UNAVAILABLE)
        return Failure(ErrorKind.DEADLINE_EXCEEDED)


def _grant(attempt: Attempt) -> Reply:
    granted = ClaimGranted(
        attempt.claim_request.key, attempt.claim_request.attempt
    )
    return Reply(attempt.sender, granted)


def _refuse_all(attempts: Iterable[Attempt], failure: Failure) -> list[Reply]:
    return [attempt.refuse(failure) for attempt in attempts]


def _make_row(key: bytes, report: RecordOutcome) -> OutcomeRow:
    return OutcomeRow(
        key,
        report.attempt,
        report.released,
        report.status,
        report.content_type,
        report.body,
    )


def _make_key_expired(outcome: Outcome) -> Failure:
    return Failure(ErrorKind.KEY_EXPIRED, known_outcome=outcome)


def _repeat(attempt: Attempt, outcome: OutcomeRow) -> Reply:
    answer = ClaimRepeated(
        attempt.claim_request.key,
        attempt.claim_request.attempt,
        outcome.status,
        outcome.content_type,
        outcome.body,
    )
    return Reply(attempt.sender, answer)
