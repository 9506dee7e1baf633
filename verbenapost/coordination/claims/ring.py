"""What one owner knows of a claim ring."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import final

from verbenapost.coordination.claims.keys import KeyWindow
from verbenapost.protocol.store import NO_REVISION
from verbenapost.state.claims import (
    CLAIMS_PREFIX,
    OutcomeRow,
    SlotRecord,
    read_claim_attempt,
    read_claim_key,
    read_key_time,
    split_claims,
)

#: Slots that one list call reads.
GROUP_SLOTS = 256

#: Bytes of answers' bodies held in memory.
MAX_BODY_BYTES = 33_554_432


@enum.unique
class Fit(enum.Enum):
    """How a slot read from the store fits what is known."""

    NEXT = 'next'
    OLD = 'old'
    GAP = 'gap'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Slot:
    sequence: int
    revision: int
    newest: int
    rows: tuple[bytes, ...]


class Ring:
    """Claims and outcomes of a ring up to the newest known record.

    Explanation
    ===========

    The records form one log: number ``s`` lies in slot ``s mod size`` and is
    written by a swap on the revision of the record before it in that slot.
    Whoever succeeds with number ``s`` has therefore seen every record before
    it. Absence of a key proves nothing until a write of one's own succeeded.

    A record that overwrites another raises the floor to the newest key time
    in the overwritten one, so that no owner claims a forgotten key anew,
    whatever its clock says.

    :param shard: number of the claim shard.
    :param size: slots; an existing ring keeps the size that it has.
    """

    def __init__(self, shard: int, size: int) -> None:
        self.shard = shard
        self.size = size
        self.sequence = 0
        self.floor = 0
        self._slots: dict[int, _Slot] = {}
        self._claims: dict[bytes, bytes] = {}
        self._outcomes: dict[bytes, OutcomeRow] = {}
        self._body_bytes = 0

    @property
    def claim_count(self) -> int:
        """Return the number of keys that are remembered."""
        return len(self._claims)

    @property
    def next_key(self) -> str:
        """Return the store key of the next record."""
        return self.make_key(self.sequence + 1)

    @property
    def next_revision(self) -> int:
        """Return the revision that the next record replaces."""
        slot = self._slots.get((self.sequence + 1) % self.size)
        return slot.revision if slot else NO_REVISION

    @property
    def next_floor(self) -> int:
        """Return the floor that the next record must carry."""
        slot = self._slots.get((self.sequence + 1) % self.size)
        return max(self.floor, slot.newest) if slot else self.floor

    def list_prefixes(self) -> list[str]:
        """Return the prefixes that cover all slots."""
        groups = (self.size + GROUP_SLOTS - 1) // GROUP_SLOTS
        return [self._make_prefix(group) for group in range(groups)]

    def make_key(self, sequence: int) -> str:
        """Return the store key of the record with a number."""
        index = sequence % self.size
        return f'{self._make_prefix(index // GROUP_SLOTS)}{index}'

    def is_full(self, window: KeyWindow, wall: float) -> bool:
        """Return whether the next slot still holds living keys."""
        slot = self._slots.get((self.sequence + 1) % self.size)
        return slot is not None and not window.is_over(slot.newest, wall)

    def find_claim(self, key: bytes) -> bytes | None:
        """Return the packed claim of a key."""
        return self._claims.get(key)

    def find_outcome(self, key: bytes) -> OutcomeRow | None:
        """Return the outcome of a key's claim."""
        return self._outcomes.get(key)

    def start_at(self, sequence: int) -> None:
        """Set the number of the first record that an empty ring takes in."""
        self.sequence = sequence - 1

    def append_all(self, loaded: Sequence[tuple[SlotRecord, int]]) -> bool:
        """Take in consecutive records.

        :param loaded: records with their revisions.
        :returns: whether they continue the log.
        """
        return all(self._append(*pair) for pair in loaded)

    def judge(self, record: SlotRecord) -> Fit:
        """Return how a record read from the next slot fits."""
        if record.size != self.size or record.sequence > self.sequence + 1:
            return Fit.GAP
        if record.sequence <= self.sequence:
            return Fit.OLD
        return Fit.NEXT

    def apply(self, record: SlotRecord, revision: int) -> None:
        """Take in the next record of the log."""
        index = record.sequence % self.size
        self._forget(index)
        rows = tuple(split_claims(record.claims))
        for outcome in record.outcomes:
            self._apply_outcome(outcome)
        for row in rows:
            self._claims[read_claim_key(row)] = row
        self.sequence = record.sequence
        self.floor = record.floor
        newest = _find_newest(record, rows)
        self._slots[index] = _Slot(record.sequence, revision, newest, rows)

    def _append(self, record: SlotRecord, revision: int) -> bool:
        if self.judge(record) is not Fit.NEXT:
            return False
        self.apply(record, revision)
        return True

    def _make_prefix(self, group: int) -> str:
        return f'{CLAIMS_PREFIX}{self.shard}/{group}/'

    def _forget(self, index: int) -> None:
        slot = self._slots.pop(index, None)
        if slot is None:
            return
        for row in slot.rows:
            key = read_claim_key(row)
            if self._claims.get(key) == row:
                self._drop_claim(key)

    def _drop_claim(self, key: bytes) -> None:
        self._claims.pop(key, None)
        outcome = self._outcomes.pop(key, None)
        if outcome is not None:
            self._body_bytes -= len(outcome.body or b'')

    def _apply_outcome(self, outcome: OutcomeRow) -> None:
        row = self._claims.get(outcome.key)
        if row is None or read_claim_attempt(row) != outcome.attempt:
            return
        if outcome.released:
            self._drop_claim(outcome.key)
            return
        if outcome.key in self._outcomes:
            return
        size = len(outcome.body or b'')
        if self._body_bytes + size > MAX_BODY_BYTES:
            outcome = dataclasses.replace(outcome, body=None)
            size = 0
        self._body_bytes += size
        self._outcomes[outcome.key] = outcome


def _find_newest(record: SlotRecord, rows: tuple[bytes, ...]) -> int:
    newest_row = max(rows, default=b'')
    newest_outcome = max((row.key for row in record.outcomes), default=b'')
    return max(read_key_time(newest_row), read_key_time(newest_outcome))
