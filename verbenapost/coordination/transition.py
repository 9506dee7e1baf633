"""Decisions on a change of the member set."""

import math
from collections.abc import Collection, Mapping, Sequence
from typing import final

from verbenapost.coordination.quorum import holds_majority
from verbenapost.state.members import MemberRecord, MemberSet

#: Bits of a byte.
BYTE_BITS = 8


@final
class Changeover:
    """Confirmations of the change that is under way.

    Explanation
    ===========

    A change is made only when a majority of the set before it knows of it,
    by processes that joined with their present identity, and when twice the
    view timeout has passed since, unless every member knows. Whoever knows of
    the change is no contact for those who don't. After that time these have
    no majority in touch any more and have stopped taking work.

    :param member_set: set with its intent.
    :param seen_at: own time at which it was adopted.
    """

    def __init__(self, member_set: MemberSet, seen_at: float) -> None:
        self.member_set = member_set
        self.seen_at = seen_at
        self.confirmed: dict[str, float] = {}

    def confirm(self, record: MemberRecord) -> None:
        """Count the own process if it is the one that joined the set."""
        known = self.member_set.members.get(record.name)
        if known is not None and known.identity == record.identity:
            self.confirmed[record.name] = self.seen_at

    def encode(self) -> bytes:
        """Return one bit for each member, in the order of the set."""
        return encode_bits(self.member_set.order, self.confirmed)

    def merge(self, row: bytes, now: float) -> None:
        """Take over the confirmations that another member knows."""
        for name in decode_bits(self.member_set.order, row):
            self.confirmed.setdefault(name, now)

    def list_blockers(
        self,
        now: float,
        wait: float,
        excluded: Collection[str],
    ) -> tuple[str, ...]:
        """Return the members that the change waits for; none: make it.

        :param wait: seconds to wait for the others once a majority knows.
        :param excluded: members that are known to be dead.
        """
        counted = set(self.member_set.members) - set(excluded)
        waiting = tuple(sorted(counted - self.confirmed.keys()))
        elapsed = {
            name
            for name, moment in self.confirmed.items()
            if now - moment >= wait
        }
        return () if holds_majority(counted, elapsed) else waiting


def encode_bits(order: Sequence[str], names: Collection[str]) -> bytes:
    """Return one bit for each name of the order.

    Examples
    ========

    >>> row = encode_bits(['a', 'b', 'c'], {'a', 'c'})
    >>> list(row)
    [5]
    >>> sorted(decode_bits(['a', 'b', 'c'], row))
    ['a', 'c']
    """
    mask = sum(1 << place for place, name in enumerate(order) if name in names)
    return mask.to_bytes(math.ceil(len(order) / BYTE_BITS), 'little')


def decode_bits(order: Sequence[str], row: bytes) -> set[str]:
    """Return the names whose bits are set."""
    mask = int.from_bytes(row, 'little')
    return {name for place, name in enumerate(order) if mask >> place & 1}


def choose_target(
    member_set: MemberSet,
    alive: Mapping[str, MemberRecord],
    lost: Collection[str],
) -> dict[str, MemberRecord]:
    """Return the members that the set should have.

    :param alive: records of the life keys.
    :param lost: members without a life key that have been silent for long,
        or whose VM is gone.
    """
    target = {
        name: record
        for name, record in member_set.members.items()
        if name not in lost or name in alive
    }
    for name, record in alive.items():
        known = target.get(name)
        if known is None or record.since > known.since:
            target[name] = record
    return target
