"""Pool keeper: the control loop that repairs and maintains pools."""

import dataclasses
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias, final

from result import Err, Ok, Result

from verbenapost.coordination.pools.budget_store import BudgetStore
from verbenapost.coordination.pools.budgets import Budgets
from verbenapost.coordination.pools.health import UNHEALTHY, HealthTracker
from verbenapost.coordination.pools.marked_writer import MarkedWriter
from verbenapost.coordination.pools.moves import Mover, make_failed_record
from verbenapost.coordination.pools.outage_starter import OutageStarter
from verbenapost.coordination.pools.outages import Outage
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.reconcile import Reconciler, Sightings
from verbenapost.coordination.pools.records import VmEntry, VmRecords
from verbenapost.coordination.pools.repair import plan_repairs
from verbenapost.coordination.pools.sequence import (
    collect,
    run_until_failure,
)
from verbenapost.coordination.pools.snapshot import (
    Snapshot,
    SnapshotReader,
)
from verbenapost.coordination.pools.wave_store import WaveStore
from verbenapost.coordination.pools.waves import MAINTENANCE, plan_wave
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.platform import ListedVm, ListedVmState, PlatformPort
from verbenapost.protocol.store import StorePort
from verbenapost.state.budgets import BudgetRecord
from verbenapost.state.vms import VmState

#: Seconds between two rounds of a keeper.
ROUND_SECONDS = 2.0

_Phase: TypeAlias = Callable[[Snapshot, float], Awaitable[None]]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KeeperReport:
    """Result of the last round, shown to operators.

    :param waiting: reason for each VM that waits for maintenance.
    :param shortages: number of VMs that each pool lacks.
    """

    waiting: Mapping[str, str]
    shortages: Mapping[str, int]


class PoolKeeper:
    """Reconciles, repairs, moves and maintains the VMs of a region.

    Explanation
    ===========

    Any number of keepers may run at the same time: each durable step is a
    compare-and-swap, and every round starts from the stored records. Usually
    only one daemon runs a keeper, which saves calls but is not required.

    :param store: the platform's store.
    :param platform: VM list and pool interface.
    :param instance: identity of this process start.
    :param read_policy: returns the configuration in force.
    :param confirm: returns whether every live member has applied a VM record.
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
        self.report = KeeperReport({}, {})
        self._platform = platform
        self.read_policy = read_policy
        self._records = VmRecords(writer)
        self._budget_store = BudgetStore(writer)
        self.reader = SnapshotReader(
            writer,
            self._records,
            self._budget_store,
            WaveStore(writer),
        )
        self.budgets = Budgets(self._budget_store, self._records)
        self.starter = OutageStarter(
            self._records,
            self.budgets,
            read_policy,
        )
        self._mover = Mover(self._records, platform, confirm)
        self._reconciler = Reconciler(self._records, platform, Sightings())
        self.leaving: frozenset[str] = frozenset()

    async def step(self, now: float) -> Result[None, Failure]:
        """Run one round.

        :param now: Unix time in seconds.
        :returns: the failure that ended the round, if any; the next round
            starts from the first phase again.
        """
        self.reader.invalidate()
        return await run_until_failure(
            lambda phase: self._run_phase(phase, now),
            (
                self._reconcile_list,
                self._mark_unhealthy,
                self._advance_moves,
                self._prune_budgets,
                self._repair,
                self._advance_wave,
            ),
        )

    async def _run_phase(
        self,
        phase: _Phase,
        now: float,
    ) -> Result[None, Failure]:
        snapshot = await self.reader.read()
        if isinstance(snapshot, Err):
            return snapshot
        await phase(snapshot.ok_value, now)
        return Ok(None)

    async def _reconcile_list(self, snapshot: Snapshot, now: float) -> None:
        listed = await self._platform.list_vms()
        if isinstance(listed, Err):
            # The other phases can go on without a new list.
            return
        by_name = {vm.name: vm for vm in listed.ok_value}
        self.leaving = _find_leaving(by_name)
        await self._reconciler.reconcile(
            by_name,
            snapshot.fleet,
            self.read_policy().spare_pool,
            now,
        )

    async def _mark_unhealthy(self, snapshot: Snapshot, now: float) -> None:
        names = self.health.find_unhealthy(snapshot.fleet, now)
        entries = (snapshot.fleet.entries[name] for name in names)
        await collect(lambda entry: self._mark_failed(entry, now), entries)
        self.health.forget(names)

    async def _mark_failed(
        self,
        entry: VmEntry,
        now: float,
    ) -> Result[VmEntry, Failure]:
        failed = make_failed_record(entry.record, UNHEALTHY, now)
        return await self._records.write(entry, failed)

    async def _advance_moves(self, snapshot: Snapshot, now: float) -> None:
        out = (
            entry
            for entry in snapshot.fleet.entries.values()
            if entry.record.state is not VmState.IN_SERVICE
        )
        await collect(lambda entry: self._advance(entry, now), out)

    async def _advance(
        self,
        entry: VmEntry,
        now: float,
    ) -> Result[VmEntry, Failure]:
        leaving = entry.record.name in self.leaving
        return await self._mover.advance(entry, now, leaving=leaving)

    async def _prune_budgets(self, snapshot: Snapshot, now: float) -> None:
        policy = self.read_policy()
        stopped = snapshot.wave.stopped
        pairs = [
            (service, pool)
            for pool in policy.pools
            for service in policy.find_budgets(pool)
        ]
        records = {
            service: snapshot.budgets.get(service, BudgetRecord())
            for service, _ in pairs
        }
        await collect(
            lambda service: self.budgets.set_stopped(service, stopped=stopped),
            (
                service
                for service, record in records.items()
                if record.stopped != stopped
            ),
        )
        await collect(
            lambda pair: self.budgets.prune(*pair, now),
            (pair for pair in pairs if records[pair[0]].grants),
        )

    async def _repair(self, snapshot: Snapshot, now: float) -> None:
        plan = plan_repairs(
            self.read_policy(),
            snapshot.fleet,
            snapshot.list_grants(),
            self.leaving,
        )
        self.report = dataclasses.replace(self.report, shortages=plan.shortages)
        await collect(
            lambda outage: self.starter.start_outage(outage, now), plan.outages
        )
        await collect(
            self._record_replaced,
            (snapshot.fleet.entries[name] for name in plan.replaced),
        )

    async def _record_replaced(
        self, entry: VmEntry
    ) -> Result[VmEntry, Failure]:
        """Mark a failed VM as replaced.

        The VM later returns to its pool as a surplus VM.
        """
        replaced = dataclasses.replace(
            entry.record,
            next_pool=entry.record.pool,
        )
        return await self._records.write(entry, replaced)

    async def _advance_wave(self, snapshot: Snapshot, now: float) -> None:
        plan = plan_wave(
            self.read_policy(),
            snapshot.fleet,
            snapshot.budgets,
            snapshot.wave,
            self.leaving,
        )
        outages = (Outage(name, MAINTENANCE) for name in plan.starts)
        await collect(
            lambda outage: self.starter.start_outage(outage, now), outages
        )
        self.report = dataclasses.replace(self.report, waiting=plan.waiting)


def _find_leaving(listed: Mapping[str, ListedVm]) -> frozenset[str]:
    return frozenset(
        vm.name for vm in listed.values() if vm.state is ListedVmState.LEAVING
    )
