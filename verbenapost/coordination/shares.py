"""Weighted fair queueing of a service by team and kind of work."""

import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import final

from verbenapost.coordination.sharequeue import (
    COMPACTION_MARGIN,
    QueuedRequest,
    Share,
    ShareKey,
)

#: Seconds of its capacity that a share may catch up after using less.
BURST_CREDIT = 1.0


@final
class FairShares:
    """Start-time fair queueing over shares, charged by run time.

    Explanation
    ===========

    Each share has a start tag: the virtual time at which its next request
    may start. The share with the lowest tag is served first. At the start of
    a run the tag grows by the expected run time divided by the weight; at
    the end it is corrected by the measured run time. The tag of a share that
    uses less than its fair part counts as at most ``BURST_CREDIT`` seconds of
    capacity behind virtual time, which gives the share priority on free
    slots. The slots that such a share leaves unused go to other shares
    without a later charge.

    Examples
    ========

    >>> from verbenapost.protocol.slots import SlotRequest
    >>> shares = FairShares()
    >>> share = shares.get_share(('portal', 'visit'))
    >>> slot_request = SlotRequest('a-1', 'booking', 'portal', 'visit')
    >>> queued = shares.add(QueuedRequest(slot_request, share, 0, 5))
    >>> chosen = shares.choose(lambda share: next(share.peek()))
    >>> chosen.slot_request.slot_request_id
    'a-1'
    """

    def __init__(self) -> None:
        self.waiting = 0
        self.credit: float = 0
        self._shares: dict[ShareKey, Share] = {}
        self._get_weight: Callable[[ShareKey], float] = _get_equal_weight
        self._heap: list[tuple[float, int, Share]] = []
        self._heap_versions = itertools.count(1)
        self._virtual: float = 0

    def __iter__(self) -> Iterator[Share]:
        return iter(self._shares.values())

    def set_weights(self, get_weight: Callable[[ShareKey], float]) -> None:
        """Change the weights of all shares.

        :param get_weight: returns the weight of a share.
        """
        self._get_weight = get_weight
        for key, share in self._shares.items():
            share.weight = get_weight(key)

    def set_capacity(self, slots: int) -> None:
        """Compute the burst credit from the slots of the service."""
        weights = sum(row.weight for row in self if row.running)
        self.credit = BURST_CREDIT * slots / max(weights, 1)

    def get_share(self, key: ShareKey) -> Share:
        """Return the share of a team and kind; create a missing one."""
        share = self._shares.get(key)
        if share is None:
            share = Share(key, self._get_weight(key))
            share.start_tag = self._virtual
            self._shares[key] = share
        return share

    def add(self, queued: QueuedRequest) -> QueuedRequest:
        """Queue a request."""
        share = queued.share
        share.push(queued)
        self.waiting += 1
        if share.waiting == 1:
            self._push(share)
        return queued

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request in amortised constant time."""
        if queued.live:
            self.waiting -= 1
            queued.share.discard(queued)

    def choose(
        self,
        accept: Callable[[Share], QueuedRequest | None],
    ) -> QueuedRequest | None:
        """Return the request to serve next.

        Shares are tried in the order of their start tags.

        :param accept: returns the request of a share that can be served now,
            or ``None``.
        """
        popped: list[Share] = []
        chosen = None
        while self._heap and chosen is None:
            row = heapq.heappop(self._heap)
            if _is_current(row):
                popped.append(row[2])
                chosen = accept(row[2])
        for share in popped:
            self._push(share)
        return chosen

    def charge(self, share: Share, cost: float) -> None:
        """Charge a share for the start of a run.

        :param cost: expected run time in seconds.
        """
        start = max(share.start_tag, self._virtual - self.credit)
        self._virtual = max(self._virtual, start)
        share.running += 1
        self._set_tag(share, start + cost / share.weight)

    def settle(self, share: Share, correction: float) -> None:
        """Correct the charge of a share at the end of a run.

        :param correction: measured minus expected run time in seconds.
        """
        share.running -= 1
        self._set_tag(share, share.start_tag + correction / share.weight)

    def prune(self) -> None:
        """Drop idle shares whose start tag is not ahead of virtual time."""
        idle = [
            key
            for key, share in self._shares.items()
            if not share.running
            and not share.waiting
            and share.start_tag <= self._virtual
        ]
        for key in idle:
            self._shares.pop(key)

    def _set_tag(self, share: Share, start_tag: float) -> None:
        share.start_tag = start_tag
        if share.waiting:
            self._push(share)

    def _push(self, share: Share) -> None:
        share.heap_version = next(self._heap_versions)
        heapq.heappush(self._heap, (share.start_tag, share.heap_version, share))
        if len(self._heap) > 2 * len(self._shares) + COMPACTION_MARGIN:
            self._heap = [row for row in self._heap if _is_current(row)]
            heapq.heapify(self._heap)


def _is_current(row: tuple[float, int, Share]) -> bool:
    share = row[2]
    return row[1] == share.heap_version and share.waiting > 0


def _get_equal_weight(_key: ShareKey) -> float:
    return 1
