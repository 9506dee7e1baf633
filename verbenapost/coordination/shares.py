"""Weighted fair shares of a service by team and kind of work."""

import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import final

from verbenapost.coordination.waiting import (
    DEAD_MARGIN,
    Share,
    ShareKey,
    Waiting,
)

#: Seconds of its share that a share may catch up on after using less.
BURST_CREDIT = 1.0


@final
class FairShares:
    """Start-time fair queueing over shares, charged by run time.

    Explanation
    ===========

    Each share has a tag: the virtual time at which its next ask may start.
    The share with the lowest tag is served first and its tag grows by the
    expected run time over its weight; the measured run time corrects it
    later. A share that asks for less than its part falls behind virtual
    time by at most ``BURST_CREDIT`` and so has the first call on free slots;
    what it leaves over is lent to the others without a later charge.

    Examples
    ========

    >>> from verbenapost.protocol.slots import AskSlot
    >>> shares = FairShares()
    >>> share = shares.get_share(('portal', 'visit'))
    >>> ask = AskSlot('a-1', 'booking', 'portal', 'visit')
    >>> waiting = shares.add(Waiting(ask, share, 0, 5))
    >>> shares.choose(lambda share: next(share.peek())).ask.ask_id
    'a-1'
    """

    def __init__(self) -> None:
        self.waiting = 0
        self.credit: float = 0
        self._shares: dict[ShareKey, Share] = {}
        self._weigh: Callable[[ShareKey], float] = _weigh_equally
        self._heap: list[tuple[float, int, Share]] = []
        self._stamps = itertools.count(1)
        self._virtual: float = 0

    def __iter__(self) -> Iterator[Share]:
        return iter(self._shares.values())

    def set_weights(self, weigh: Callable[[ShareKey], float]) -> None:
        """Change the weights of all shares."""
        self._weigh = weigh
        for key, share in self._shares.items():
            share.weight = weigh(key)

    def set_capacity(self, slots: int) -> None:
        """Reckon the credit from the slots of the service."""
        weights = sum(row.weight for row in self if row.running)
        self.credit = BURST_CREDIT * slots / max(weights, 1)

    def get_share(self, key: ShareKey) -> Share:
        """Return the share of a team and kind, made when missing."""
        share = self._shares.get(key)
        if share is None:
            share = Share(key, self._weigh(key))
            share.tag = self._virtual
            self._shares[key] = share
        return share

    def add(self, waiting: Waiting) -> Waiting:
        """Queue an ask."""
        share = waiting.share
        share.push(waiting)
        self.waiting += 1
        if share.waiting == 1:
            self._push(share)
        return waiting

    def remove(self, waiting: Waiting) -> None:
        """Take an ask out in constant time."""
        if waiting.live:
            self.waiting -= 1
            waiting.share.discard(waiting)

    def choose(
        self,
        accept: Callable[[Share], Waiting | None],
    ) -> Waiting | None:
        """Return the ask to serve next, of the lowest share that has one.

        :param accept: returns the ask of a share that can be served now.
        """
        passed: list[Share] = []
        chosen = None
        while self._heap and chosen is None:
            row = heapq.heappop(self._heap)
            if _is_current(row):
                passed.append(row[2])
                chosen = accept(row[2])
        for share in passed:
            self._push(share)
        return chosen

    def charge(self, share: Share, cost: float) -> None:
        """Account the start of an ask.

        :param cost: expected run time in seconds.
        """
        start = max(share.tag, self._virtual - self.credit)
        self._virtual = max(self._virtual, start)
        share.running += 1
        self._move(share, start + cost / share.weight)

    def settle(self, share: Share, correction: float) -> None:
        """Account the end of an ask.

        :param correction: measured less expected run time in seconds.
        """
        share.running -= 1
        self._move(share, share.tag + correction / share.weight)

    def prune(self) -> None:
        """Forget shares that neither run nor wait and have no debt."""
        idle = [
            key
            for key, share in self._shares.items()
            if not share.running
            and not share.waiting
            and share.tag <= self._virtual
        ]
        for key in idle:
            self._shares.pop(key)

    def _move(self, share: Share, tag: float) -> None:
        share.tag = tag
        if share.waiting:
            self._push(share)

    def _push(self, share: Share) -> None:
        share.stamp = next(self._stamps)
        heapq.heappush(self._heap, (share.tag, share.stamp, share))
        if len(self._heap) > 2 * len(self._shares) + DEAD_MARGIN:
            self._heap = [row for row in self._heap if _is_current(row)]
            heapq.heapify(self._heap)


def _is_current(row: tuple[float, int, Share]) -> bool:
    share = row[2]
    return row[1] == share.stamp and share.waiting > 0


def _weigh_equally(_key: ShareKey) -> float:
    return 1
