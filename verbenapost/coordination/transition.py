"""Transition from one member set to the next."""

import math
from collections.abc import Collection, Mapping, Sequence
from typing import final

from verbenapost.coordination.quorum import holds_majority
from verbenapost.state.members import MemberRecord, MemberSet

#: Bits in one byte.
BITS_PER_BYTE = 8


@final
class SetTransition:
    """Confirmations of the pending change of a member set.

    Explanation
    ===========

    A change is committed only once a majority of the current members have
    confirmed that they know of it, and twice the view timeout has passed
    since, unless every member has confirmed. Only a process that joined the
    set with its present identity can confirm.

    Members that know of the change don't count as contacts of members that
    don't. After the wait, members that don't know of the change therefore
    have no reachable majority left and have stopped accepting work.

    :param member_set: member set with its intent.
    :param adopted_at: local time at which the set was adopted.
    """

    def __init__(self, member_set: MemberSet, adopted_at: float) -> None:
        self.member_set = member_set
        self.adopted_at = adopted_at
        self.confirmed: dict[str, float] = {}

    def confirm(self, record: MemberRecord) -> None:
        """Confirm for this process if it is the one that joined the set.

        :param record: record of this process.
        """
        known = self.member_set.members.get(record.name)
        if known is not None and known.identity == record.identity:
            self.confirmed[record.name] = self.adopted_at

    def encode(self) -> bytes:
        """Return one bit per member, set for confirmed members."""
        return encode_bits(self.member_set.order, self.confirmed)

    def merge(self, bits: bytes, now: float) -> None:
        """Merge the confirmations that another member knows of."""
        for name in decode_bits(self.member_set.order, bits):
            self.confirmed.setdefault(name, now)

    def list_blockers(
        self,
        now: float,
        wait: float,
        excluded: Collection[str],
    ) -> tuple[str, ...]:
        """Return the members that the change waits for.

        :param now: monotonic time in seconds.
        :param wait: seconds to wait for the remaining members after a
            majority has confirmed.
        :param excluded: members that are known to be dead.
        :returns: members without a confirmation; empty if the change can be
            committed.
        """
        counted = set(self.member_set.members) - set(excluded)
        waiting = tuple(sorted(counted - self.confirmed.keys()))
        elapsed = {
            name
            for name, confirmed_at in self.confirmed.items()
            if now - confirmed_at >= wait
        }
        return () if holds_majority(counted, elapsed) else waiting


def encode_bits(order: Sequence[str], names: Collection[str]) -> bytes:
    """Return one bit per name, in the given order.

    Examples
    ========

    >>> bits = encode_bits(['a', 'b', 'c'], {'a', 'c'})
    >>> list(bits)
    [5]
    >>> sorted(decode_bits(['a', 'b', 'c'], bits))
    ['a', 'c']
    """
    mask = sum(
        1 << position for position, name in enumerate(order) if name in names
    )
    return mask.to_bytes(math.ceil(len(order) / BITS_PER_BYTE), 'little')


def decode_bits(order: Sequence[str], bits: bytes) -> set[str]:
    """Return the names whose bits are set."""
    mask = int.from_bytes(bits, 'little')
    return {name for position, name in enumerate(order) if mask >> position & 1}


def choose_target(
    member_set: MemberSet,
    alive: Mapping[str, MemberRecord],
    lost: Collection[str],
) -> dict[str, MemberRecord]:
    """Return the members that the next set should contain.

    :param alive: records of the liveness keys.
    :param lost: members without contact for the removal delay, or whose VM
        no longer exists; they stay if they have a liveness key.
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
