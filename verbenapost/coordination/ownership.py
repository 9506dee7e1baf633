"""Selection of the member that owns a role, by rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def pick_owner(role: str, members: Iterable[str]) -> str | None:
    """Return the member that owns a role.

    Explanation
    ===========

    A member's score is the hash of role and member name; the member with the
    highest score owns the role. When a member leaves, only its own roles move.
    The result is a hint: members whose views differ may select different
    owners, so each durable step still requires a compare-and-swap.

    Examples
    ========

    >>> members = ['a', 'b', 'c']
    >>> pick_owner('queue/booking', members)
    'a'
    >>> pick_owner('queue/booking', reversed(members))
    'a'
    >>> pick_owner('queue/booking', ['a', 'b'])
    'a'
    >>> pick_owner('queue/booking', []) is None
    True

    :param role: role name, such as ``queue/booking``.
    :param members: names of the live members, in any order.
    :returns: name of the owner, or ``None`` without members.
    """
    ranked = rank_members(role, members)
    return ranked[0] if ranked else None


def rank_members(role: str, members: Iterable[str]) -> tuple[str, ...]:
    """Return the members in order of preference as owner of a role.

    :param role: role name.
    :param members: names of the live members, in any order.
    """
    return tuple(
        sorted(
            members,
            key=lambda member: (_score(role, member), member),
            reverse=True,
        )
    )


def _score(role: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{role}\x00{member}'.encode())
