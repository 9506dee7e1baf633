"""Deadlines of waiting slot requests."""

import heapq
import itertools
from typing import final

from verbenapost.coordination.sharequeue import COMPACTION_MARGIN, QueuedRequest


@final
class Deadlines:
    """Heap of deadlines; dead entries are removed in bulk."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, QueuedRequest]] = []
        self._order = itertools.count()
        self._live = 0

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, queued: QueuedRequest) -> None:
        """Add the deadline of a request."""
        self._live += 1
        row = (queued.deadline, next(self._order), queued)
        heapq.heappush(self._heap, row)

    def note_dead(self) -> None:
        """Count one entry as dead.

        The caller has cleared the entry's ``live`` flag. Dead entries are
        removed once they outnumber the live ones by more than
        ``COMPACTION_MARGIN``.
        """
        self._live -= 1
        if len(self._heap) > 2 * self._live + COMPACTION_MARGIN:
            self._heap = [row for row in self._heap if row[2].live]
            heapq.heapify(self._heap)

    def pop_due(self, now: float) -> list[QueuedRequest]:
        """Remove and return the live requests whose deadline has passed."""
        due: list[QueuedRequest] = []
        while self._heap and self._heap[0][0] <= now:
            queued = heapq.heappop(self._heap)[2]
            if queued.live:
                due.append(queued)
        return due
