"""Operators' calls on the maintenance wave."""

import math
from collections.abc import Callable, Mapping
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.pools.budget_store import BudgetStore
from verbenapost.coordination.pools.plan import PoolForecast, forecast_pools
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.records import Fleet, VmRecords
from verbenapost.coordination.pools.swap import MarkedWriter
from verbenapost.coordination.pools.wave_store import WaveStore
from verbenapost.coordination.pools.waves import MAINTENANCE, plan_wave
from verbenapost.protocol.admin import WaveAction, WaveRequest, WaveStatus
from verbenapost.protocol.errors import Failure
from verbenapost.state.budgets import BudgetRecord
from verbenapost.state.vms import VmRecord, VmState
from verbenapost.state.waves import WaveRecord

#: Seconds for which the plan takes one VM to be out.
OUTAGE_SECONDS = 300.0

_DAY_SECONDS = 86_400


@final
class WaveAdmin:
    """Reads and changes the wave's record and explains its plan.

    :param writer: store client with this instance's marks.
    :param read_policy: returns pools and services in force.
    :param clock: returns the Unix time in seconds.
    """

    def __init__(
        self,
        writer: MarkedWriter,
        read_policy: Callable[[], FleetPolicy],
        clock: Callable[[], float],
    ) -> None:
        self._records = VmRecords(writer)
        self._budgets = BudgetStore(writer)
        self._waves = WaveStore(writer)
        self._read_policy = read_policy
        self._clock = clock

    async def read_wave(self) -> Result[WaveStatus, Failure]:
        """Return the wave, its plan and why VMs wait."""
        wave = await self._waves.read()
        if isinstance(wave, Err):
            return wave
        budgets = await self._budgets.read_all()
        if isinstance(budgets, Err):
            return budgets
        fleet = await self._records.read_fleet()
        if isinstance(fleet, Err):
            return fleet
        record = wave.ok_value.record
        return Ok(self._describe(record, fleet.ok_value, budgets.ok_value))

    async def change_wave(
        self,
        request: WaveRequest,
    ) -> Result[WaveStatus, Failure]:
        """Start, pause, resume or end the wave."""
        changed = await self._change(request)
        if isinstance(changed, Err):
            return changed
        return await self.read_wave()

    async def _change(self, request: WaveRequest) -> Result[None, Failure]:
        reason = f'{request.operator}: {request.reason}'
        match request.action:
            case WaveAction.START:
                due = self._clock() - request.due_days * _DAY_SECONDS
                return await self._waves.start(request.name, due, reason)
            case WaveAction.PAUSE:
                return await self._waves.stop(reason)
            case WaveAction.RESUME:
                return await self._waves.resume(reason)
        return await self._waves.start('', 0, reason)

    def _describe(
        self,
        wave: WaveRecord,
        fleet: Fleet,
        budgets: Mapping[str, BudgetRecord],
    ) -> WaveStatus:
        policy = self._read_policy()
        now = self._clock()
        plan = plan_wave(policy, fleet, budgets, wave)
        forecasts = forecast_pools(policy, fleet, now, OUTAGE_SECONDS)
        slowest = max(forecasts, key=_read_end, default=None)
        seconds = slowest.finished_in if slowest else 0
        out = [vm.name for vm in fleet if _is_out(vm)]
        done = [vm for vm in fleet if vm.maintained_at >= wave.due_before]
        finished = not out and len(done) == len(fleet.entries)
        return WaveStatus(
            name=wave.name,
            state=_name_state(wave, finished=finished),
            reason=wave.reason,
            total=len(fleet.entries),
            done=len(done),
            running=out,
            waiting=plan.waiting,
            full_round_seconds=seconds if math.isfinite(seconds) else None,
            late=[name for row in forecasts for name in row.late],
            binding=f'{slowest.pool}: {slowest.binding}' if slowest else '',
        )


def _name_state(wave: WaveRecord, *, finished: bool) -> str:
    if wave.stopped:
        return 'paused'
    if not wave.due_before:
        return 'none'
    return 'done' if finished else 'running'


def _is_out(vm: VmRecord) -> bool:
    away = vm.state not in {VmState.IN_SERVICE, VmState.FAILED}
    return away and vm.reason == MAINTENANCE


def _read_end(row: PoolForecast) -> float:
    return row.finished_in
