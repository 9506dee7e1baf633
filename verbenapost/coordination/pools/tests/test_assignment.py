"""Tests of the assignment of VMs to pools."""

import collections
import dataclasses
import math
import random

import pytest

from verbenapost.coordination.pools.assignment import AssignmentModel
from verbenapost.coordination.pools.demands import (
    Demand,
    Rack,
    read_demands,
    read_racks,
)
from verbenapost.coordination.pools.records import Fleet, VmEntry
from verbenapost.coordination.pools.tests.simulation import make_policy
from verbenapost.coordination.pools.transfers import plan_transfers
from verbenapost.state.documents import AvailabilityBudget, FailureDomain
from verbenapost.state.vms import VmRecord, VmState

SPARE = 'spare'


def make_racks(count, pool=SPARE, size=4):
    return [
        Rack(f'dc{num % 3}', f'r{num}', {pool: size}) for num in range(count)
    ]


def make_demands(vms=6, min_after_loss=2, survive=FailureDomain.RACK):
    names = [*(f'pool{number}' for number in range(4)), SPARE]
    return [Demand(name, vms, min_after_loss, survive) for name in names]


def find_shortage(counts, demands, lost):
    """Return how many lost VMs the spare pool can't replace."""
    left = collections.Counter()
    for key, pools in counts.items():
        if key not in lost:
            left.update(pools)
    needs = {demand.pool: demand.vms for demand in demands}
    free = left[SPARE] - needs.pop(SPARE)
    return sum(max(0, need - left[pool]) for pool, need in needs.items()) - free


def solve(racks, demands, **options):
    return AssignmentModel(racks, demands, SPARE, **options).solve()


class TestAssignment:
    @pytest.mark.parametrize('seed', range(3))
    def test_every_rack_may_be_lost(self, seed):
        rng = random.Random(seed)
        racks = make_racks(rng.randrange(9, 15))
        demands = [
            dataclasses.replace(demand, vms=rng.randrange(3, 7))
            for demand in make_demands()
        ]
        solved = solve(racks, demands).unwrap()
        for rack in racks:
            assert find_shortage(solved.counts, demands, {rack.key}) <= 0
            for demand in demands:
                held = [
                    pools[demand.pool]
                    for key, pools in solved.counts.items()
                    if key != rack.key
                ]
                assert sum(held) >= demand.min_after_loss
        assert solved.missing == 0
        assert solved.buffer == math.ceil(solved.lower_bound - 1e-6)

    def test_every_data_centre_may_be_lost(self):
        racks = make_racks(15)
        demands = make_demands(survive=FailureDomain.DATA_CENTRE)
        solved = solve(racks, demands).unwrap()
        for centre in range(3):
            lost = {
                rack.key
                for rack in racks
                if rack.data_centre[2:] == str(centre)
            }
            assert find_shortage(solved.counts, demands, lost) <= 0

    def test_a_solved_assignment_needs_no_moves(self):
        first = solve(make_racks(9), make_demands()).unwrap()
        racks = [Rack(*key, pools) for key, pools in first.counts.items()]
        again = solve(racks, make_demands()).unwrap()
        assert (first.moves, again.moves) == (24, 0)
        assert again.buffer == first.buffer

    def test_pools_that_need_all_vms_after_a_loss_keep_one_more(self):
        demands = make_demands(vms=3, min_after_loss=3)
        solved = solve(make_racks(12), demands).unwrap()
        for pool in ('pool0', 'pool1', 'pool2', 'pool3', SPARE):
            held = [pools[pool] for pools in solved.counts.values()]
            assert sum(held) - max(held) >= 3
        assert solved.buffer == len(demands)

    def test_shared_buffer_is_smaller(self):
        shared = solve(make_racks(12), make_demands()).unwrap()
        own = solve(make_racks(12), make_demands(), shared=False).unwrap()
        assert shared.buffer < own.buffer

    def test_too_few_vms(self):
        enough = solve(make_racks(9), make_demands()).unwrap()
        assert enough.missing == 0
        # The demands need 30 VMs, and 4 more for the loss of a rack.
        solved = solve(make_racks(8), make_demands()).unwrap()
        assert (solved.missing, solved.buffer) == (2, 2)


class TestDemands:
    def test_reserve_for_planned_outages(self):
        demands = read_demands(make_policy())
        assert {demand.min_after_loss for demand in demands} == {3}
        frozen = make_policy(budget=AvailabilityBudget(2, 0))
        assert {demand.min_after_loss for demand in read_demands(frozen)} == {2}

    @pytest.mark.parametrize('seed', range(3))
    def test_a_wave_reaches_every_vm(self, seed):
        rng = random.Random(seed)
        budget = AvailabilityBudget(3, 2)
        policy = make_policy(4, rng.randrange(5, 8), budget)
        demands = read_demands(policy)
        solved = solve(make_racks(10), demands).unwrap()
        for pool in policy.pools:
            sizes = [pools[pool] for pools in solved.counts.values()]
            assert sum(sizes) - max(sizes) - 1 >= budget.min_healthy


class TestTransfers:
    def test_moves_of_an_assignment(self):
        vms = [
            VmRecord(f'vm{num}', '', SPARE, rack=f'r{num % 8}')
            for num in range(24)
        ]
        vms.append(VmRecord('dead', '', SPARE, VmState.FAILED, rack='r0'))
        fleet = Fleet({vm.name: VmEntry(vm, 1) for vm in vms}, 1)
        policy = make_policy()
        model = AssignmentModel(read_racks(fleet), read_demands(policy), SPARE)
        assignment = model.solve().unwrap()
        transfers = plan_transfers(fleet, assignment, SPARE)
        assert len(transfers) == assignment.moves == 15
        targets = collections.Counter(move.next_pool for move in transfers)
        assert targets == {'pool0': 5, 'pool1': 5, 'pool2': 5}
        assert len({move.vm for move in transfers} - {'dead'}) == 15
