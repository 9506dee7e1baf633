"""Majority rules of the member set."""

import dataclasses
import enum
from collections.abc import Collection, Mapping
from typing import final

from verbenapost.state.members import MemberRecord, Members, MemberSet


@enum.unique
class Status(enum.StrEnum):
    """Freshness of a daemon's views and connection to the other members.

    ``STARTING``: the member set is not known yet. ``FRESH``: the views were
    confirmed within the view timeout. ``OUTAGE``: no member is known to be
    fresh, so the store is down, and a majority of the members is reachable.
    ``ISOLATED``: a member is known to be fresh, or no majority is reachable.
    """

    STARTING = 'starting'
    FRESH = 'fresh'
    OUTAGE = 'outage'
    ISOLATED = 'isolated'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SetWrite:
    """A compare-and-swap of the member set.

    :param expected: revision that the key must have.
    :param member_set: new member set.
    """

    expected: int
    member_set: MemberSet


def holds_majority(
    members: Collection[str],
    reachable: Collection[str],
) -> bool:
    """Return whether more than half of the members are reachable.

    An empty set of members has a majority.

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
    return count == 0 or 2 * len(set(members) & set(reachable)) > count


def holds_both_majorities(
    member_set: MemberSet,
    deleted: Collection[str],
    reachable: Collection[str],
) -> bool:
    """Return whether majorities of the current and next sets are reachable.

    A member that knows of a pending change can't know whether the change has
    been committed, so a majority is required in both sets.

    :param deleted: members to leave out of both sets.
    """
    before = set(member_set.members) - set(deleted)
    after = (
        before
        if member_set.intent is None
        else set(member_set.intent.target) - set(deleted)
    )
    return holds_majority(before, reachable) and holds_majority(
        after, reachable
    )


def list_superseded(
    members: Members,
    alive: Mapping[str, MemberRecord],
) -> frozenset[str]:
    """Return the members that a newer process of the same name replaces.

    The process with the old identity is dead, and the new one does not know
    what the old one confirmed. Neither counts for a pending change.

    :param alive: records of the liveness keys; ``since`` is the key's
        revision.
    """
    return frozenset(
        name
        for name, record in members.items()
        if name in alive
        and alive[name].identity != record.identity
        and alive[name].since > record.since
    )
