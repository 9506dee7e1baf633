"""Duration of a maintenance wave, compared with its lower bound."""

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
from verbenapost.state.budgets import BudgetRecord, OutageGrant
from verbenapost.state.documents import FailureDomain
from verbenapost.state.vms import VmRecord
from verbenapost.state.waves import WaveRecord

#: Unix time at which a wave starts, in seconds.
START = 1000.0


def build_fleet(assignment: Assignment) -> Fleet:
    """Return a fleet of VMs in service, placed according to an assignment."""
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


def _make_budget_record(names: set[str]) -> BudgetRecord:
    return BudgetRecord(
        tuple(OutageGrant(vm, '', 0, '', 1) for vm in sorted(names))
    )


class Rollout:
    """Simulates a wave in virtual time with the product's wave planner.

    :param policy: configuration of the pools and services.
    :param fleet: VMs at the start of the wave.
    :param durations: maintenance time of each VM, in seconds.
    """

    def __init__(
        self,
        policy: FleetPolicy,
        fleet: Fleet,
        durations: dict[str, float],
    ) -> None:
        self._policy = policy
        self._entries = dict(fleet.entries)
        self._durations = durations
        self._in_maintenance: set[str] = set()
        self._end_times: list[tuple[float, str]] = []

    def run(self) -> float:
        """Return the seconds until the maintenance of the last VM ends.

        :raises RuntimeError: if VMs remain that the budgets never let start.
        """
        now = START
        self._start_allowed(now)
        while self._end_times:
            now, name = heapq.heappop(self._end_times)
            self._complete(name, now)
            if not self._end_times or self._end_times[0][0] > now:
                self._start_allowed(now)
        waiting = self._plan().waiting
        if waiting:
            raise RuntimeError(
                f'the wave makes no progress, VMs wait: {waiting}'
            )
        return now - START

    def _plan(self) -> Any:
        fleet = Fleet(self._entries, 1)
        budgets = {
            service: _make_budget_record(
                {
                    name
                    for name in self._in_maintenance
                    if self._entries[name].record.pool == pool
                }
            )
            for pool in self._policy.pools
            for service in self._policy.find_budgets(pool)
        }
        wave = WaveRecord('wave', START)
        return plan_wave(self._policy, fleet, budgets, wave)

    def _start_allowed(self, now: float) -> None:
        for name in self._plan().starts:
            self._in_maintenance.add(name)
            heapq.heappush(self._end_times, (now + self._durations[name], name))

    def _complete(self, name: str, now: float) -> None:
        self._in_maintenance.discard(name)
        entry = self._entries[name]
        maintained = dataclasses.replace(entry.record, maintained_at=now)
        self._entries[name] = VmEntry(maintained, entry.revision)


def compute_lower_bound(
    policy: FleetPolicy,
    fleet: Fleet,
    durations: dict[str, float],
) -> float:
    """Return a lower bound of the duration of any schedule, in seconds.

    At each moment of a schedule, the VMs in maintenance are a set that the
    budgets allow. The minimum total time of such sets that covers the
    maintenance of each VM, which may be interrupted, is a linear programme
    over the sets.

    :param policy: configuration of the pools and services.
    :param fleet: VMs at the start of the wave.
    :param durations: maintenance time of each VM, in seconds.
    """
    return max(
        _compute_pool_bound(policy, fleet, pool, durations)
        for pool in policy.pools
    )


def _compute_pool_bound(
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
            record = _make_budget_record(set(names))
            if build_view(budget, pool, fleet, record).count_margin() < 0:
                continue
            column = program.add_column(cost=1)
            for name in names:
                covers[name][column] = 1
    for name, columns in covers.items():
        program.add_row(columns, lower=durations[name])
    return program.solve(relaxed=True).unwrap().objective


def measure(seeds: range) -> list[dict[str, Any]]:
    """Return one row for each site, kind of durations, limit and seed."""
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
    rng = random.Random(f'{site} {seed}')
    spare = pools_fleet.SITES[site][-1]
    demands = pools_fleet.draw_demands(site, rng, FailureDomain.RACK)
    racks = pools_fleet.make_racks(rng.choice((10, 12, 14)), spare)
    solved = AssignmentModel(racks, demands, spare).solve().unwrap()
    policy = pools_fleet.make_policy(demands, spare, max_planned)
    fleet = build_fleet(solved)
    durations = {
        vm.name: 600.0 if equal else rng.uniform(300, 900) for vm in fleet
    }
    elapsed = Rollout(policy, fleet, durations).run()
    bound = compute_lower_bound(policy, fleet, durations)
    return {
        'site': site,
        'equal_durations': equal,
        'max_planned': max_planned,
        'seed': seed,
        'vms': len(fleet.entries),
        'seconds': round(elapsed),
        'bound_seconds': round(bound),
        'ratio': round(elapsed / bound, 3),
    }
