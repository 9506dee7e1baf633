"""Asks that wait and asks that were answered lately."""

from collections import OrderedDict
from collections.abc import Collection
from typing import final

from verbenapost.coordination.expiry import Deadlines
from verbenapost.coordination.shares import FairShares
from verbenapost.coordination.waiting import Waiting
from verbenapost.protocol.slots import AskSlot, RefuseSlot

#: Answered asks that are remembered for repeats.
MAX_CLOSED = 20_000


@final
class OpenAsks:
    """Keeps each ask until its one answer or its cancellation.

    :param shares: queue that the asks wait in.
    """

    def __init__(self, shares: FairShares) -> None:
        self._shares = shares
        self._deadlines = Deadlines()
        self._queued: dict[str, Waiting] = {}
        self._closed: OrderedDict[str, RefuseSlot | None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._queued)

    def get(self, ask_id: str) -> Waiting | None:
        """Return a waiting ask."""
        return self._queued.get(ask_id)

    def prepare(self, now: float, ask: AskSlot) -> Waiting:
        """Return the entry of an ask that does not wait yet."""
        share = self._shares.get_share((ask.team, ask.kind))
        return Waiting(ask, share, now, now + ask.deadline_in)

    def add(self, waiting: Waiting) -> None:
        """Let an ask wait."""
        self._shares.add(waiting)
        self._queued[waiting.ask.ask_id] = waiting
        self._deadlines.push(waiting)

    def close(self, waiting: Waiting) -> None:
        """Take a waiting ask out in constant time."""
        self._shares.remove(waiting)
        if self._queued.pop(waiting.ask.ask_id, None) is not None:
            self._deadlines.discard()

    def remember(self, ask_id: str, answer: RefuseSlot | None) -> None:
        """Keep how an ask ended, for repeats of its messages.

        :param answer: refusal, or ``None`` when nothing is to be sent again.
        """
        self._closed[ask_id] = answer
        if len(self._closed) > MAX_CLOSED:
            self._closed.popitem(last=False)

    def is_closed(self, ask_id: str) -> bool:
        """Tell whether an ask has ended lately."""
        return ask_id in self._closed

    def get_refusal(self, ask_id: str) -> RefuseSlot | None:
        """Return the refusal that an ask got lately."""
        return self._closed.get(ask_id)

    def pop_due(self, now: float) -> list[Waiting]:
        """Return the waiting asks whose deadline has come."""
        return self._deadlines.pop_due(now)

    def list_orphans(self, members: Collection[str]) -> list[Waiting]:
        """Return the asks of entries that are no members."""
        return [
            waiting
            for waiting in self._queued.values()
            if waiting.ask.entry not in members
        ]
