"""Live members and the roles that each of them owns."""

from collections.abc import Iterable
from typing import final

from verbenapost.coordination.ownership import pick_owner


@final
class Roster:
    """Live members as one daemon sees them.

    Examples
    ========

    >>> roster = Roster('a')
    >>> roster.replace(['a', 'b'])
    True
    >>> roster.find_owner('queue/booking') in roster.members
    True

    :param name: name of this daemon.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.members: frozenset[str] = frozenset()

    def replace(self, members: Iterable[str]) -> bool:
        """Replace the members and return whether they changed."""
        known = frozenset(members)
        changed = known != self.members
        self.members = known
        return changed

    def find_owner(self, role: str) -> str | None:
        """Return the member that owns a role, ``None`` without members."""
        return pick_owner(role, self.members)

    def find_queue_owner(self, service: str) -> str | None:
        """Return the owner of a service's queue."""
        return self.find_owner(f'queue/{service}')

    def owns(self, role: str) -> bool:
        """Return whether this daemon owns a role."""
        return self.find_owner(role) == self.name
