"""Survey of the configuration revision in force on each member."""

from collections.abc import Iterable
from typing import final

from verbenapost.protocol.membership import (
    Envelope,
    RevisionQuery,
    RevisionReport,
)
from verbenapost.state.members import MemberRecord

#: Seconds between two queries of a lagging member.
QUERY_INTERVAL = 0.2


@final
class RevisionSurvey:
    """Determines where a change is in force, for ``apply --wait``.

    Examples
    ========

    >>> shop = MemberRecord('shop', 'x', '10.0.0.1:70')
    >>> survey = RevisionSurvey(7, '10.0.0.9:70', [shop])
    >>> [envelope.address for envelope in survey.tick(now=0)]
    ['10.0.0.1:70']
    >>> survey.record_report(RevisionReport('shop', 6))
    >>> survey.missing
    ('shop',)
    >>> survey.record_report(RevisionReport('shop', 7))
    >>> survey.missing
    ()

    :param revision: revision of the change.
    :param address: ``IP:port`` to report to.
    :param members: members to query.
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
        """Return the members not known to have the change in force."""
        return tuple(sorted(self._lagging))

    def tick(self, now: float) -> list[Envelope]:
        """Return the queries to send now."""
        if now < self._next_query:
            return []
        self._next_query = now + QUERY_INTERVAL
        query = RevisionQuery(self._address)
        return [
            Envelope(record.address, query) for record in self._lagging.values()
        ]

    def record_report(self, report: RevisionReport) -> None:
        """Record a member's report."""
        if report.revision >= self._revision:
            self._lagging.pop(report.name, None)
