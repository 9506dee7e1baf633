"""Slots that an entry may use while no queue owner answers."""

from collections.abc import Collection, Iterable
from typing import final

import xxhash

from verbenapost.coordination.targets import Target


@final
class StaticShares:
    """An entry's own part of every target's slots.

    Explanation
    ===========

    Slots are divided by the number of members. What is left over goes to the
    members that a rendezvous hash ranks first for the target, so that the
    parts of all members that agree on the member list add up to the slots.

    Examples
    ========

    >>> shares = StaticShares('e-1')
    >>> shares.set_members(['e-1', 'e-2'])
    >>> shares.set_targets([Target('vm-1', '127.0.0.1:80', 4)])
    >>> shares.count_slots()
    2
    >>> shares.acquire().name
    'vm-1'
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._names: tuple[str, ...] = (entry,)
        self._by_name: dict[str, Target] = {}
        self._used: dict[str, int] = {}

    def set_members(self, members: Iterable[str]) -> None:
        """Replace the live members; this entry always counts."""
        self._names = tuple(sorted({self._entry, *members}))

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Replace the targets in service."""
        self._by_name = {target.name: target for target in targets}

    def mark_leaving(self, target: str) -> None:
        """Use a target no more."""
        self._by_name.pop(target, None)

    def count_slots(self) -> int:
        """Return the slots of the share."""
        return sum(map(self._count_share, self._by_name.values()))

    def acquire(self, avoid: Collection[str] = ()) -> Target | None:
        """Take a slot of the least used target.

        :param avoid: names to pass over while any other is free.
        """
        free = [row for row in self._by_name.values() if self._has_free(row)]
        others = [target for target in free if target.name not in avoid]
        candidates = others or free
        if not candidates:
            return None
        target = min(candidates, key=self._count_used)
        self.occupy(target.name)
        return target

    def occupy(self, target: str) -> None:
        """Count a slot that the owner of the queue granted."""
        self._used[target] = self._used.get(target, 0) + 1

    def release(self, target: str) -> None:
        """Give a slot back."""
        left = self._used.get(target, 0) - 1
        if left > 0:
            self._used[target] = left
        else:
            self._used.pop(target, None)

    def _count_used(self, target: Target) -> int:
        return self._used.get(target.name, 0)

    def _has_free(self, target: Target) -> bool:
        return self._count_used(target) < self._count_share(target)

    def _count_share(self, target: Target) -> int:
        each, rest = divmod(target.slots, len(self._names))
        return each + (self._entry in self._rank_members(target.name)[:rest])

    def _rank_members(self, target: str) -> list[str]:
        return sorted(
            self._names,
            key=lambda member: xxhash.xxh64_intdigest(
                f'{target}/{member}'.encode()
            ),
        )
