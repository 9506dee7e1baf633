"""Operator access to the status of the daemons."""

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


class DaemonState(Protocol):
    """State that a daemon reports about itself."""

    @property
    def ready(self) -> bool:
        """Whether the balancer may send new requests."""

    def explain(self) -> str:
        """Return why the daemon is not ready, empty when it is."""

    def measure_view_age(self) -> float:
        """Return the seconds since the store confirmed the view."""

    def list_duties(self) -> Sequence[str]:
        """Return the roles that the daemon holds."""

    def count_running(self) -> int:
        """Return the number of requests that the daemon is processing."""


@final
class MemberAdmin:
    """Shows the members to operators and removes lost members.

    :param settings: settings of this daemon.
    :param daemon_state: reports the state of this daemon.
    :param applied: revisions that the members have applied.
    :param roster: members that share the roles.
    :param host: membership of this daemon.
    """

    def __init__(
        self,
        settings: Settings,
        daemon_state: DaemonState,
        applied: AppliedTable,
        roster: Roster,
        host: MemberHost,
    ) -> None:
        self._settings = settings
        self._daemon_state = daemon_state
        self._applied = applied
        self._roster = roster
        self._host = host
        self._log = make_logger('members')

    def read_status(self) -> DaemonStatus:
        """Return the status of this daemon."""
        settings = self._settings
        daemon_state = self._daemon_state
        return DaemonStatus(
            name=settings.name,
            region=settings.region,
            data_centre=settings.data_centre,
            version=__version__,
            ready=daemon_state.ready,
            reason=daemon_state.explain(),
            revision=self._applied.find(settings.name).configuration,
            freshness_age=daemon_state.measure_view_age(),
            members=len(self._roster.members),
            duties=tuple(daemon_state.list_duties()),
            running=daemon_state.count_running(),
        )

    def list_members(self) -> Sequence[MemberStatus]:
        """Return the members that are known to this daemon."""
        host = self._host
        live = host.list_live()
        return [
            MemberStatus(
                name=name,
                address=record.address,
                data_centre=record.data_centre,
                state=self._find_state(name, live),
                revision=self._applied.find(name).configuration,
                age=host.measure_contact_age(name),
            )
            for name, record in sorted(host.list_known().items())
        ]

    async def forget_member(
        self,
        name: str,
        operator: str,
    ) -> Result[None, Failure]:
        """Remove a member whose process has ended for good.

        :param operator: operator who confirms that the process has ended.
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
