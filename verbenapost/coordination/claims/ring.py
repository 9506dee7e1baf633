"""In-memory copy of a claim ring, kept by each owner."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import final

from verbenapost.coordination.claims.keys import KeyWindow
from verbenapost.protocol.store import NO_REVISION
from verbenapost.state.claims import (
    CLAIMS_PREFIX,
    OutcomeRow,
    RingSlotRecord,
    read_claim_attempt,
    read_claim_key,
    read_key_time,
    split_claims,
)

#: Slots per key prefix, and so per list call.
GROUP_SLOTS = 256

#: Maximum bytes of response bodies held in memory.
MAX_BODY_BYTES = 33_554_432


@enum.unique
class RecordOrder(enum.Enum):
    """Position of a stored record relative to the known end of the log.

    ``NEXT`` continues the log, ``OLD`` is not newer than the known end, and
    ``GAP`` can't be appended because earlier records are missing or the ring
    size differs.
    """

    NEXT = 'next'
    OLD = 'old'
    GAP = 'gap'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Slot:
    sequence: int
    revision: int
    newest_key_time: int
    rows: tuple[bytes, ...]


class Ring:
    """Claims and outcomes of a ring, up to the newest known record.

    Explanation
    ===========

    The records form one log: record ``s`` is in slot ``s mod size`` and is
    written by a compare-and-swap on the revision of the previous record in
    that slot. An owner that writes record ``s`` has therefore seen every
    earlier record. Absence of a key proves nothing until a write of this
    owner has succeeded.

    A record that overwrites another raises the floor to the newest key time
    in the overwritten record, so that no owner claims a forgotten key again,
    whatever that owner's clock says.

    :param shard: number of the claim shard.
    :param size: number of slots; an existing ring keeps its size.
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
        self._oldest_sequence = 1

    @property
    def claim_count(self) -> int:
        """Return the number of keys in the ring."""
        return len(self._claims)

    @property
    def next_key(self) -> str:
        """Return the store key of the next record."""
        return self.make_key(self.sequence + 1)

    @property
    def next_revision(self) -> int:
        """Return the revision that the next record must replace."""
        slot = self._slots.get((self.sequence + 1) % self.size)
        return slot.revision if slot else NO_REVISION

    @property
    def next_floor(self) -> int:
        """Return the floor of the next record, in Unix milliseconds."""
        slot = self._slots.get((self.sequence + 1) % self.size)
        return max(self.floor, slot.newest_key_time) if slot else self.floor

    def list_prefixes(self) -> list[str]:
        """Return the store key prefixes that cover all slots."""
        groups = (self.size + GROUP_SLOTS - 1) // GROUP_SLOTS
        return [self._make_prefix(group) for group in range(groups)]

    def make_key(self, sequence: int) -> str:
        """Return the store key of a record."""
        index = sequence % self.size
        return f'{self._make_prefix(index // GROUP_SLOTS)}{index}'

    def is_full(self, window: KeyWindow, wall: float) -> bool:
        """Return whether the next slot still holds keys that may be used."""
        slot = self._slots.get((self.sequence + 1) % self.size)
        return slot is not None and not window.is_expired(
            slot.newest_key_time, wall
        )

    def find_claim(self, key: bytes) -> bytes | None:
        """Return the packed claim of a key."""
        return self._claims.get(key)

    def find_outcome(self, key: bytes) -> OutcomeRow | None:
        """Return the outcome of the claim of a key."""
        return self._outcomes.get(key)

    def start_at(self, sequence: int) -> None:
        """Set the sequence number of the first record of an empty ring."""
        self.sequence = sequence - 1
        self._oldest_sequence = sequence

    def append_all(self, records: Sequence[tuple[RingSlotRecord, int]]) -> bool:
        """Apply consecutive records.

        :param records: records with their revisions.
        :returns: whether the records continue the log without a gap.
        """
        return all(self._append(*pair) for pair in records)

    def classify(self, record: RingSlotRecord) -> RecordOrder:
        """Return the position of a record that was read from the next slot."""
        if record.size != self.size or record.sequence > self.sequence + 1:
            return RecordOrder.GAP
        if record.sequence <= self.sequence:
            return RecordOrder.OLD
        return RecordOrder.NEXT

    def forget_expired(self, window: KeyWindow, wall: float) -> None:
        """Drop the claims of slots whose keys are all too old.

        The floor rises to the newest dropped key, also in the next record,
        so that a clock that is set back does not make a forgotten key
        acceptable.
        """
        self._oldest_sequence = max(
            self._oldest_sequence, self.sequence - self.size + 1
        )
        while self._oldest_sequence <= self.sequence:
            index = self._oldest_sequence % self.size
            slot = self._slots[index]
            if not window.is_expired(slot.newest_key_time, wall):
                break
            self._forget(index)
            self._slots[index] = dataclasses.replace(slot, rows=())
            self.floor = max(self.floor, slot.newest_key_time)
            self._oldest_sequence += 1

    def apply(self, record: RingSlotRecord, revision: int) -> None:
        """Apply the next record of the log."""
        index = record.sequence % self.size
        self._forget(index)
        rows = tuple(split_claims(record.claims))
        for outcome in record.outcomes:
            self._apply_outcome(outcome)
        for row in rows:
            self._claims[read_claim_key(row)] = row
        self.sequence = record.sequence
        self.floor = max(self.floor, record.floor)
        newest_key_time = _find_newest_key_time(record, rows)
        self._slots[index] = _Slot(
            record.sequence, revision, newest_key_time, rows
        )

    def _append(self, record: RingSlotRecord, revision: int) -> bool:
        if self.classify(record) is not RecordOrder.NEXT:
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


def _find_newest_key_time(
    record: RingSlotRecord, rows: tuple[bytes, ...]
) -> int:
    newest_row = max(rows, default=b'')
    newest_outcome = max((row.key for row in record.outcomes), default=b'')
    return max(read_key_time(newest_row), read_key_time(newest_outcome))
