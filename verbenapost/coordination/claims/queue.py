"""Attempts and outcomes that wait for the next write of a claim ring."""

import dataclasses
from collections import deque
from collections.abc import Iterator
from typing import final

from verbenapost.protocol.claims import (
    ClaimAnswer,
    ClaimKey,
    ClaimRefused,
)
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.claims import ClaimRow, OutcomeRow

#: Maximum claims per write.
MAX_WRITE_CLAIMS = 8192

#: Maximum outcomes per write.
MAX_WRITE_OUTCOMES = 4096

#: Maximum bytes of response bodies per write.
MAX_WRITE_BODY_BYTES = 8 * 1024

#: Maximum outcomes waiting for a write; later ones are not recorded.
MAX_WAITING_OUTCOMES = 20_000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer and the entry that receives it.

    :param sender: entry whose message is answered.
    :param message: answer.
    """

    sender: str
    message: ClaimAnswer


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt to claim a key that has not been answered yet.

    :param sender: entry that sent the attempt.
    :param claim_request: message of the entry.
    :param key: 16-byte form of the idempotency key.
    :param deadline: monotonic time in seconds until which the attempt may
        wait.
    """

    sender: str
    claim_request: ClaimKey
    key: bytes
    deadline: float

    @property
    def row(self) -> ClaimRow:
        """Return the claim row to write."""
        return ClaimRow(
            self.key, self.claim_request.attempt, self.claim_request.fingerprint
        )

    def refuse(self, failure: Failure) -> Reply:
        """Return a reply that refuses the attempt."""
        refusal = ClaimRefused(
            self.claim_request.key,
            self.claim_request.attempt,
            failure.kind,
            failure.outcome,
            failure.detail,
        )
        return Reply(self.sender, refusal)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """A refusal that may be sent only after the next write succeeds.

    Until then another owner may have written a claim of the same key.
    """

    attempt: Attempt
    failure: Failure


class OutcomeQueue:
    """Outcomes waiting for a write, bounded in number and in bytes."""

    def __init__(self) -> None:
        self._rows: deque[OutcomeRow] = deque()
        self._since: float | None = None

    @property
    def since(self) -> float | None:
        """Return the monotonic time at which the queue became non-empty."""
        return self._since if self._rows else None

    def add(self, row: OutcomeRow, now: float) -> None:
        """Append an outcome, or drop the outcome if the queue is full."""
        if len(self._rows) >= MAX_WAITING_OUTCOMES:
            return
        if not self._rows:
            self._since = now
        self._rows.append(row)

    def pop_batch(self) -> tuple[OutcomeRow, ...]:
        """Remove and return the outcomes of the next write.

        Bodies beyond ``MAX_WRITE_BODY_BYTES`` are left out.
        """
        count = min(len(self._rows), MAX_WRITE_OUTCOMES)
        return tuple(self._pop_rows(count))

    def requeue(self, rows: tuple[OutcomeRow, ...]) -> None:
        """Put the outcomes of a failed write back at the head."""
        self._rows.extendleft(reversed(rows))

    def _pop_rows(self, count: int) -> Iterator[OutcomeRow]:
        bytes_left = MAX_WRITE_BODY_BYTES
        for _ in range(count):
            row = self._rows.popleft()
            bytes_left -= len(row.body or b'')
            if bytes_left < 0:
                row = dataclasses.replace(row, body=None)
            yield row


class Waiters:
    """Attempts waiting for the outcome of another claim, by key."""

    def __init__(self) -> None:
        self._by_key: dict[bytes, list[Attempt]] = {}
        self.count = 0

    def add(self, attempt: Attempt) -> None:
        """Append an attempt; a repeated attempt replaces its earlier entry."""
        self.remove(attempt.key, attempt.claim_request.attempt)
        self._by_key.setdefault(attempt.key, []).append(attempt)
        self.count += 1

    def remove(self, key: bytes, number: int) -> None:
        """Remove the attempt with a number, if present."""
        waiting = self._by_key.pop(key, [])
        kept = [
            waiter
            for waiter in waiting
            if waiter.claim_request.attempt != number
        ]
        self.count -= len(waiting) - len(kept)
        if kept:
            self._by_key[key] = kept

    def pop(self, key: bytes) -> list[Attempt]:
        """Remove and return the attempts that wait on a key."""
        waiting = self._by_key.pop(key, [])
        self.count -= len(waiting)
        return waiting

    def pop_all(self) -> list[Attempt]:
        """Remove and return all attempts."""
        keys = list(self._by_key)
        return [attempt for key in keys for attempt in self.pop(key)]

    def refuse_timed_out(self, now: float) -> list[Reply]:
        """Remove and refuse the attempts whose deadline has passed."""
        timed_out = [
            attempt
            for waiting in self._by_key.values()
            for attempt in waiting
            if attempt.deadline <= now
        ]
        replies: list[Reply] = []
        for attempt in timed_out:
            self.remove(attempt.key, attempt.claim_request.attempt)
            replies.append(attempt.refuse(Failure(ErrorKind.ALREADY_CLAIMED)))
        return replies
