"""Answers operators about the daemons."""

from collections.abc import Collection, Sequence
from typing import Protocol, final

from result import Err, Ok, Result

from verbenapost import __version__
from verbenapost.coordination.applied import AppliedTable
from verbenapost.coordination.roster import Roster
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.membership import MemberHost
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
    :param roster: members that share the roles.
    :param host: membership of this daemon.
    """

    def __init__(
        self,
        settings: Settings,
        standing: Standing,
        applied: AppliedTable,
        roster: Roster,
        host: MemberHost,
    ) -> None:
        self._settings = settings
        self._standing = standing
        self._applied = applied
        self._roster = roster
        self._host = host
        self._log = make_logger('members')

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
        host = self._host
        live = host.list_live()
        return [
            MemberStatus(
                name=name,
                address=record.address,
                data_centre=record.data_centre,
                state=self._find_state(name, live),
                revision=self._applied.find(name).configuration,
                age=host.measure_silence(name),
            )
            for name, record in sorted(host.list_known().items())
        ]

    async def forget_member(
        self,
        name: str,
        operator: str,
    ) -> Result[None, Failure]:
        """Drop a member whose process is dead.

        :param operator: who vouches that it is.
        """
        if name in self._host.list_live():
            return Err(Failure(ErrorKind.CONFLICT, f'{name} is alive.'))
        outcome = await self._host.tasks.forget(name)
        if isinstance(outcome, Ok):
            self._log.info('member forgotten', name=name, operator=operator)
        return outcome

    def _find_state(self, name: str, live: Collection[str]) -> str:
        if name not in live:
            return 'silent'
        members = self._host.register.member_set.members
        return 'live' if name in members else 'joining'
