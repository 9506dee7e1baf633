"""Running grants, indexed by slot request and by expiry."""

import dataclasses
import heapq
from collections.abc import Iterator
from typing import final

from verbenapost.coordination.sharequeue import COMPACTION_MARGIN, Share
from verbenapost.protocol.slots import GrantSlot

#: Seconds after which a grant expires unless its entry reports the grant.
MAX_GRANT_TIME = 30.0

#: Seconds between the deadline of the caller and the expiry of the grant.
GRANT_GRACE = 0.5

#: Seconds after the grant for which reports of the entry may lack the grant.
REPORT_GRACE = 2.0


@final
@dataclasses.dataclass(slots=True, eq=False)
class Grant:
    """A granted slot.

    :param message: grant as sent; its number and slot request identify it.
    :param entry: daemon that holds the slot.
    :param share: share that is charged for the run.
    :param job: identity common to the slot requests of one client request.
    :param long: whether the run counts as long.
    :param expected: run time that was charged, in seconds.
    :param granted_at: time of the grant, monotonic seconds.
    :param expires_at: time of the expiry, monotonic seconds.
    :param adopted: whether the grant is known from a report of its entry and
        was not given by this owner.
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
    """Table of the running grants of one queue."""

    def __init__(self) -> None:
        self._by_slot_request: dict[str, Grant] = {}
        self._by_entry: dict[str, set[str]] = {}
        self._heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._by_slot_request)

    def __iter__(self) -> Iterator[Grant]:
        return iter(self._by_slot_request.values())

    def get(self, slot_request_id: str) -> Grant | None:
        """Return the running grant of a slot request."""
        return self._by_slot_request.get(slot_request_id)

    def add(self, grant: Grant) -> None:
        """Add a grant; it stays in the table until it is popped."""
        slot_request_id = grant.message.slot_request_id
        self._by_slot_request[slot_request_id] = grant
        self._by_entry.setdefault(grant.entry, set()).add(slot_request_id)
        heapq.heappush(self._heap, (grant.expires_at, slot_request_id))
        self._compact()

    def pop(self, slot_request_id: str) -> Grant | None:
        """Remove and return the grant of a slot request."""
        grant = self._by_slot_request.pop(slot_request_id, None)
        if grant is not None:
            self._by_entry[grant.entry].discard(slot_request_id)
        return grant

    def renew(self, grant: Grant, expires_at: float) -> None:
        """Extend a grant; an earlier expiry is ignored."""
        if expires_at > grant.expires_at:
            grant.expires_at = expires_at
            heapq.heappush(
                self._heap, (expires_at, grant.message.slot_request_id)
            )
            self._compact()

    def list_expired(self, now: float) -> list[Grant]:
        """Return the grants that have expired; they stay in the table."""
        expired: dict[str, Grant] = {}
        while self._heap and self._heap[0][0] <= now:
            slot_request_id = heapq.heappop(self._heap)[1]
            grant = self._by_slot_request.get(slot_request_id)
            if grant is not None and grant.expires_at <= now:
                expired[slot_request_id] = grant
        return list(expired.values())

    def list_missing(
        self,
        now: float,
        entry: str,
        reported: set[str],
    ) -> list[Grant]:
        """Return the grants of an entry that its report lacks.

        :param reported: identities of the slot requests in the report.
        :returns: grants older than ``REPORT_GRACE``.
        """
        held = self._by_entry.get(entry, set()) - reported
        grants = (
            self._by_slot_request[slot_request_id]
            for slot_request_id in sorted(held)
        )
        return [
            grant for grant in grants if now - grant.granted_at > REPORT_GRACE
        ]

    def _compact(self) -> None:
        if (
            len(self._heap)
            <= 2 * len(self._by_slot_request) + COMPACTION_MARGIN
        ):
            return
        self._heap = [
            (grant.expires_at, slot_request_id)
            for slot_request_id, grant in self._by_slot_request.items()
        ]
        heapq.heapify(self._heap)
