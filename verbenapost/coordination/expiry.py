"""Deadlines of waiting asks."""

import heapq
import itertools
from typing import final

from verbenapost.coordination.waiting import DEAD_MARGIN, Waiting


@final
class Deadlines:
    """Heap of deadlines whose dead entries are dropped in bulk."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Waiting]] = []
        self._order = itertools.count()
        self._live = 0

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, waiting: Waiting) -> None:
        """Watch the deadline of an ask."""
        self._live += 1
        row = (waiting.deadline, next(self._order), waiting)
        heapq.heappush(self._heap, row)

    def discard(self) -> None:
        """Count one entry as dead, its ``live`` mark being cleared."""
        self._live -= 1
        if len(self._heap) > 2 * self._live + DEAD_MARGIN:
            self._heap = [row for row in self._heap if row[2].live]
            heapq.heapify(self._heap)

    def pop_due(self, now: float) -> list[Waiting]:
        """Return the live asks whose deadline has come."""
        due: list[Waiting] = []
        while self._heap and self._heap[0][0] <= now:
            waiting = heapq.heappop(self._heap)[2]
            if waiting.live:
                due.append(waiting)
        return due
