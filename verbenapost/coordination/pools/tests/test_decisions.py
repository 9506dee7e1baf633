"""Tests of single decisions about pools."""

import dataclasses
import math

import pytest

from verbenapost.coordination.pools.budget_rules import build_view
from verbenapost.coordination.pools.forecast import forecast_pools
from verbenapost.coordination.pools.health import (
    MIN_FAILURES,
    HealthTracker,
    WorkerReport,
)
from verbenapost.coordination.pools.reconcile import Sightings
from verbenapost.coordination.pools.records import Fleet, VmEntry
from verbenapost.coordination.pools.repair import plan_repairs
from verbenapost.coordination.pools.tests.simulation import make_policy
from verbenapost.coordination.pools.waves import plan_wave
from verbenapost.state.budgets import BudgetRecord, OutageGrant
from verbenapost.state.documents import AvailabilityBudget, FailureDomain
from verbenapost.state.vms import VmRecord, VmState
from verbenapost.state.waves import WaveRecord

DAY = 86_400
FAILED = VmState.FAILED
RACK_BUDGET = AvailabilityBudget(2, 3, FailureDomain.RACK)


def make_fleet(pool='pool0', sizes=(4, 2), **changes):
    """Return a fleet of VMs ``r<rack>-<place>``.

    :param changes: changed record fields by VM name.
    """
    entries = {}
    for rack, size in enumerate(sizes):
        for place in range(size):
            name = f'r{rack}-{place}'
            vm = VmRecord(name, '', pool, rack=f'r{rack}', data_centre='a')
            fields = changes.get(name.replace('-', '_'), {})
            entries[name] = VmEntry(dataclasses.replace(vm, **fields), 1)
    return Fleet(entries, 1)


def make_view(fleet, budget=RACK_BUDGET, grants=()):
    record = BudgetRecord(tuple(OutageGrant(vm, '', 0, '', 1) for vm in grants))
    return build_view(budget, 'pool0', fleet, record)


class TestBudgetRules:
    def test_loss_of_the_largest_rack_stays_covered(self):
        fleet = make_fleet()
        view = make_view(fleet)
        assert not view.find_refusal(fleet.entries['r0-0'].record)
        refusal = view.find_refusal(fleet.entries['r1-0'].record)
        assert refusal == 'the loss of one rack is not covered'

    @pytest.mark.parametrize('state', list(VmState)[1:])
    def test_failures_count_first(self, state):
        out = {'state': state}
        fleet = make_fleet(sizes=(4, 2, 2), r0_0=out, r0_1=out)
        view = make_view(fleet, dataclasses.replace(RACK_BUDGET, max_planned=2))
        vm = fleet.entries['r0-2'].record
        assert 'max_planned' in view.find_refusal(vm)
        assert not view.find_refusal(vm, urgent=True)

    def test_expired_grant_counts_while_out(self):
        fleet = make_fleet(r0_0={'state': VmState.DRAINING})
        budget = dataclasses.replace(RACK_BUDGET, max_planned=1)
        view = make_view(fleet, budget, ['r0-0'])
        assert view.count_planned() == 1
        assert view.find_refusal(fleet.entries['r0-1'].record)

    def test_replaced_failure_is_not_an_unplanned_outage(self):
        gone = {'state': FAILED, 'next_pool': 'spare'}
        assert not make_view(make_fleet(r0_0=gone)).count_unplanned()

    def test_min_healthy(self):
        fleet = make_fleet(sizes=(1, 1))
        view = make_view(fleet, AvailabilityBudget(2, 2, FailureDomain.VM))
        refusal = view.find_refusal(fleet.entries['r0-0'].record)
        assert 'min_healthy' in refusal


class TestWave:
    def test_starts_outages_in_the_largest_rack(self):
        policy = make_policy(budget=RACK_BUDGET)
        plan = plan_wave(policy, make_fleet(), {}, WaveRecord('w', 5))
        assert plan.starts == ('r0-0', 'r0-1')
        assert set(plan.waiting) == {'r0-2', 'r0-3', 'r1-0', 'r1-1'}
        assert all('not covered' in reason for reason in plan.waiting.values())

    def test_maintained_vms_are_not_due(self):
        policy = make_policy(budget=RACK_BUDGET)
        fleet = make_fleet(r0_0={'maintained_at': 9})
        plan = plan_wave(policy, fleet, {}, WaveRecord('w', 5))
        assert 'r0-0' not in {*plan.starts, *plan.waiting}


class TestForecast:
    def test_met(self):
        policy = make_policy(budget=RACK_BUDGET)
        (forecast,) = forecast_pools(policy, make_fleet(), DAY, 600)
        assert forecast.meets_deadlines
        assert (forecast.max_concurrent, forecast.remaining_seconds) == (
            2,
            1800,
        )

    def test_late_vms_and_the_limiting_reason(self):
        policy = make_policy(budget=RACK_BUDGET)
        now = policy.maintenance_days * DAY - 1000
        (forecast,) = forecast_pools(policy, make_fleet(), now, 600)
        assert forecast.late == ('r0-2', 'r0-3', 'r1-0', 'r1-1')
        assert 'not covered' in forecast.limiting_reason

    def test_impossible(self):
        policy = make_policy(budget=AvailabilityBudget(6, 1))
        (forecast,) = forecast_pools(policy, make_fleet(), 0, 600)
        assert forecast.remaining_seconds == math.inf
        assert len(forecast.late) == 6
        assert 'min_healthy' in forecast.limiting_reason


class TestRepair:
    def test_spares_are_spread_over_racks(self):
        policy = make_policy(pools=1, need=2)
        fleet = make_fleet('spare', sizes=(4, 4))
        plan = plan_repairs(policy, fleet, [])
        assert [outage.vm for outage in plan.outages] == ['r0-0', 'r1-0']
        assert {outage.next_pool for outage in plan.outages} == {'pool0'}

    def test_granted_moves_are_not_planned_twice(self):
        policy = make_policy(pools=1, need=1)
        fleet = make_fleet('spare', sizes=(4, 4))
        grant = OutageGrant('r0-0', '', 0, '', 1, 'pool0')
        assert not plan_repairs(policy, fleet, [grant]).outages

    def test_failed_vm_is_released_once_replaced(self):
        policy = make_policy(pools=1, need=5)
        fleet = make_fleet(r0_0={'state': FAILED})
        plan = plan_repairs(policy, fleet, [])
        assert (plan.replaced, plan.shortages) == (('r0-0',), {})
        shortage = plan_repairs(make_policy(pools=1, need=6), fleet, [])
        assert (shortage.replaced, shortage.shortages) == ((), {'pool0': 1})


class TestHealth:
    def test_limit_per_pool_and_a_success(self):
        tracker = HealthTracker()
        fleet = make_fleet(sizes=(4, 4))
        for name in fleet.entries:
            tracker.record(WorkerReport(name, 0, MIN_FAILURES), 10)
        tracker.record(WorkerReport('r0-0', 1, 0), 11)
        assert tracker.find_unhealthy(fleet, 12) == ['r0-1', 'r0-2']
        assert not tracker.find_unhealthy(fleet, 100)


class TestSightings:
    def test_missing_for_longer_than_the_lag(self):
        sightings = Sightings(lag=10)
        sightings.observe(['a', 'b'], 0)
        sightings.observe(['b'], 8)
        assert not sightings.find_missing(['a', 'b', 'c'], 10)
        assert sightings.find_missing(['a', 'b', 'c'], 11) == ['a']
