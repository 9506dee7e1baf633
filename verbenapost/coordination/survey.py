"""Survey of the revision in force on each live member."""

from collections.abc import Iterable
from typing import final

from verbenapost.protocol.membership import (
    Envelope,
    RevisionQuery,
    RevisionReport,
)
from verbenapost.state.members import MemberRecord

#: Seconds between two queries of a member that lags.
QUERY_INTERVAL = 0.2


@final
class RevisionSurvey:
    """Finds out on which members a change is in force; ``apply --wait``.

    Examples
    ========

    >>> shop = MemberRecord('shop', 'x', '10.0.0.1:70')
    >>> survey = RevisionSurvey(7, '10.0.0.9:70', [shop])
    >>> [envelope.address for envelope in survey.tick(now=0)]
    ['10.0.0.1:70']
    >>> survey.take(RevisionReport('shop', 6))
    >>> survey.missing
    ('shop',)
    >>> survey.take(RevisionReport('shop', 7))
    >>> survey.missing
    ()

    :param revision: revision of the change.
    :param address: ``IP:port`` to report to.
    :param members: members that are to report.
    """

    def __init__(
        self,
        revision: int,
        address: str,
        members: Iterable[MemberRecord],
    ) -> None:
        self._revision = revision
        self._address = address
        self._lagging = {record.name: record for record in members}
        self._next_query = float('-inf')

    @property
    def missing(self) -> tuple[str, ...]:
        """Return the members on which the change isn't known in force."""
        return tuple(sorted(self._lagging))

    def tick(self, now: float) -> list[Envelope]:
        """Return the queries to send."""
        if now < self._next_query:
            return []
        self._next_query = now + QUERY_INTERVAL
        query = RevisionQuery(self._address)
        return [
            Envelope(record.address, query) for record in self._lagging.values()
        ]

    def take(self, report: RevisionReport) -> None:
        """Take a member's report."""
        if report.revision >= self._revision:
            self._lagging.pop(report.name, None)
