"""VM moves in a randomly drawn month, compared with greedy planners.

All planners have the same VMs, so their buffers are equal, and must keep the
same guarantees: each pool has the VMs that it needs, keeps its minimum
immediately after the loss of any rack, and the spare pool covers the remaining
shortage. VMs that return stay in their pool unless they were replaced. Waves
reboot VMs in place and move none.
"""

import collections
import dataclasses
import itertools
import random
from collections.abc import Iterable
from typing import Any

from bench import pools_fleet
from verbenapost.coordination.pools.assignment import (
    FIXED_FLEET_BUFFER_WEIGHT,
    AssignmentModel,
)
from verbenapost.coordination.pools.demands import Demand, read_racks
from verbenapost.coordination.pools.records import Fleet, VmEntry
from verbenapost.coordination.pools.repair import plan_repairs
from verbenapost.coordination.pools.transfers import plan_transfers
from verbenapost.state.documents import FailureDomain
from verbenapost.state.vms import VmRecord, VmState

#: Length of the trace, in hours.
HOURS = 30 * 24

#: Mean time between two failures of the same VM, in hours.
VM_FAILURE_HOURS = 60 * 24

#: Mean time between two rack failures at a site, in hours.
RACK_FAILURE_HOURS = 20 * 24

#: Mean time between two changes of any demand at a site, in hours.
DEMAND_HOURS = 36

#: Measured numbers of racks.
RACK_COUNTS = (9, 10, 11)


@dataclasses.dataclass(frozen=True)
class FleetEvent:
    """One event of the trace.

    :param at: hours since the start of the trace.
    :param kind: ``fail``, ``return`` or ``demand``.
    :param names: VMs that fail or return.
    :param pool: pool whose demand changes.
    :param vms: new demand of the pool.
    """

    at: float
    kind: str
    names: tuple[str, ...] = ()
    pool: str = ''
    vms: int = 0


class Planner:
    """Base of the planners: the VMs of a site, and the figures of its replay.

    :param demands: demands of the pools at the start.
    :param spare: name of the spare pool.
    :param racks: number of racks.
    """

    def __init__(
        self,
        demands: list[Demand],
        spare: str,
        racks: int,
    ) -> None:
        self.spare = spare
        self.demands = {demand.pool: demand for demand in demands}
        self.moves = 0
        self.violation_hours = 0.0
        self.vms = {
            f'r{rack}-{place}': VmRecord(
                f'r{rack}-{place}',
                '',
                spare,
                data_centre=f'dc{rack % pools_fleet.DATA_CENTRES}',
                rack=f'r{rack}',
            )
            for rack, place in itertools.product(
                range(racks), range(pools_fleet.RACK_SIZE)
            )
        }

    def make_fleet(self) -> Fleet:
        """Return the VMs as the product reads them from the store."""
        entries = {name: VmEntry(vm, 1) for name, vm in self.vms.items()}
        return Fleet(entries, 1)

    def move(self, name: str, pool: str) -> None:
        """Move a VM to a pool immediately and count the move."""
        vm = self.vms[name]
        if vm.pool != pool:
            self.moves += 1
            self.vms[name] = dataclasses.replace(vm, pool=pool)

    def apply(self, fleet_event: FleetEvent) -> None:
        """Apply an event to the demands and VMs, then plan."""
        if fleet_event.kind == 'demand':
            before = self.demands[fleet_event.pool]
            self.demands[fleet_event.pool] = dataclasses.replace(
                before, vms=fleet_event.vms
            )
        for name in fleet_event.names:
            failed = fleet_event.kind == 'fail'
            state = VmState.FAILED if failed else VmState.IN_SERVICE
            self.vms[name] = dataclasses.replace(self.vms[name], state=state)
        self.plan()

    def plan(self) -> None:
        """Move VMs to restore the guarantees."""
        raise NotImplementedError

    def count_violations(self) -> int:
        """Return by how many VMs the guarantees are violated."""
        rows = [vm for vm in self.vms.values() if vm.state != VmState.FAILED]
        total = collections.Counter(vm.pool for vm in rows)
        by_rack: dict[str, collections.Counter[str]] = {}
        for vm in rows:
            rack = by_rack.setdefault(vm.rack, collections.Counter())
            rack[vm.pool] += 1
        violations = sum(
            max(0, demand.vms - total[pool])
            for pool, demand in self.demands.items()
        )
        losses = [collections.Counter(), *by_rack.values()]
        return violations + sum(
            self._count_loss_violations(total, lost) for lost in losses
        )

    def _count_loss_violations(
        self,
        total: collections.Counter[str],
        lost: collections.Counter[str],
    ) -> int:
        violations = 0
        shortage = 0
        for pool, demand in self.demands.items():
            left = total[pool] - lost[pool]
            violations += max(0, demand.min_after_loss - left)
            if pool == self.spare:
                shortage += demand.vms - left
            else:
                shortage += max(0, demand.vms - left)
        return violations + max(0, shortage)


class SolverPlanner(Planner):
    """Replaces failed VMs, then solves for the fewest moves."""

    def plan(self) -> None:
        """Replace failed VMs; solve only if a guarantee is still violated."""
        demands = list(self.demands.values())
        policy = pools_fleet.make_policy(demands, self.spare)
        repairs = plan_repairs(policy, self.make_fleet(), [])
        for outage in repairs.outages:
            self.move(outage.vm, outage.next_pool)
        if self.count_violations():
            self._solve(demands)

    def _solve(self, demands: list[Demand]) -> None:
        fleet = self.make_fleet()
        model = AssignmentModel(read_racks(fleet), demands, self.spare)
        solved = model.solve(buffer_weight=FIXED_FLEET_BUFFER_WEIGHT)
        if solved.is_err():
            return
        for outage in plan_transfers(fleet, solved.unwrap(), self.spare):
            self.move(outage.vm, outage.next_pool)


class GreedyPlanner(Planner):
    """Returns surplus VMs, fills gaps, then makes the best single moves."""

    def plan(self) -> None:
        """Move VMs one by one as long as a move reduces the violations."""
        for pool, demand in self.demands.items():
            if pool != self.spare:
                self._adjust_pool(pool, demand.vms)
        while self._apply_best_change():
            continue

    def _adjust_pool(self, pool: str, need: int) -> None:
        members = self._list_pool(pool)
        for name in members[need:]:
            self.move(name, self.spare)
        free = self._list_pool(self.spare)
        for name in free[: max(0, need - len(members))]:
            self.move(name, pool)
        for name, vm in self.vms.items():
            if vm.state is VmState.FAILED and vm.pool == pool:
                self.move(name, self.spare)

    def _list_pool(self, pool: str) -> list[str]:
        return [
            name
            for name, vm in self.vms.items()
            if vm.pool == pool and vm.state is not VmState.FAILED
        ]

    def _apply_best_change(self) -> bool:
        before = self.count_violations()
        if not before:
            return False
        best = min(
            self._list_changes(), key=self._count_violations_after, default=None
        )
        if best is None or self._count_violations_after(best) >= before:
            return False
        for name, pool in best:
            self.move(name, pool)
        return True

    def _list_changes(self) -> Iterable[tuple[tuple[str, str], ...]]:
        """Generate single moves and, after them, exchanges of two VMs."""
        live = [
            vm for vm in self.vms.values() if vm.state is not VmState.FAILED
        ]
        for vm in live:
            for pool in self.demands:
                if pool != vm.pool:
                    yield ((vm.name, pool),)
        for first, second in itertools.combinations(live, 2):
            if first.pool != second.pool and first.rack != second.rack:
                yield ((first.name, second.pool), (second.name, first.pool))

    def _count_violations_after(
        self, change: tuple[tuple[str, str], ...]
    ) -> int:
        before = {name: self.vms[name] for name, _ in change}
        for name, pool in change:
            self.vms[name] = dataclasses.replace(self.vms[name], pool=pool)
        violations = self.count_violations()
        self.vms.update(before)
        return violations


class LazyGreedyPlanner(GreedyPlanner):
    """Fills gaps and makes the best single moves, but returns no VM."""

    def _adjust_pool(self, pool: str, need: int) -> None:
        missing = max(0, need - len(self._list_pool(pool)))
        for name in self._list_pool(self.spare)[:missing]:
            self.move(name, pool)


def draw_events(
    rng: random.Random,
    demands: list[Demand],
    racks: int,
) -> list[FleetEvent]:
    """Return the events of a month in order of time.

    :param rng: source of the events.
    :param demands: demands of the pools at the start.
    :param racks: number of racks.
    """
    events: list[FleetEvent] = []
    for rack in range(racks):
        names = [f'r{rack}-{place}' for place in range(pools_fleet.RACK_SIZE)]
        for name in names:
            events.extend(_draw_failures(rng, (name,), VM_FAILURE_HOURS))
        events.extend(
            _draw_failures(rng, tuple(names), RACK_FAILURE_HOURS * racks)
        )
    for at in _draw_times(rng, DEMAND_HOURS):
        demand = rng.choice(demands)
        vms = max(5, min(7, demand.vms + rng.choice((-1, 0, 1))))
        events.append(FleetEvent(at, 'demand', pool=demand.pool, vms=vms))
    return sorted(events, key=lambda event: event.at)


def _draw_times(rng: random.Random, mean: float) -> Iterable[float]:
    at = rng.expovariate(1 / mean)
    while at < HOURS:
        yield at
        at += rng.expovariate(1 / mean)


def _draw_failures(
    rng: random.Random,
    names: tuple[str, ...],
    mean: float,
) -> Iterable[FleetEvent]:
    for at in _draw_times(rng, mean):
        yield FleetEvent(at, 'fail', names)
        returned_at = at + rng.uniform(0.5, 24)
        yield FleetEvent(returned_at, 'return', names)


def _replay(planner: Planner, events: list[FleetEvent]) -> Planner:
    planner.plan()
    planner.moves = 0
    previous = 0.0
    violations = 0
    for event in events:
        planner.violation_hours += (event.at - previous) * bool(violations)
        planner.apply(event)
        violations = planner.count_violations()
        previous = event.at
    return planner


def measure(seeds: range) -> list[dict[str, Any]]:
    """Return one row for each site, number of racks and seed."""
    return [
        _measure_site(site, racks, seed)
        for site in pools_fleet.SITES
        for racks in RACK_COUNTS
        for seed in seeds
    ]


def _measure_site(site: str, racks: int, seed: int) -> dict[str, Any]:
    rng = random.Random(f'month {site} {seed}')
    spare = pools_fleet.SITES[site][-1]
    demands = pools_fleet.draw_demands(site, rng, FailureDomain.RACK)
    events = draw_events(rng, demands, racks)
    solver = _replay(SolverPlanner(demands, spare, racks), events)
    greedy = _replay(GreedyPlanner(demands, spare, racks), events)
    lazy = _replay(LazyGreedyPlanner(demands, spare, racks), events)
    return {
        'site': site,
        'racks': racks,
        'seed': seed,
        'vms': len(solver.vms),
        'events': len(events),
        'moves': solver.moves,
        'greedy_moves': greedy.moves,
        'moves_to_greedy': round(solver.moves / greedy.moves, 3),
        'lazy_moves': lazy.moves,
        'moves_to_lazy': round(solver.moves / max(1, lazy.moves), 3),
        'uncovered_hours': round(solver.violation_hours, 1),
        'greedy_uncovered_hours': round(greedy.violation_hours, 1),
        'lazy_uncovered_hours': round(lazy.violation_hours, 1),
    }
