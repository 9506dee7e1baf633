"""Start of a new queue owner from the reports of the entries."""

import math
from collections.abc import Collection
from typing import final

from verbenapost.coordination.grants import GRANT_GRACE, MAX_GRANT_TIME
from verbenapost.protocol.slots import Envelope, RequestReport

#: Seconds between requests for a report that is missing.
REQUEST_INTERVAL = 0.5


@final
class Rebuild:
    """Tells when a new owner knows of all grants of earlier ones.

    Explanation
    ===========

    It does when each live member has reported, or when every grant of an
    earlier owner has expired.

    Examples
    ========

    >>> rebuild = Rebuild('booking', 2)
    >>> [envelope.to for envelope in rebuild.start(0, ['e-1', 'e-2'])]
    ['e-1', 'e-2']
    >>> rebuild.hear('e-1')
    >>> rebuild.is_done(1)
    False
    >>> rebuild.set_members(['e-1'])
    >>> rebuild.is_done(1)
    True
    """

    def __init__(self, service: str, epoch: int) -> None:
        self._request = RequestReport(service, epoch)
        self._silent: set[str] = set()
        self._ends_at = -math.inf
        self._requested_at: float = 0

    def start(self, now: float, members: Collection[str]) -> list[Envelope]:
        """Ask every live member for its report."""
        self._silent = set(members)
        self._ends_at = now + MAX_GRANT_TIME + GRANT_GRACE
        return self._send(now)

    def hear(self, entry: str) -> None:
        """Count the report of a member."""
        self._silent.discard(entry)

    def set_members(self, members: Collection[str]) -> None:
        """Stop waiting for members that are gone."""
        self._silent.intersection_update(members)

    def is_done(self, now: float) -> bool:
        """Tell whether slots may be granted."""
        return not self._silent or now >= self._ends_at

    def tick(self, now: float) -> list[Envelope]:
        """Ask again where no report came."""
        due = now - self._requested_at >= REQUEST_INTERVAL
        return [] if self.is_done(now) or not due else self._send(now)

    def _send(self, now: float) -> list[Envelope]:
        self._requested_at = now
        return [Envelope(to, self._request) for to in sorted(self._silent)]
