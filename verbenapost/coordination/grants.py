"""Grants that run now, found by ask and by expiry."""

import dataclasses
import heapq
from collections.abc import Iterator
from typing import final

from verbenapost.coordination.waiting import DEAD_MARGIN, Share
from verbenapost.protocol.slots import GrantSlot

#: Seconds that a grant lasts at most unless the entry reports it again.
MAX_GRANT_TIME = 30.0

#: Seconds that a grant outlasts the caller's deadline.
GRANT_GRACE = 0.5

#: Seconds for which a grant may be missing in its entry's reports.
REPORT_GRACE = 2.0


@final
@dataclasses.dataclass(slots=True, eq=False)
class Grant:
    """A granted slot.

    :param message: grant as sent; its number and ask identify it.
    :param entry: daemon that holds it.
    :param share: share that it is charged to.
    :param job: identity that the asks of one request share.
    :param long: whether it counts as long work.
    :param expected: run time that was charged, in seconds.
    :param granted_at: monotonic seconds.
    :param expires_at: monotonic seconds.
    :param adopted: reported by its entry and not granted by this owner.
    """

    message: GrantSlot
    entry: str
    share: Share
    job: str
    long: bool
    expected: float
    granted_at: float
    expires_at: float
    adopted: bool = False


@final
class GrantTable:
    """All running grants of one queue."""

    def __init__(self) -> None:
        self._by_ask: dict[str, Grant] = {}
        self._by_entry: dict[str, set[str]] = {}
        self._heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._by_ask)

    def __iter__(self) -> Iterator[Grant]:
        return iter(self._by_ask.values())

    def get(self, ask_id: str) -> Grant | None:
        """Return the running grant of an ask."""
        return self._by_ask.get(ask_id)

    def add(self, grant: Grant) -> None:
        """Keep a grant until it is taken out or expires."""
        ask_id = grant.message.ask_id
        self._by_ask[ask_id] = grant
        self._by_entry.setdefault(grant.entry, set()).add(ask_id)
        heapq.heappush(self._heap, (grant.expires_at, ask_id))
        self._compact()

    def pop(self, ask_id: str) -> Grant | None:
        """Take a grant out."""
        grant = self._by_ask.pop(ask_id, None)
        if grant is not None:
            self._by_entry[grant.entry].discard(ask_id)
        return grant

    def renew(self, grant: Grant, expires_at: float) -> None:
        """Move the expiry of a grant to a later time."""
        if expires_at > grant.expires_at:
            grant.expires_at = expires_at
            heapq.heappush(self._heap, (expires_at, grant.message.ask_id))
            self._compact()

    def list_expired(self, now: float) -> list[Grant]:
        """Return the grants whose time is over."""
        expired: dict[str, Grant] = {}
        while self._heap and self._heap[0][0] <= now:
            ask_id = heapq.heappop(self._heap)[1]
            grant = self._by_ask.get(ask_id)
            if grant is not None and grant.expires_at <= now:
                expired[ask_id] = grant
        return list(expired.values())

    def list_missing(
        self,
        now: float,
        entry: str,
        reported: set[str],
    ) -> list[Grant]:
        """Return the grants that an entry should have reported."""
        held = self._by_entry.get(entry, set()) - reported
        grants = (self._by_ask[ask_id] for ask_id in sorted(held))
        return [
            grant for grant in grants if now - grant.granted_at > REPORT_GRACE
        ]

    def _compact(self) -> None:
        if len(self._heap) <= 2 * len(self._by_ask) + DEAD_MARGIN:
            return
        self._heap = [
            (grant.expires_at, ask_id) for ask_id, grant in self._by_ask.items()
        ]
        heapq.heapify(self._heap)
