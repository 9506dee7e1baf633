"""Static slot shares of an entry, for use without a queue owner."""

from collections.abc import Collection, Iterable
from typing import final

import xxhash

from verbenapost.coordination.targets import Target


@final
class StaticShares:
    """The slots of each target that one entry may use by itself.

    Explanation
    ===========

    The slots of a target are divided by the number of members. The remainder
    goes to the members that a rendezvous hash ranks first for the target, so
    the shares of all members that agree on the member list add up to the
    slots of the target.

    Examples
    ========

    >>> shares = StaticShares('e-1')
    >>> shares.set_members(['e-1', 'e-2'])
    >>> shares.set_targets([Target('vm-1', '127.0.0.1:80', 4)])
    >>> shares.count_slots()
    2
    >>> shares.acquire().name
    'vm-1'

    :param entry: name of this daemon.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._members: tuple[str, ...] = (entry,)
        self._by_name: dict[str, Target] = {}
        self._used: dict[str, int] = {}

    def set_members(self, members: Iterable[str]) -> None:
        """Replace the live members; this entry is always one of them."""
        self._members = tuple(sorted({self._entry, *members}))

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Replace the targets of the service."""
        self._by_name = {target.name: target for target in targets}

    def mark_leaving(self, target: str) -> None:
        """Stop using a target that is leaving."""
        self._by_name.pop(target, None)

    def count_slots(self) -> int:
        """Return the number of slots in the share."""
        return sum(map(self._count_share, self._by_name.values()))

    def acquire(self, avoid: Collection[str] = ()) -> Target | None:
        """Acquire a slot of the least used target.

        :param avoid: names of targets to skip while any other is free.
        :returns: the target, or ``None`` when no slot is free.
        """
        free = [
            candidate
            for candidate in self._by_name.values()
            if self._has_free(candidate)
        ]
        others = [target for target in free if target.name not in avoid]
        candidates = others or free
        if not candidates:
            return None
        target = min(candidates, key=self._count_used)
        self.occupy(target.name)
        return target

    def occupy(self, target: str) -> None:
        """Count a slot as used, also one that the queue owner granted."""
        self._used[target] = self._used.get(target, 0) + 1

    def release(self, target: str) -> None:
        """Release a slot."""
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
        base, remainder = divmod(target.slots, len(self._members))
        return base + (
            self._entry in self._rank_members(target.name)[:remainder]
        )

    def _rank_members(self, target: str) -> list[str]:
        return sorted(
            self._members,
            key=lambda member: xxhash.xxh64_intdigest(
                f'{target}/{member}'.encode()
            ),
        )
