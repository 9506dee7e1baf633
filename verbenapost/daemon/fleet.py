"""Runs the pool keeper and answers operators about the fleet."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Collection, Sequence
from typing import Any, final

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
from verbenapost.protocol.platform import ListState, PlatformPort
from verbenapost.protocol.store import StorePort, WatchBatch
from verbenapost.protocol.views import LeavingVms
from verbenapost.state.vms import VmRecord, VmState
from verbenapost.state.waves import WAVE_KEY

#: Seconds between two rounds of the keeper while VMs are on their way.
BUSY_PERIOD = 0.25

#: Seconds between two rounds of the keeper while nothing changes.
IDLE_PERIOD = 20.0

#: Seconds that one watch of the wave waits.
WATCH_WAIT = 20.0

#: Seconds between two readings of the VM list for VMs that leave.
LIST_PERIOD = 1.0


@final
class KeeperHost:
    """Runs the pool keeper while this daemon owns the region's pools.

    :param store: the platform's store.
    :param platform: VM list and pool interface.
    :param instance: random text made at each start of the process.
    :param configuration: configuration in force.
    :param directory: VM records in use.
    :param applied: what the members have applied.
    """

    def __init__(
        self,
        store: StorePort,
        platform: PlatformPort,
        instance: str,
        configuration: ConfigurationService,
        directory: VmDirectory,
        applied: AppliedTable,
    ) -> None:
        self.owned = False
        self.members: Collection[str] = ()
        self.keeper = PoolKeeper(
            store,
            platform,
            instance,
            self.read_policy,
            self._is_confirmed,
        )
        self._store = store
        self._configuration = configuration
        self._directory = directory
        self._applied = applied
        self._changed = asyncio.Event()
        self._log = make_logger('keeper')
        directory.subscribe(self.wake)

    def read_policy(self) -> FleetPolicy:
        """Return what the configuration says of pools and budgets."""
        view = self._configuration.view
        services = {name: owned.spec for name, owned in view.services.items()}
        days = view.platform.maintenance_days
        return FleetPolicy(view.pools, services, days)

    def wake(self) -> None:
        """Start the next round soon."""
        self._changed.set()

    def is_busy(self) -> bool:
        """Tell whether a VM is on its way between states."""
        return any(
            known.record.state is not VmState.IN_SERVICE
            and not known.record.held
            for known in self._directory.vms.values()
        )

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            if self.owned and self._configuration.view.revision:
                await self._step()
            await asyncio.sleep(BUSY_PERIOD)
            if not self.is_busy():
                await self._wait_changed(IDLE_PERIOD)

    async def watch_wave(self) -> None:
        """Start a round soon after each change of the maintenance wave."""
        position = 0
        while True:
            pause = IDLE_PERIOD
            if self.owned:
                batch = await self._store.watch(WAVE_KEY, position, WATCH_WAIT)
                pause = BUSY_PERIOD
                if isinstance(batch, Ok):
                    position = max(position, batch.ok_value.revision)
                    self._wake_on(batch.ok_value)
            await asyncio.sleep(pause)

    async def change_vm(self, request: VmRequest) -> Result[VmRecord, Failure]:
        """Start a move, a drain or a return."""
        if request.action is VmAction.RETURN:
            changed = await self.keeper.starter.put_back(request.vm)
        else:
            outage = _make_outage(request)
            changed = await self.keeper.starter.take_out(outage, time.time())
        self._log.info(
            'operator changes a VM',
            vm=request.vm,
            action=request.action.value,
            operator=request.operator,
            accepted=isinstance(changed, Ok),
        )
        self.wake()
        return changed.map(_get_record)

    async def _step(self) -> None:
        try:
            done = await self.keeper.step(time.time())
        except Exception:
            # The next round starts anew from what the store holds.
            self._log.exception('a round of the keeper failed')
            return
        if isinstance(done, Err):
            self._log.warning('round ended early', detail=done.err_value.detail)

    def _wake_on(self, batch: WatchBatch) -> None:
        if batch.events or batch.truncated:
            self.wake()

    async def _wait_changed(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        self._changed.clear()

    def _is_confirmed(self, entry: VmEntry) -> bool:
        return not self._applied.list_behind(self.members, vms=entry.revision)


@final
class LeavingWatch:
    """Tells all members which VMs the platform is about to take away.

    :param platform: VM list.
    :param send: sends to a member.
    :param on_change: called when the list has changed.
    """

    def __init__(
        self,
        platform: PlatformPort,
        send: Callable[[str, Any], bool],
        on_change: Callable[[], None],
    ) -> None:
        self.owned = False
        self.members: Collection[str] = ()
        self._platform = platform
        self._send = send
        self._on_change = on_change
        self._listed: Sequence[Any] = ()
        self._names: tuple[str, ...] = ()
        self._told: frozenset[str] = frozenset()
        self._log = make_logger('vms')

    async def run(self) -> None:
        """Read the list again and again until cancelled."""
        while True:
            if self.owned:
                await self._read()
            await asyncio.sleep(LIST_PERIOD)

    async def _read(self) -> None:
        listed = await self._platform.list_vms()
        if isinstance(listed, Err):
            self._log.warning('no VM list', detail=listed.err_value.detail)
            return
        if listed.ok_value != self._listed:
            self._listed = listed.ok_value
            self._on_change()
        names = _find_leaving(self._listed)
        if names != self._names:
            self._log.info('VMs leave', names=names)
            self._names = names
            self._told = frozenset()
        self._tell()

    def _tell(self) -> None:
        message = LeavingVms(self._names)
        told = {
            name
            for name in self.members
            if name in self._told or self._send(name, message)
        }
        self._told = frozenset(told)


def _find_leaving(listed: Sequence[Any]) -> tuple[str, ...]:
    return tuple(
        sorted(vm.name for vm in listed if vm.state is ListState.LEAVING),
    )


def _get_record(entry: VmEntry) -> VmRecord:
    return entry.record


def _make_outage(request: VmRequest) -> Outage:
    given = request.reason or request.action.value
    reason = f'{request.operator}: {given}'
    held = request.action is VmAction.DRAIN
    return Outage(request.vm, reason, next_pool=request.pool, held=held)
