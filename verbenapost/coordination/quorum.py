"""Rules that count members."""

import dataclasses
import enum
from collections.abc import Collection, Mapping
from typing import final

from verbenapost.state.members import MemberRecord, Members, MemberSet


@enum.unique
class Status(enum.StrEnum):
    """How a daemon stands to the store and to the other members."""

    STARTING = 'starting'
    FRESH = 'fresh'
    OUTAGE = 'outage'
    ISOLATED = 'isolated'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SetWrite:
    """A compare-and-swap of the member set.

    :param expected: revision that the set's key must have.
    :param member_set: new value.
    """

    expected: int
    member_set: MemberSet


def holds_majority(
    members: Collection[str],
    touched: Collection[str],
) -> bool:
    """Tell whether more than half of the members are touched.

    Examples
    ========

    >>> holds_majority({'a', 'b', 'c'}, {'a', 'b', 'x'})
    True
    >>> holds_majority({'a', 'b'}, {'a'})
    False
    >>> holds_majority((), ())
    True
    """
    count = len(set(members))
    return count == 0 or 2 * len(set(members) & set(touched)) > count


def holds_both(
    member_set: MemberSet,
    gone: Collection[str],
    touched: Collection[str],
) -> bool:
    """Tell whether a majority is touched, before and after a change.

    A member that knows of a change can't tell whether it has been made, so
    it counts by both sets.

    :param gone: members that are left out of the count.
    """
    before = set(member_set.members) - set(gone)
    after = (
        before
        if member_set.intent is None
        else set(member_set.intent.target) - set(gone)
    )
    return holds_majority(before, touched) and holds_majority(after, touched)


def list_taken(
    members: Members,
    alive: Mapping[str, MemberRecord],
) -> frozenset[str]:
    """Return the members whose place a newer process has taken.

    The process with the old identity is dead, and the new one has forgotten
    what the old one confirmed. Neither counts for a change.

    :param alive: records of the life keys; ``since`` is the key's revision.
    """
    return frozenset(
        name
        for name, record in members.items()
        if name in alive
        and alive[name].identity != record.identity
        and alive[name].since > record.since
    )
