"""VM moves in a seeded month, against a greedy planner.

Both planners have the same VMs, so their buffer is equal, and must keep the
same promises: each pool has its need, keeps its VMs at once after the loss of
any rack, and the spare pool makes up for the rest. Returned VMs go where they
were unless they were replaced. Waves reboot VMs in place and move none.
"""

import collections
import dataclasses
import itertools
import random
from collections.abc import Iterable
from typing import Any

from bench import pools_fleet
from verbenapost.coordination.pools.assignment import (
    FIXED_FLEET_PRICE,
    AssignmentModel,
)
from verbenapost.coordination.pools.demands import Demand, read_racks
from verbenapost.coordination.pools.records import Fleet, VmEntry
from verbenapost.coordination.pools.repair import plan_repairs
from verbenapost.coordination.pools.transfers import plan_transfers
from verbenapost.state.documents import FailureDomain
from verbenapost.state.vms import VmRecord, VmState

#: Hours of the trace.
HOURS = 30 * 24

#: Hours between two failures of the same VM, on average.
VM_FAILURE_HOURS = 60 * 24

#: Hours between two failures of racks at a site, on average.
RACK_FAILURE_HOURS = 20 * 24

#: Hours between two changes of some pool's need, on average.
DEMAND_HOURS = 36

#: Numbers of racks that the month is replayed with.
RACKS = (9, 10, 11)


@dataclasses.dataclass(frozen=True)
class Happening:
    """One event of the trace."""

    at: float
    kind: str
    names: tuple[str, ...] = ()
    pool: str = ''
    vms: int = 0


class Planner:
    """The VMs of a site and what is counted while it changes."""

    def __init__(
        self,
        demands: list[Demand],
        spare: str,
        racks: int,
    ) -> None:
        self.spare = spare
        self.demands = {demand.pool: demand for demand in demands}
        self.moves = 0
        self.uncovered = 0.0
        self.vms = {
            f'r{rack}-{place}': VmRecord(
                f'r{rack}-{place}',
                '',
                spare,
                data_centre=f'dc{rack % pools_fleet.CENTRES}',
                rack=f'r{rack}',
            )
            for rack, place in itertools.product(
                range(racks), range(pools_fleet.RACK_SIZE)
            )
        }

    def read_fleet(self) -> Fleet:
        """Return the VMs as records of the store."""
        entries = {name: VmEntry(vm, 1) for name, vm in self.vms.items()}
        return Fleet(entries, 1)

    def move(self, name: str, pool: str) -> None:
        """Move a VM at once and count it."""
        vm = self.vms[name]
        if vm.pool != pool:
            self.moves += 1
            self.vms[name] = dataclasses.replace(vm, pool=pool)

    def apply(self, happening: Happening) -> None:
        """Change what the event changes, then plan."""
        if happening.kind == 'demand':
            before = self.demands[happening.pool]
            self.demands[happening.pool] = dataclasses.replace(
                before, vms=happening.vms
            )
        for name in happening.names:
            failed = happening.kind == 'fail'
            state = VmState.FAILED if failed else VmState.IN_SERVICE
            self.vms[name] = dataclasses.replace(self.vms[name], state=state)
        self.plan()

    def plan(self) -> None:
        """Move VMs as the planner sees fit."""
        raise NotImplementedError

    def find_faults(self) -> int:
        """Return by how many VMs the promises are missed."""
        rows = [vm for vm in self.vms.values() if vm.state != VmState.FAILED]
        total = collections.Counter(vm.pool for vm in rows)
        by_rack: dict[str, collections.Counter[str]] = {}
        for vm in rows:
            rack = by_rack.setdefault(vm.rack, collections.Counter())
            rack[vm.pool] += 1
        faults = sum(
            max(0, demand.vms - total[pool])
            for pool, demand in self.demands.items()
        )
        losses = [collections.Counter(), *by_rack.values()]
        return faults + sum(self._find_loss(total, lost) for lost in losses)

    def _find_loss(
        self,
        total: collections.Counter[str],
        lost: collections.Counter[str],
    ) -> int:
        faults = 0
        short = 0
        for pool, demand in self.demands.items():
            left = total[pool] - lost[pool]
            faults += max(0, demand.at_once - left)
            if pool == self.spare:
                short += demand.vms - left
            else:
                short += max(0, demand.vms - left)
        return faults + max(0, short)


class SolverPlanner(Planner):
    """Repairs at once, then solves for the fewest moves."""

    def plan(self) -> None:
        """Repair, and tidy up only where a promise is missed."""
        demands = list(self.demands.values())
        policy = pools_fleet.make_policy(demands, self.spare)
        repairs = plan_repairs(policy, self.read_fleet(), [])
        for outage in repairs.outages:
            self.move(outage.vm, outage.next_pool)
        if self.find_faults():
            self._solve(demands)

    def _solve(self, demands: list[Demand]) -> None:
        fleet = self.read_fleet()
        model = AssignmentModel(read_racks(fleet), demands, self.spare)
        solved = model.solve(buffer_price=FIXED_FLEET_PRICE)
        if solved.is_err():
            return
        for outage in plan_transfers(fleet, solved.unwrap(), self.spare):
            self.move(outage.vm, outage.next_pool)


class GreedyPlanner(Planner):
    """Gives surplus back, fills gaps, then makes the best single moves."""

    def plan(self) -> None:
        """Move VMs one by one as long as a move helps."""
        for pool, demand in self.demands.items():
            if pool != self.spare:
                self._level(pool, demand.vms)
        while self._improve():
            continue

    def _level(self, pool: str, need: int) -> None:
        members = self._list(pool)
        for name in members[need:]:
            self.move(name, self.spare)
        free = self._list(self.spare)
        for name in free[: max(0, need - len(members))]:
            self.move(name, pool)
        for name, vm in self.vms.items():
            if vm.state is VmState.FAILED and vm.pool == pool:
                self.move(name, self.spare)

    def _list(self, pool: str) -> list[str]:
        return [
            name
            for name, vm in self.vms.items()
            if vm.pool == pool and vm.state is not VmState.FAILED
        ]

    def _improve(self) -> bool:
        before = self.find_faults()
        if not before:
            return False
        best = min(self._list_changes(), key=self._try, default=None)
        if best is None or self._try(best) >= before:
            return False
        for name, pool in best:
            self.move(name, pool)
        return True

    def _list_changes(self) -> Iterable[tuple[tuple[str, str], ...]]:
        """List single moves and, after them, exchanges of two VMs."""
        live = [
            vm for vm in self.vms.values() if vm.state is not VmState.FAILED
        ]
        for vm in live:
            for pool in self.demands:
                if pool != vm.pool:
                    yield ((vm.name, pool),)
        for one, two in itertools.combinations(live, 2):
            if one.pool != two.pool and one.rack != two.rack:
                yield ((one.name, two.pool), (two.name, one.pool))

    def _try(self, change: tuple[tuple[str, str], ...]) -> int:
        before = {name: self.vms[name] for name, _ in change}
        for name, pool in change:
            self.vms[name] = dataclasses.replace(self.vms[name], pool=pool)
        faults = self.find_faults()
        self.vms.update(before)
        return faults


class LazyGreedyPlanner(GreedyPlanner):
    """Fills gaps, makes the best single moves and gives nothing back."""

    def _level(self, pool: str, need: int) -> None:
        missing = max(0, need - len(self._list(pool)))
        for name in self._list(self.spare)[:missing]:
            self.move(name, pool)


def record_month(
    draw: random.Random,
    demands: list[Demand],
    racks: int,
) -> list[Happening]:
    """Return the events of a month in order of time."""
    events: list[Happening] = []
    for rack in range(racks):
        names = [f'r{rack}-{place}' for place in range(pools_fleet.RACK_SIZE)]
        for name in names:
            events.extend(_fail(draw, (name,), VM_FAILURE_HOURS))
        events.extend(_fail(draw, tuple(names), RACK_FAILURE_HOURS * racks))
    for at in _draw_times(draw, DEMAND_HOURS):
        demand = draw.choice(demands)
        vms = max(5, min(7, demand.vms + draw.choice((-1, 0, 1))))
        events.append(Happening(at, 'demand', pool=demand.pool, vms=vms))
    return sorted(events, key=lambda event: event.at)


def _draw_times(draw: random.Random, mean: float) -> Iterable[float]:
    at = draw.expovariate(1 / mean)
    while at < HOURS:
        yield at
        at += draw.expovariate(1 / mean)


def _fail(
    draw: random.Random,
    names: tuple[str, ...],
    mean: float,
) -> Iterable[Happening]:
    for at in _draw_times(draw, mean):
        yield Happening(at, 'fail', names)
        back = at + draw.uniform(0.5, 24)
        yield Happening(back, 'return', names)


def _replay(planner: Planner, events: list[Happening]) -> Planner:
    planner.plan()
    planner.moves = 0
    previous = 0.0
    faults = 0
    for event in events:
        planner.uncovered += (event.at - previous) * bool(faults)
        planner.apply(event)
        faults = planner.find_faults()
        previous = event.at
    return planner


def measure(seeds: range) -> list[dict[str, Any]]:
    """Return one row a site, number of racks and seed."""
    return [
        _measure_site(site, racks, seed)
        for site in pools_fleet.SITES
        for racks in RACKS
        for seed in seeds
    ]


def _measure_site(site: str, racks: int, seed: int) -> dict[str, Any]:
    draw = random.Random(f'month {site} {seed}')
    spare = pools_fleet.SITES[site][-1]
    demands = pools_fleet.draw_demands(site, draw, FailureDomain.RACK)
    events = record_month(draw, demands, racks)
    ours = _replay(SolverPlanner(demands, spare, racks), events)
    greedy = _replay(GreedyPlanner(demands, spare, racks), events)
    lazy = _replay(LazyGreedyPlanner(demands, spare, racks), events)
    return {
        'site': site,
        'racks': racks,
        'seed': seed,
        'vms': len(ours.vms),
        'events': len(events),
        'moves': ours.moves,
        'greedy_moves': greedy.moves,
        'moves_to_greedy': round(ours.moves / greedy.moves, 3),
        'lazy_moves': lazy.moves,
        'moves_to_lazy': round(ours.moves / max(1, lazy.moves), 3),
        'uncovered_hours': round(ours.uncovered, 1),
        'greedy_uncovered_hours': round(greedy.uncovered, 1),
        'lazy_uncovered_hours': round(lazy.uncovered, 1),
    }
