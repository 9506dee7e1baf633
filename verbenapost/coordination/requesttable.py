"""Waiting slot requests and the answers of recent ones."""

from collections import OrderedDict
from collections.abc import Collection
from typing import final

from verbenapost.coordination.expiry import Deadlines
from verbenapost.coordination.sharequeue import QueuedRequest
from verbenapost.coordination.shares import FairShares
from verbenapost.protocol.slots import RefuseSlot, SlotRequest

#: Ended requests whose answers are kept for repeated messages.
MAX_CLOSED = 20_000


@final
class RequestTable:
    """Table of slot requests by identity, until answered or cancelled.

    :param shares: fair queue in which the requests wait.
    """

    def __init__(self, shares: FairShares) -> None:
        self._shares = shares
        self._deadlines = Deadlines()
        self._queued: dict[str, QueuedRequest] = {}
        self._closed: OrderedDict[str, RefuseSlot | None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._queued)

    def get(self, slot_request_id: str) -> QueuedRequest | None:
        """Return a waiting request, ``None`` when there is none."""
        return self._queued.get(slot_request_id)

    def make_entry(
        self, now: float, slot_request: SlotRequest
    ) -> QueuedRequest:
        """Return the queue entry of a request that is not queued yet."""
        share = self._shares.get_share((slot_request.team, slot_request.kind))
        return QueuedRequest(
            slot_request, share, now, now + slot_request.deadline_in
        )

    def add(self, queued: QueuedRequest) -> None:
        """Queue a request."""
        self._shares.add(queued)
        self._queued[queued.slot_request.slot_request_id] = queued
        self._deadlines.push(queued)

    def close(self, queued: QueuedRequest) -> None:
        """Remove a waiting request in amortised constant time."""
        self._shares.remove(queued)
        if (
            self._queued.pop(queued.slot_request.slot_request_id, None)
            is not None
        ):
            self._deadlines.note_dead()

    def record_answer(
        self, slot_request_id: str, answer: RefuseSlot | None
    ) -> None:
        """Record how a request ended, for repeats of its messages.

        :param answer: refusal to send again, or ``None`` for no answer.
        """
        self._closed[slot_request_id] = answer
        if len(self._closed) > MAX_CLOSED:
            self._closed.popitem(last=False)

    def is_closed(self, slot_request_id: str) -> bool:
        """Return whether a request ended recently."""
        return slot_request_id in self._closed

    def reopen(self, slot_request_id: str) -> None:
        """Forget that a request ended, unless it was refused."""
        if self._closed.get(slot_request_id) is None:
            self._closed.pop(slot_request_id, None)

    def get_refusal(self, slot_request_id: str) -> RefuseSlot | None:
        """Return the refusal of a recently ended request."""
        return self._closed.get(slot_request_id)

    def pop_due(self, now: float) -> list[QueuedRequest]:
        """Return the waiting requests whose deadline has passed."""
        return self._deadlines.pop_due(now)

    def list_orphans(self, members: Collection[str]) -> list[QueuedRequest]:
        """Return the waiting requests of entries that are not members."""
        return [
            queued
            for queued in self._queued.values()
            if queued.slot_request.entry not in members
        ]
