"""The pool keeper: one round of all that pools need."""

import dataclasses
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias, final

from result import Err, Ok, Result

from verbenapost.coordination.pools.budget_store import BudgetStore
from verbenapost.coordination.pools.budgets import Budgets
from verbenapost.coordination.pools.health import UNHEALTHY, HealthTracker
from verbenapost.coordination.pools.moves import Mover, make_failed
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
from verbenapost.coordination.pools.swap import MarkedWriter
from verbenapost.coordination.pools.wave_store import WaveStore
from verbenapost.coordination.pools.waves import MAINTENANCE, plan_wave
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.platform import ListedVm, ListState, PlatformPort
from verbenapost.protocol.store import StorePort
from verbenapost.state.budgets import BudgetRecord
from verbenapost.state.vms import VmState

#: Seconds between two rounds of a keeper.
ROUND_SECONDS = 2.0

_Part: TypeAlias = Callable[[Snapshot, float], Awaitable[None]]


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
        """Do one round.

        :param now: Unix time in seconds.
        :returns: the first failure that ended the round; the next round
            starts anew.
        """
        self.reader.forget()
        return await run_until_failure(
            lambda part: self._run_part(part, now),
            (
                self._read_list,
                self._mark_unhealthy,
                self._advance_moves,
                self._prune_budgets,
                self._repair,
                self._advance_wave,
            ),
        )

    async def _run_part(
        self,
        part: _Part,
        now: float,
    ) -> Result[None, Failure]:
        snapshot = await self.reader.read()
        if isinstance(snapshot, Err):
            return snapshot
        await part(snapshot.ok_value, now)
        return Ok(None)

    async def _read_list(self, snapshot: Snapshot, now: float) -> None:
        listed = await self._platform.list_vms()
        if isinstance(listed, Err):
            # What is recorded can go on without the list.
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
        failed = make_failed(entry.record, UNHEALTHY, now)
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
            lambda service: self.budgets.stop(service, stopped=stopped),
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
        self.report = dataclasses.replace(self.report, short=plan.short)
        await collect(
            lambda outage: self.starter.take_out(outage, now), plan.outages
        )
        await collect(
            self._release,
            (snapshot.fleet.entries[name] for name in plan.replaced),
        )

    async def _release(self, entry: VmEntry) -> Result[VmEntry, Failure]:
        """Mark a replaced VM; it comes back to its pool as a surplus."""
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
            lambda outage: self.starter.take_out(outage, now), outages
        )
        self.report = dataclasses.replace(self.report, waiting=plan.waiting)


def _find_leaving(listed: Mapping[str, ListedVm]) -> frozenset[str]:
    return frozenset(
        vm.name for vm in listed.values() if vm.state is ListState.LEAVING
    )
