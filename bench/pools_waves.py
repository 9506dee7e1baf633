"""Roll-out of a maintenance wave against the fastest the budgets allow."""

import dataclasses
import heapq
import itertools
import random
from typing import Any

from bench import pools_fleet
from verbenapost.coordination.pools.assignment import (
    Assignment,
    AssignmentModel,
)
from verbenapost.coordination.pools.budget_rules import build_view
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.program import Program
from verbenapost.coordination.pools.records import Fleet, VmEntry
from verbenapost.coordination.pools.waves import plan_wave
from verbenapost.state.budgets import BudgetRecord, Grant
from verbenapost.state.documents import FailureDomain
from verbenapost.state.vms import VmRecord
from verbenapost.state.waves import WaveRecord

#: Unix time at which a wave starts, in seconds.
START = 1000.0


def build_fleet(assignment: Assignment) -> Fleet:
    """Return VMs in service as an assignment places them."""
    entries = {}
    for (centre, rack), pools in assignment.counts.items():
        names = itertools.chain.from_iterable(
            itertools.repeat(pool, count) for pool, count in pools.items()
        )
        for place, pool in enumerate(names):
            vm = VmRecord(
                f'{rack}-{place}', '', pool, data_centre=centre, rack=rack
            )
            entries[vm.name] = VmEntry(vm, 1)
    return Fleet(entries, 1)


def _grant(names: set[str]) -> BudgetRecord:
    return BudgetRecord(tuple(Grant(vm, '', 0, '', 1) for vm in sorted(names)))


class Rollout:
    """Runs a wave over the decision objects in virtual time."""

    def __init__(
        self,
        policy: FleetPolicy,
        fleet: Fleet,
        durations: dict[str, float],
    ) -> None:
        self._policy = policy
        self._entries = dict(fleet.entries)
        self._durations = durations
        self._out: set[str] = set()
        self._ends: list[tuple[float, str]] = []

    def run(self) -> float:
        """Return the seconds until the last VM is back."""
        now = START
        self._start(now)
        while self._ends:
            now, name = heapq.heappop(self._ends)
            self._return(name, now)
            if not self._ends or self._ends[0][0] > now:
                self._start(now)
        waiting = self._plan().waiting
        if waiting:
            raise RuntimeError(f'the wave is stuck: {waiting}')
        return now - START

    def _plan(self) -> Any:
        fleet = Fleet(self._entries, 1)
        budgets = {
            service: _grant(
                {
                    name
                    for name in self._out
                    if self._entries[name].record.pool == pool
                }
            )
            for pool in self._policy.pools
            for service in self._policy.find_budgets(pool)
        }
        wave = WaveRecord('wave', START)
        return plan_wave(self._policy, fleet, budgets, wave)

    def _start(self, now: float) -> None:
        for name in self._plan().starts:
            self._out.add(name)
            heapq.heappush(self._ends, (now + self._durations[name], name))

    def _return(self, name: str, now: float) -> None:
        self._out.discard(name)
        entry = self._entries[name]
        back = dataclasses.replace(entry.record, maintained_at=now)
        self._entries[name] = VmEntry(back, entry.revision)


def find_bound(
    policy: FleetPolicy,
    fleet: Fleet,
    durations: dict[str, float],
) -> float:
    """Return seconds that no schedule within the budgets can beat.

    Each moment of a schedule has a set of VMs out that the budgets allow.
    The least total time of such sets that covers each VM for its outage,
    even in pieces, is a linear programme over the sets.
    """
    return max(
        _find_pool_bound(policy, fleet, pool, durations)
        for pool in policy.pools
    )


def _find_pool_bound(
    policy: FleetPolicy,
    fleet: Fleet,
    pool: str,
    durations: dict[str, float],
) -> float:
    members = [vm.name for vm in fleet.list_pool(pool)]
    budget = policy.services[pool].budget
    program = Program()
    covers: dict[str, dict[int, float]] = {name: {} for name in members}
    for size in range(1, budget.max_planned + 1):
        for names in itertools.combinations(members, size):
            record = _grant(set(names))
            if build_view(budget, pool, fleet, record).count_margin() < 0:
                continue
            column = program.add_column(cost=1)
            for name in names:
                covers[name][column] = 1
    for name, columns in covers.items():
        program.add_row(columns, lower=durations[name])
    return program.solve(relaxed=True).unwrap().objective


def measure(seeds: range) -> list[dict[str, Any]]:
    """Return one row a site, kind of durations and seed."""
    return [
        _measure_site(site, equal, max_planned, seed)
        for site in pools_fleet.SITES
        for equal in (True, False)
        for max_planned in (1, 2, 3)
        for seed in seeds
    ]


def _measure_site(
    site: str,
    equal: bool,  # noqa: FBT001
    max_planned: int,
    seed: int,
) -> dict[str, Any]:
    draw = random.Random(f'{site} {seed}')
    spare = pools_fleet.SITES[site][-1]
    demands = pools_fleet.draw_demands(site, draw, FailureDomain.RACK)
    racks = pools_fleet.make_racks(draw.choice((10, 12, 14)), spare)
    solved = AssignmentModel(racks, demands, spare).solve().unwrap()
    policy = pools_fleet.make_policy(demands, spare, max_planned)
    fleet = build_fleet(solved)
    durations = {
        vm.name: 600.0 if equal else draw.uniform(300, 900) for vm in fleet
    }
    taken = Rollout(policy, fleet, durations).run()
    bound = find_bound(policy, fleet, durations)
    return {
        'site': site,
        'equal_durations': equal,
        'max_planned': max_planned,
        'seed': seed,
        'vms': len(fleet.entries),
        'seconds': round(taken),
        'bound_seconds': round(bound),
        'ratio': round(taken / bound, 3),
    }
