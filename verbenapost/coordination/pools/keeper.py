"""The pool keeper: one round of all that pools need."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.pools.budget_store import BudgetStore
from verbenapost.coordination.pools.budgets import Budgets, Outage, Permit
from verbenapost.coordination.pools.health import UNHEALTHY, HealthTracker
from verbenapost.coordination.pools.moves import Mover, make_failed
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.reconcile import Reconciler, Sightings
from verbenapost.coordination.pools.records import Fleet, VmEntry, VmRecords
from verbenapost.coordination.pools.repair import plan_repairs
from verbenapost.coordination.pools.sequence import (
    collect,
    run_until_failure,
)
from verbenapost.coordination.pools.swap import MarkedWriter
from verbenapost.coordination.pools.wave_store import WaveStore
from verbenapost.coordination.pools.waves import MAINTENANCE, plan_wave
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.platform import ListedVm, ListState, PlatformPort
from verbenapost.protocol.store import StorePort
from verbenapost.state.vms import VmState


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What operators see of the last round.

    :param waiting: reason for each VM that waits for its maintenance.
    :param short: VMs that each pool lacks.
    """

    waiting: Mapping[str, str]
    short: Mapping[str, int]


class PoolKeeper:
    """Reads the VM list, repairs, moves and maintains VMs.

    Explanation
    ===========

    Any number of keepers may run: each durable step is a compare-and-swap
    and every round starts from what the store holds. That one daemon alone
    usually runs it saves calls only.

    :param store: the platform's store.
    :param platform: VM list and pool interface.
    :param instance: identity of this process start.
    :param read_policy: returns the configuration in force.
    :param confirm: whether every live member has applied a VM's record.
    """

    def __init__(
        self,
        store: StorePort,
        platform: PlatformPort,
        instance: str,
        read_policy: Callable[[], FleetPolicy],
        confirm: Callable[[VmEntry], bool],
    ) -> None:
        writer = MarkedWriter(store, instance)
        self.health = HealthTracker()
        self.report = Report({}, {})
        self._platform = platform
        self._read_policy = read_policy
        self._records = VmRecords(writer)
        self._budget_store = BudgetStore(writer)
        self._waves = WaveStore(writer)
        self.budgets = Budgets(self._budget_store, self._records)
        self._mover = Mover(self._records, platform, confirm)
        self._reconciler = Reconciler(self._records, platform, Sightings())
        self._leaving: frozenset[str] = frozenset()

    async def step(self, now: float) -> Result[None, Failure]:
        """Do one round.

        :param now: Unix time in seconds.
        :returns: the first failure that ended the round; the next round
            starts anew.
        """
        return await run_until_failure(
            lambda part: part(now),
            (
                self._read_list,
                self._mark_unhealthy,
                self._advance_moves,
                self._prune_budgets,
                self._repair,
                self._advance_wave,
            ),
        )

    async def take_out(
        self,
        outage: Outage,
        now: float,
    ) -> Result[VmEntry, Failure]:
        """Take a VM out of service, for an operator or a plan.

        :param now: Unix time in seconds.
        :returns: ``CONFLICT`` with the reason when a budget refuses it.
        """
        policy = self._read_policy()
        if outage.next_pool and outage.next_pool not in policy.pools:
            detail = f'no pool {outage.next_pool}'
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        acquired = await self.budgets.acquire(outage, policy, now)
        if isinstance(acquired, Err):
            return acquired
        permit = acquired.ok_value
        checked = await self.budgets.recheck(permit, policy)
        if isinstance(checked, Err):
            await self.budgets.release(permit, policy)
            return checked
        return await self._start(permit, now)

    async def _start(
        self,
        permit: Permit,
        now: float,
    ) -> Result[VmEntry, Failure]:
        draining = dataclasses.replace(
            permit.entry.record,
            state=VmState.DRAINING,
            reason=permit.outage.reason,
            next_pool=permit.outage.next_pool or None,
            changed_at=now,
        )
        return await self._records.write(permit.entry, draining)

    async def _read_list(self, now: float) -> Result[None, Failure]:
        listed = await self._platform.list_vms()
        if isinstance(listed, Err):
            # What is recorded can go on without the list.
            return Ok(None)
        by_name = {vm.name: vm for vm in listed.ok_value}
        self._leaving = _find_leaving(by_name)
        fleet = await self._records.read_fleet()
        if isinstance(fleet, Err):
            return fleet
        spare_pool = self._read_policy().spare_pool
        await self._reconciler.reconcile(
            by_name,
            fleet.ok_value,
            spare_pool,
            now,
        )
        return Ok(None)

    async def _mark_unhealthy(self, now: float) -> Result[None, Failure]:
        fleet = await self._records.read_fleet()
        if isinstance(fleet, Err):
            return fleet
        names = self.health.find_unhealthy(fleet.ok_value, now)
        entries = (fleet.ok_value.entries[name] for name in names)
        await collect(lambda entry: self._mark_failed(entry, now), entries)
        self.health.forget(names)
        return Ok(None)

    async def _mark_failed(
        self,
        entry: VmEntry,
        now: float,
    ) -> Result[VmEntry, Failure]:
        failed = make_failed(entry.record, UNHEALTHY, now)
        return await self._records.write(entry, failed)

    async def _advance_moves(self, now: float) -> Result[None, Failure]:
        fleet = await self._records.read_fleet()
        if isinstance(fleet, Err):
            return fleet
        out = (
            entry
            for entry in fleet.ok_value.entries.values()
            if entry.record.state is not VmState.IN_SERVICE
        )
        await collect(lambda entry: self._advance(entry, now), out)
        return Ok(None)

    async def _advance(
        self,
        entry: VmEntry,
        now: float,
    ) -> Result[VmEntry, Failure]:
        leaving = entry.record.name in self._leaving
        return await self._mover.advance(entry, now, leaving=leaving)

    async def _prune_budgets(self, now: float) -> Result[None, Failure]:
        policy = self._read_policy()
        wave = await self._waves.read()
        if isinstance(wave, Err):
            return wave
        services = [
            (service, pool)
            for pool in policy.pools
            for service in policy.find_budgets(pool)
        ]
        stopped = wave.ok_value.record.stopped
        await collect(
            lambda pair: self.budgets.stop(pair[0], stopped=stopped),
            services,
        )
        await collect(
            lambda pair: self.budgets.prune(*pair, now),
            services,
        )
        return Ok(None)

    async def _repair(self, now: float) -> Result[None, Failure]:
        budgets = await self._budget_store.read_all()
        if isinstance(budgets, Err):
            return budgets
        fleet = await self._records.read_fleet()
        if isinstance(fleet, Err):
            return fleet
        grants = [
            grant
            for record in budgets.ok_value.values()
            for grant in record.grants
        ]
        plan = plan_repairs(
            self._read_policy(),
            fleet.ok_value,
            grants,
            self._leaving,
        )
        self.report = dataclasses.replace(self.report, short=plan.short)
        await collect(lambda outage: self.take_out(outage, now), plan.outages)
        await self._release_failed(plan.replaced, fleet.ok_value)
        return Ok(None)

    async def _release_failed(
        self,
        names: tuple[str, ...],
        fleet: Fleet,
    ) -> None:
        """Mark replaced VMs; they come back to their pool as a surplus."""
        entries = [fleet.entries[name] for name in names]
        await collect(self._release, entries)

    async def _release(self, entry: VmEntry) -> Result[VmEntry, Failure]:
        replaced = dataclasses.replace(
            entry.record,
            next_pool=entry.record.pool,
        )
        return await self._records.write(entry, replaced)

    async def _advance_wave(self, now: float) -> Result[None, Failure]:
        wave = await self._waves.read()
        if isinstance(wave, Err):
            return wave
        budgets = await self._budget_store.read_all()
        if isinstance(budgets, Err):
            return budgets
        fleet = await self._records.read_fleet()
        if isinstance(fleet, Err):
            return fleet
        plan = plan_wave(
            self._read_policy(),
            fleet.ok_value,
            budgets.ok_value,
            wave.ok_value.record,
            self._leaving,
        )
        outages = (Outage(name, MAINTENANCE) for name in plan.starts)
        await collect(lambda outage: self.take_out(outage, now), outages)
        self.report = dataclasses.replace(self.report, waiting=plan.waiting)
        return Ok(None)


def _find_leaving(listed: Mapping[str, ListedVm]) -> frozenset[str]:
    return frozenset(
        vm.name for vm in listed.values() if vm.state is ListState.LEAVING
    )
