"""Operator access to configuration documents and the maintenance wave."""

import time
from collections.abc import Callable, Mapping, Sequence
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.applied import AppliedTable
from verbenapost.coordination.changes import AppliedChange, ChangeRequest
from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.pools.forecast import PoolForecast, forecast_pools
from verbenapost.coordination.pools.keeper import PoolKeeper
from verbenapost.coordination.pools.marked_writer import MarkedWriter
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.records import Fleet, VmRecords
from verbenapost.coordination.pools.wave_store import WaveStore
from verbenapost.coordination.pools.waves import MAINTENANCE
from verbenapost.coordination.rights import Rights
from verbenapost.coordination.roster import Roster
from verbenapost.protocol.admin import (
    DocumentStatus,
    TeamStatus,
    WaveAction,
    WaveRequest,
    WaveStatus,
)
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.store import StorePort
from verbenapost.state.audit import AuditEntry
from verbenapost.state.configuration import CONFIG_PREFIX, unpack_record
from verbenapost.state.waves import WaveRecord

#: Assumed maintenance outage of one VM in forecasts, in seconds.
OUTAGE_SECONDS = 600.0

#: Seconds per day.
DAY_SECONDS = 86_400


@final
class ConfigurationAdmin:
    """Gives operators access to configuration documents.

    :param service: configuration service of the daemon.
    :param store: the platform's store.
    :param applied: revisions that the members have applied.
    :param roster: live members.
    """

    def __init__(
        self,
        service: ConfigurationService,
        store: StorePort,
        applied: AppliedTable,
        roster: Roster,
    ) -> None:
        self._service = service
        self._store = store
        self._applied = applied
        self._roster = roster

    async def load_document(
        self,
        team: str,
    ) -> Result[DocumentStatus, Failure]:
        """Read the document in force from the store."""
        answer = await self._store.get(f'{CONFIG_PREFIX}{team}')
        if isinstance(answer, Err):
            return answer
        entry = answer.ok_value
        if entry is None:
            return Ok(DocumentStatus(team, 0, {}))
        record = unpack_record(entry.value)
        revision = record.since or entry.revision
        return Ok(DocumentStatus(team, revision, record.document or {}))

    async def apply(
        self,
        request: ChangeRequest,
        rights: Rights,
    ) -> Result[AppliedChange, Failure]:
        """Put a document in force; a refused document changes nothing."""
        return await self._service.apply(request, rights)

    async def load_history(
        self,
        team: str,
    ) -> Result[tuple[AuditEntry, ...], Failure]:
        """Return all audit entries of a document, the newest last."""
        return await self._service.load_history(team)

    def list_lagging(self, team: str, revision: int) -> Sequence[str]:
        """Return the live members that have not applied a revision."""
        members = self._roster.members
        return self._applied.list_behind(members, configuration=revision)

    def list_teams(self) -> Sequence[TeamStatus]:
        """Return the teams in the configuration in force."""
        view = self._service.view
        return [
            TeamStatus(
                team=team,
                revision=view.revisions[team],
                services=tuple(sorted(document.services)),
                quotas=tuple(sorted(document.quotas)),
            )
            for team, document in sorted(view.teams.items())
        ]


@final
class WaveAdmin:
    """Shows the maintenance wave to operators and changes it for them.

    :param store: the platform's store.
    :param incarnation: random identifier chosen at each process start.
    :param read_policy: returns the policy in force.
    :param keeper: pool keeper of this daemon, whose last report is shown.
    """

    def __init__(
        self,
        store: StorePort,
        incarnation: str,
        read_policy: Callable[[], FleetPolicy],
        keeper: PoolKeeper,
    ) -> None:
        writer = MarkedWriter(store, f'{incarnation}-waves')
        self._waves = WaveStore(writer)
        self._records = VmRecords(writer)
        self._read_policy = read_policy
        self._keeper = keeper

    async def read_wave(self) -> Result[WaveStatus, Failure]:
        """Return the wave with its forecast."""
        stored = await self._waves.read()
        if isinstance(stored, Err):
            return stored
        fleet = await self._records.read_fleet()
        if isinstance(fleet, Err):
            return fleet
        record = stored.ok_value.record
        return Ok(self._describe(record, fleet.ok_value))

    async def change_wave(
        self,
        request: WaveRequest,
    ) -> Result[WaveStatus, Failure]:
        """Start, pause, resume or stop the wave."""
        reason = f'{request.operator}: {request.reason}'
        changed = await self._change(request, reason)
        if isinstance(changed, Err):
            return changed
        return await self.read_wave()

    async def _change(
        self,
        request: WaveRequest,
        reason: str,
    ) -> Result[None, Failure]:
        match request.action:
            case WaveAction.START:
                before = time.time() - request.due_days * DAY_SECONDS
                return await self._waves.start(request.name, before, reason)
            case WaveAction.RESUME:
                return await self._waves.resume(reason)
            case WaveAction.PAUSE:
                return await self._waves.stop(reason)
            case WaveAction.STOP:
                return await self._waves.finish(reason)

    def _describe(self, wave: WaveRecord, fleet: Fleet) -> WaveStatus:
        due = [vm for vm in fleet if vm.maintained_at < wave.due_before]
        running = [vm.name for vm in fleet if vm.reason == MAINTENANCE]
        covered = len(list(fleet)) if wave.due_before else 0
        now = time.time()
        forecasts = forecast_pools(
            self._read_policy(),
            fleet,
            now,
            OUTAGE_SECONDS,
        )
        return WaveStatus(
            name=wave.name,
            state=_find_state(wave, due_left=bool(due)),
            reason=wave.reason,
            total=covered,
            done=covered - len(due),
            running=tuple(sorted(running)),
            waiting=dict(self._explain_waiting()),
            expected_end=_estimate_end(forecasts, now, due_left=bool(due)),
            deadline_met=all(
                forecast.meets_deadlines for forecast in forecasts
            ),
            binding=_find_binding(forecasts),
        )

    def _explain_waiting(self) -> Mapping[str, str]:
        return self._keeper.report.waiting


def _find_state(wave: WaveRecord, *, due_left: bool) -> str:
    if not wave.due_before:
        return 'none'
    if wave.stopped:
        return 'paused'
    return 'running' if due_left else 'done'


def _estimate_end(
    forecasts: Sequence[PoolForecast],
    now: float,
    *,
    due_left: bool,
) -> float | None:
    if not due_left:
        return None
    longest = max(
        (forecast.remaining_seconds for forecast in forecasts),
        default=0,
    )
    return None if longest == float('inf') else now + longest


def _find_binding(forecasts: Sequence[PoolForecast]) -> str:
    slowest = max(
        forecasts,
        key=lambda forecast: forecast.remaining_seconds,
        default=None,
    )
    return (
        '' if slowest is None else f'{slowest.pool}: {slowest.limiting_reason}'
    )
