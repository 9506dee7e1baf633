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

#: Claims that one write carries.
MAX_WRITE_CLAIMS = 8192

#: Outcomes that one write carries.
MAX_WRITE_OUTCOMES = 4096

#: Bytes of answers' bodies that one write carries.
MAX_WRITE_BODIES = 8 * 1024

#: Outcomes that wait at most; later ones are not recorded.
MAX_WAITING_OUTCOMES = 20_000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer and the sender that it goes to."""

    sender: str
    message: ClaimAnswer


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt that waits for its answer.

    :param sender: entry that asked.
    :param asked: its message.
    :param key: key in its 16 bytes.
    :param deadline: monotonic seconds until which the caller waits.
    """

    sender: str
    asked: ClaimKey
    key: bytes
    deadline: float

    @property
    def row(self) -> ClaimRow:
        """Return the claim to write."""
        return ClaimRow(self.key, self.asked.attempt, self.asked.fingerprint)

    def refuse(self, failure: Failure) -> Reply:
        """Return a refusal."""
        refusal = ClaimRefused(
            self.asked.key,
            self.asked.attempt,
            failure.kind,
            failure.outcome,
            failure.detail,
        )
        return Reply(self.sender, refusal)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """A refusal that is true only once the next write has succeeded."""

    attempt: Attempt
    failure: Failure


class OutcomeQueue:
    """Outcomes that wait for a write, with bounds on number and bytes."""

    def __init__(self) -> None:
        self._rows: deque[OutcomeRow] = deque()
        self._since: float | None = None

    @property
    def since(self) -> float | None:
        """Return since when an outcome waits, in monotonic seconds."""
        return self._since if self._rows else None

    def add(self, row: OutcomeRow, now: float) -> None:
        """Append an outcome; beyond the bound it is dropped."""
        if len(self._rows) >= MAX_WAITING_OUTCOMES:
            return
        if not self._rows:
            self._since = now
        self._rows.append(row)

    def take(self) -> tuple[OutcomeRow, ...]:
        """Return the outcomes of the next write."""
        count = min(len(self._rows), MAX_WRITE_OUTCOMES)
        return tuple(self._drop_bodies(count))

    def put_back(self, rows: tuple[OutcomeRow, ...]) -> None:
        """Return the outcomes of a write that did not take effect."""
        self._rows.extendleft(reversed(rows))

    def _drop_bodies(self, count: int) -> Iterator[OutcomeRow]:
        room = MAX_WRITE_BODIES
        for _ in range(count):
            row = self._rows.popleft()
            room -= len(row.body or b'')
            if room < 0:
                row = dataclasses.replace(row, body=None)
            yield row


class Waiters:
    """Attempts that wait for the outcome of a claim, by key."""

    def __init__(self) -> None:
        self._by_key: dict[bytes, list[Attempt]] = {}
        self.count = 0

    def add(self, attempt: Attempt) -> None:
        """Append an attempt, in place of its earlier question."""
        self.remove(attempt.key, attempt.asked.attempt)
        self._by_key.setdefault(attempt.key, []).append(attempt)
        self.count += 1

    def remove(self, key: bytes, number: int) -> None:
        """Remove an attempt."""
        waiting = self._by_key.pop(key, [])
        kept = [one for one in waiting if one.asked.attempt != number]
        self.count -= len(waiting) - len(kept)
        if kept:
            self._by_key[key] = kept

    def pop(self, key: bytes) -> list[Attempt]:
        """Remove and return the attempts of a key."""
        waiting = self._by_key.pop(key, [])
        self.count -= len(waiting)
        return waiting

    def pop_all(self) -> list[Attempt]:
        """Remove and return all attempts."""
        keys = list(self._by_key)
        return [attempt for key in keys for attempt in self.pop(key)]

    def refuse_late(self, now: float) -> list[Reply]:
        """Remove and refuse the attempts whose callers' time is up."""
        late = [
            attempt
            for waiting in self._by_key.values()
            for attempt in waiting
            if attempt.deadline <= now
        ]
        replies: list[Reply] = []
        for attempt in late:
            self.remove(attempt.key, attempt.asked.attempt)
            replies.append(attempt.refuse(Failure(ErrorKind.ALREADY_CLAIMED)))
        return replies
