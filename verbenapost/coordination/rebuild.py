"""State recovery of a new queue owner from the reports of the entries."""

import math
from collections.abc import Collection
from typing import final

from verbenapost.coordination.grants import GRANT_GRACE, MAX_GRANT_TIME
from verbenapost.protocol.slots import QueueMessage, RequestReport

#: Seconds between repeated requests for a missing report.
REQUEST_INTERVAL = 0.5


@final
class Rebuild:
    """Tracks when a new owner knows all grants of earlier owners.

    Explanation
    ===========

    The rebuild is done when each live member has reported, or when every
    grant of an earlier owner must have expired.

    Examples
    ========

    >>> rebuild = Rebuild('booking', 2)
    >>> [queue_message.to for queue_message in rebuild.start(0, ['e-1', 'e-2'])]
    ['e-1', 'e-2']
    >>> rebuild.mark_reported('e-1')
    >>> rebuild.is_done(1)
    False
    >>> rebuild.set_members(['e-1'])
    >>> rebuild.is_done(1)
    True

    :param service: name of the service.
    :param epoch: number of the incarnation of the owner.
    """

    def __init__(self, service: str, epoch: int) -> None:
        self._request = RequestReport(service, epoch)
        self._unreported: set[str] = set()
        self._grants_expire_at = -math.inf
        self._requested_at: float = 0

    def start(self, now: float, members: Collection[str]) -> list[QueueMessage]:
        """Request the report of every live member."""
        self._unreported = set(members)
        self._grants_expire_at = now + MAX_GRANT_TIME + GRANT_GRACE
        return self._send(now)

    def mark_reported(self, entry: str) -> None:
        """Record that a member has reported."""
        self._unreported.discard(entry)

    def set_members(self, members: Collection[str]) -> None:
        """Stop waiting for reports of removed members."""
        self._unreported.intersection_update(members)

    def is_done(self, now: float) -> bool:
        """Return whether slots may be granted."""
        return not self._unreported or now >= self._grants_expire_at

    def tick(self, now: float) -> list[QueueMessage]:
        """Repeat the requests for missing reports when due."""
        due = now - self._requested_at >= REQUEST_INTERVAL
        return [] if self.is_done(now) or not due else self._send(now)

    def _send(self, now: float) -> list[QueueMessage]:
        self._requested_at = now
        return [
            QueueMessage(to, self._request) for to in sorted(self._unreported)
        ]
