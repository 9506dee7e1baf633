"""Answers operators about the daemons."""

from collections.abc import Sequence
from typing import Protocol, final

from result import Err, Result

from verbenapost import __version__
from verbenapost.coordination.applied import AppliedTable
from verbenapost.coordination.roster import Roster
from verbenapost.daemon.settings import Settings
from verbenapost.protocol.admin import DaemonStatus, MemberStatus
from verbenapost.protocol.errors import ErrorKind, Failure


class Standing(Protocol):
    """What a daemon knows of its own state."""

    @property
    def ready(self) -> bool:
        """Whether the balancer may send new requests."""

    def explain(self) -> str:
        """Return why it is not ready, empty when it is."""

    def measure_age(self) -> float:
        """Return the seconds since the store confirmed the view."""

    def list_duties(self) -> Sequence[str]:
        """Return the roles that the daemon holds."""

    def count_running(self) -> int:
        """Return the requests that run through the daemon."""


@final
class MemberDesk:
    """The daemons for operators.

    :param settings: settings of this daemon.
    :param standing: what it knows of its own state.
    :param applied: what the members have applied.
    :param roster: live members.
    """

    def __init__(
        self,
        settings: Settings,
        standing: Standing,
        applied: AppliedTable,
        roster: Roster,
    ) -> None:
        self._settings = settings
        self._standing = standing
        self._applied = applied
        self._roster = roster

    def read_status(self) -> DaemonStatus:
        """Return what this daemon says of itself."""
        settings = self._settings
        standing = self._standing
        return DaemonStatus(
            name=settings.name,
            region=settings.region,
            data_centre=settings.data_centre,
            version=__version__,
            ready=standing.ready,
            reason=standing.explain(),
            revision=self._applied.find(settings.name).configuration,
            freshness_age=standing.measure_age(),
            members=len(self._roster.members),
            duties=tuple(standing.list_duties()),
            running=standing.count_running(),
        )

    def list_members(self) -> Sequence[MemberStatus]:
        """Return the members that this daemon knows."""
        settings = self._settings
        own = settings.peers_listen
        rows = [(settings.name, own.address, own.port, settings.data_centre)]
        rows.extend(
            (peer.name, peer.address, peer.port, peer.data_centre)
            for peer in settings.peers
        )
        live = self._roster.members
        return [
            MemberStatus(
                name=name,
                address=f'{address}:{port}',
                data_centre=data_centre,
                state='live' if name in live else 'silent',
                revision=self._applied.find(name).configuration,
                age=0,
            )
            for name, address, port, data_centre in sorted(rows)
        ]

    async def forget_member(
        self,
        name: str,
        operator: str,
    ) -> Result[None, Failure]:
        """Refuse: members of the settings are never counted for good."""
        detail = f'{name} is named in the settings of the daemons.'
        return Err(Failure(ErrorKind.CONFLICT, detail))
