"""Priority queues of the targets with free slots."""

import heapq
from typing import TYPE_CHECKING, final

from verbenapost.coordination.sharequeue import COMPACTION_MARGIN

if TYPE_CHECKING:
    from verbenapost.coordination.targets import TargetSlots

_HeapRow = tuple[bool, float, int, int, int, 'TargetSlots']


@final
class FreeSlots:
    """Heaps of the targets with a free slot, for one set of limits.

    Explanation
    ===========

    A target whose use changes is pushed again with a new version. Rows with
    an older version are dropped when they reach the top, so a change costs
    logarithmic time in the number of targets. There is one heap for short
    runs and one for long runs.

    :param rows: usable targets with their slot limits.
    :param since: monotonic seconds from which the limits are valid.
    :param until: monotonic seconds until which the limits are valid.
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
        self._positions = {
            target_slots.target.name: (position, limit)
            for position, (target_slots, limit) in enumerate(rows)
        }
        self._versions: dict[str, int] = {}
        self._heaps: dict[bool, list[_HeapRow]] = {False: [], True: []}
        self._rebuild()

    def is_valid(self, now: float) -> bool:
        """Return whether the limits are valid at a time."""
        return self._since <= now < self._until

    def update(self, target_slots: 'TargetSlots') -> None:
        """Reorder a target after its slot use has changed."""
        name = target_slots.target.name
        found = self._positions.get(name)
        if found is None:
            return
        position, limit = found
        version = self._versions.get(name, 0) + 1
        self._versions[name] = version
        load = target_slots.busy / limit
        borrowed = bool(target_slots.target.lender)
        row = (
            borrowed,
            load,
            target_slots.last_use,
            position,
            version,
            target_slots,
        )
        for long, heap in self._heaps.items():
            if target_slots.can_start(limit, long=long):
                heapq.heappush(heap, row)

    def find_best(self, *, long: bool) -> 'TargetSlots | None':
        """Return the free target to use next, ``None`` if all are busy.

        :param long: whether the run is of a long kind.
        """
        heap = self._heaps[long]
        if len(heap) > 4 * len(self.rows) + COMPACTION_MARGIN:
            self._rebuild()
            heap = self._heaps[long]
        while heap:
            target_slots = heap[0][-1]
            if self._versions[target_slots.target.name] == heap[0][4]:
                return target_slots
            heapq.heappop(heap)
        return None

    def _rebuild(self) -> None:
        for heap in self._heaps.values():
            heap.clear()
        for target_slots, _ in self.rows:
            self.update(target_slots)
