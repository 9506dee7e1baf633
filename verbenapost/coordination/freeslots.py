"""Free targets in the order in which they are used."""

import heapq
from typing import TYPE_CHECKING, final

from verbenapost.coordination.waiting import DEAD_MARGIN

if TYPE_CHECKING:
    from verbenapost.coordination.targets import TargetSlots

_Row = tuple[bool, float, int, int, int, 'TargetSlots']


@final
class FreeSlots:
    """Heaps of the targets with a free slot, for one set of limits.

    Explanation
    ===========

    A target that changes is pushed anew and its older rows are dropped when
    they come to the top, so that a change costs the logarithm of the targets.

    :param rows: usable targets with their limits.
    :param since: monotonic seconds from which the limits hold.
    :param until: monotonic seconds up to which they hold.
    """

    def __init__(
        self,
        rows: list[tuple['TargetSlots', int]],
        since: float,
        until: float,
    ) -> None:
        self.rows = rows
        self.slots = sum(limit for _, limit in rows)
        self._since = since
        self._until = until
        self._places = {
            slots.target.name: (place, limit)
            for place, (slots, limit) in enumerate(rows)
        }
        self._stamps: dict[str, int] = {}
        self._heaps: dict[bool, list[_Row]] = {False: [], True: []}
        self._fill()

    def holds(self, now: float) -> bool:
        """Tell whether the limits are still the right ones."""
        return self._since <= now < self._until

    def note(self, slots: 'TargetSlots') -> None:
        """Take account of a change in the use of a target."""
        name = slots.target.name
        found = self._places.get(name)
        if found is None:
            return
        place, limit = found
        stamp = self._stamps.get(name, 0) + 1
        self._stamps[name] = stamp
        load = slots.busy / limit
        lent = bool(slots.target.lender)
        row = (lent, load, slots.turn, place, stamp, slots)
        for long, heap in self._heaps.items():
            if slots.can_take(limit, long=long):
                heapq.heappush(heap, row)

    def find(self, *, long: bool) -> 'TargetSlots | None':
        """Return the target to use next."""
        heap = self._heaps[long]
        if len(heap) > 4 * len(self.rows) + DEAD_MARGIN:
            self._fill()
            heap = self._heaps[long]
        while heap:
            slots = heap[0][-1]
            if self._stamps[slots.target.name] == heap[0][4]:
                return slots
            heapq.heappop(heap)
        return None

    def _fill(self) -> None:
        for heap in self._heaps.values():
            heap.clear()
        for slots, _ in self.rows:
            self.note(slots)
