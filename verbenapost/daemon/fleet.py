"""Host of the pool keeper, which also executes operators' VM changes."""

import asyncio
import contextlib
import time
from collections.abc import Collection
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.applied import AppliedTable
from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.pools.keeper import PoolKeeper
from verbenapost.coordination.pools.outages import Outage
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.records import VmEntry
from verbenapost.daemon.logs import make_logger
from verbenapost.protocol.admin import VmAction, VmRequest
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.platform import PlatformPort
from verbenapost.protocol.store import StorePort, WatchBatch
from verbenapost.state.vms import VmRecord, VmState
from verbenapost.state.waves import WAVE_KEY

#: Seconds between rounds of the keeper while VMs change state.
BUSY_PERIOD = 0.25

#: Seconds between rounds of the keeper while nothing changes.
IDLE_PERIOD = 20.0

#: Seconds after which members that have not confirmed a drain are logged.
DRAIN_WARNING_SECONDS = 2.0

#: Seconds that one watch of the wave waits for a change.
WATCH_WAIT = 20.0


@final
class KeeperHost:
    """Runs the pool keeper while this daemon owns the region's pools.

    :param store: the platform's store.
    :param platform: VM list and pool interface.
    :param incarnation: random identifier chosen at each process start.
    :param configuration: configuration in force.
    :param directory: current VM records.
    :param applied: revisions that the members have applied.
    """

    def __init__(
        self,
        store: StorePort,
        platform: PlatformPort,
        incarnation: str,
        configuration: ConfigurationService,
        directory: VmDirectory,
        applied: AppliedTable,
    ) -> None:
        self.owned = False
        self.members: Collection[str] = ()
        self.keeper = PoolKeeper(
            store,
            platform,
            incarnation,
            self.read_policy,
            self._is_confirmed,
        )
        self._store = store
        self._configuration = configuration
        self._directory = directory
        self._applied = applied
        self._changed = asyncio.Event()
        self._logged_members: list[str] = []
        self._log = make_logger('keeper')
        directory.subscribe(self.wake)

    def read_policy(self) -> FleetPolicy:
        """Return the pools, services and maintenance interval in force."""
        view = self._configuration.view
        services = {name: owned.spec for name, owned in view.services.items()}
        days = view.platform.maintenance_days
        return FleetPolicy(view.pools, services, days)

    def wake(self) -> None:
        """Run the next round without waiting for the idle period."""
        self._changed.set()

    def is_busy(self) -> bool:
        """Return whether any VM is in transition between states."""
        return any(
            _is_in_transition(known.record)
            for known in self._directory.vms.values()
        )

    async def run(self) -> None:
        """Run rounds of the keeper until cancelled."""
        while True:
            if self.owned and self._configuration.view.revision:
                await self._run_round()
            await asyncio.sleep(BUSY_PERIOD)
            if not self.is_busy():
                await self._wait_for_change(IDLE_PERIOD)

    async def watch_wave(self) -> None:
        """Trigger a round after each change of the maintenance wave."""
        position = 0
        while True:
            pause = IDLE_PERIOD
            if self.owned:
                batch = await self._store.watch(WAVE_KEY, position, WATCH_WAIT)
                pause = BUSY_PERIOD
                if isinstance(batch, Ok):
                    position = max(position, batch.ok_value.revision)
                    self._wake_on_change(batch.ok_value)
            await asyncio.sleep(pause)

    async def change_vm(self, request: VmRequest) -> Result[VmRecord, Failure]:
        """Start a move, a drain or a return of a VM."""
        if request.action is VmAction.RETURN:
            changed = await self.keeper.starter.end_hold(request.vm)
        else:
            outage = _make_outage(request)
            changed = await self.keeper.starter.start_outage(
                outage, time.time()
            )
        self._log.info(
            'VM change requested by operator',
            vm=request.vm,
            action=request.action.value,
            operator=request.operator,
            accepted=isinstance(changed, Ok),
        )
        self.wake()
        return changed.map(_get_record)

    async def _run_round(self) -> None:
        try:
            done = await self.keeper.step(time.time())
        except Exception:
            # The next round starts again from the state in the store.
            self._log.exception('keeper round failed')
            return
        if isinstance(done, Err):
            self._log.warning(
                'keeper round ended early',
                detail=done.err_value.detail,
            )

    def _wake_on_change(self, batch: WatchBatch) -> None:
        if batch.events or batch.truncated:
            self.wake()

    async def _wait_for_change(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        self._changed.clear()

    def _is_confirmed(self, entry: VmEntry) -> bool:
        behind = self._applied.list_behind(self.members, vms=entry.revision)
        waited = time.time() - entry.record.changed_at
        if (
            behind
            and waited >= DRAIN_WARNING_SECONDS
            and behind != self._logged_members
        ):
            self._log.warning(
                'members have not confirmed a drain',
                vm=entry.record.name,
                members=behind,
            )
            self._logged_members = behind
        return not behind


def _is_in_transition(record: VmRecord) -> bool:
    serving = record.state is VmState.IN_SERVICE
    held_out = record.held and record.state is VmState.IN_MAINTENANCE
    return not serving and not held_out


def _get_record(entry: VmEntry) -> VmRecord:
    return entry.record


def _make_outage(request: VmRequest) -> Outage:
    given = request.reason or request.action.value
    reason = f'{request.operator}: {given}'
    held = request.action is VmAction.DRAIN
    return Outage(request.vm, reason, next_pool=request.pool, held=held)
