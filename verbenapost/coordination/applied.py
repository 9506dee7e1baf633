"""Configuration and VM record revisions that each member has applied."""

from collections.abc import Collection
from typing import final

from verbenapost.protocol.views import AppliedRevisions

_NOTHING = AppliedRevisions(0, 0)


@final
class AppliedTable:
    """Latest report of each member on its applied revisions.

    Examples
    ========

    >>> table = AppliedTable()
    >>> table.note('a', AppliedRevisions(configuration=7, vms=3))
    >>> table.list_behind(['a', 'b'], configuration=7)
    ['b']
    """

    def __init__(self) -> None:
        self._reports: dict[str, AppliedRevisions] = {}

    def note(self, member: str, report: AppliedRevisions) -> None:
        """Store a report; a restarted member may report lower revisions."""
        self._reports[member] = report

    def forget(self, members: Collection[str]) -> None:
        """Drop the reports of members that have left."""
        for name in members:
            self._reports.pop(name, None)

    def find(self, member: str) -> AppliedRevisions:
        """Return the latest report of a member, revisions 0 if none."""
        return self._reports.get(member, _NOTHING)

    def list_behind(
        self,
        members: Collection[str],
        configuration: int = 0,
        vms: int = 0,
    ) -> list[str]:
        """Return the members that have not applied the given revisions."""
        return [
            name
            for name in sorted(members)
            if self.find(name).configuration < configuration
            or self.find(name).vms < vms
        ]
