"""Tests of concurrent keepers and operators on a faulty store.

The simulation runs in virtual time.
"""

import asyncio
import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from verbenapost.coordination.pools.budgets import Budgets
from verbenapost.coordination.pools.keeper import PoolKeeper
from verbenapost.coordination.pools.marked_writer import MarkedWriter
from verbenapost.coordination.pools.outage_starter import OutageStarter
from verbenapost.coordination.pools.outages import Outage, Permit
from verbenapost.coordination.pools.tests.history import (
    History,
    find_bad_calls,
    find_mixed_service,
)
from verbenapost.coordination.pools.tests.simulation import (
    Simulation,
    StoreClient,
)
from verbenapost.coordination.pools.wave_store import WaveStore
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.documents import AvailabilityBudget, FailureDomain
from verbenapost.state.vms import VmState

#: Probabilities of store and platform faults while keepers run.
FAULT_RATES = {
    'lose': 0.05,
    'refuse': 0.03,
    'stale': 0.1,
    'freeze': 0.004,
    'platform_freeze': 0.004,
}


def set_faults(simulation, **faults):
    for name, rate in faults.items():
        setattr(simulation.store.faults, name, rate)


async def run_operator(simulation, name):
    """Take VMs out of service and move VMs at random, as an operator."""
    operator = simulation.keeper_type(
        StoreClient(simulation.store, name),
        simulation.keepers[0]._platform,
        name,
        lambda: simulation.policy,
        lambda _entry: True,
    )
    rng = simulation.scheduler.random
    while True:
        await simulation.scheduler.sleep(rng.uniform(1, 8))
        names = sorted(simulation.read_vms())
        if names:
            next_pool = rng.choice(['', *simulation.policy.pools])
            outage = Outage(rng.choice(names), 'operator', next_pool)
            await operator.starter.start_outage(
                outage, simulation.scheduler.now
            )


async def start_wave(simulation):
    waves = WaveStore(MarkedWriter(StoreClient(simulation.store, 'op'), 'op'))
    return await waves.start('w1', simulation.scheduler.now, 'kernel')


async def fail_racks(simulation, rounds):
    """Fail all VMs of a random rack and later restart the VMs."""
    rng = simulation.scheduler.random
    for _ in range(rounds):
        await simulation.scheduler.sleep(rng.uniform(10, 60))
        rack = f'r{rng.randrange(8)}'
        names = [
            platform_vm.name
            for platform_vm in simulation.platform.vms.values()
            if platform_vm.rack == rack
        ]
        for name in names:
            simulation.platform.set_list_state(name, 'dead')
        await simulation.scheduler.sleep(rng.uniform(20, 120))
        for name in names:
            platform_vm = simulation.platform.vms[name]
            platform_vm.boot += 1
            platform_vm.operation = 'running'
            simulation.platform.set_list_state(name, 'live')


async def run_with_faults(
    seed, seconds=400, keeper_type=PoolKeeper, **switches
):
    simulation = Simulation(seed, keeper_type=keeper_type)
    simulation.add_vms()
    simulation.platform.change_faults(
        {'lag': 5, 'gaps': 0.1, 'duplicates': 0.1}
    )
    simulation.store.check_revisions = switches.get('check_revisions', True)
    simulation.check_boots = switches.get('check_boots', True)
    for number in range(3):
        simulation.add_keeper(f'k{number}')
    await simulation.run(60)
    set_faults(simulation, **FAULT_RATES)
    set_faults(simulation, **switches.get('faults', {}))
    simulation.spawn(simulation.serve())
    for number in range(2):
        simulation.spawn(run_operator(simulation, f'op{number}'))
    simulation.spawn(fail_racks(simulation, 3))
    simulation.spawn(start_wave(simulation))
    await simulation.run(seconds)
    simulation.stop()
    return simulation


def find_faults(simulation):
    faults = History(simulation.policy).replay(simulation.store.changes)
    faults += find_bad_calls(simulation.calls)
    return faults + find_mixed_service(simulation.served)


def make_keeper_type(budgets_type):
    class Keeper(PoolKeeper):
        def __init__(self, *parts):
            super().__init__(*parts)
            self.budgets = budgets_type(self._budget_store, self._records)
            self.starter = OutageStarter(
                self._records, self.budgets, self.read_policy
            )

    return Keeper


class UngrantedBudgets(Budgets):
    """Issues permits without writing grants."""

    async def acquire(self, outage, policy, now):
        read = await self._records.read_fleet()
        if read.is_err():
            return read
        entry = read.ok_value.entries[outage.vm]
        if entry.record.state is not VmState.IN_SERVICE:
            return Err(Failure(ErrorKind.CONFLICT))
        return Ok(Permit(outage, entry))


class UnfencedBudgets(Budgets):
    """Removes unused grants without rewriting the VM record."""

    async def _fence(self, entry):
        return True


class UnlimitedBudgets(Budgets):
    """Writes grants and never refuses an outage."""

    async def _read_view(self, service, pool, policy):
        read = await super()._read_view(service, pool, policy)
        return read.map(self._remove_limits)

    def _remove_limits(self, reading):
        unlimited = AvailabilityBudget(0, 1000, FailureDomain.VM)
        view = dataclasses.replace(reading.view, budget=unlimited)
        return dataclasses.replace(reading, view=view)


async def run_slow_drain(*, check_boots):
    """Delay the drain calls of one keeper by 200 s."""
    simulation = Simulation(5)
    simulation.add_vms()
    simulation.check_boots = check_boots
    for name in ('slow', 'quick'):
        simulation.add_keeper(name)
    simulation.keepers[0]._platform.drain_delay = 200
    await simulation.run(60)
    await asyncio.gather(start_wave(simulation), simulation.run(500))
    simulation.stop()
    return simulation


class TestRaces:
    @settings(derandomize=True, deadline=None, max_examples=4)
    @given(seed=st.integers(0, 10_000))
    async def test_guarantees_hold(self, seed):
        simulation = await run_with_faults(seed)
        assert len(simulation.store.changes) > 80
        assert not find_faults(simulation)


class TestProtections:
    async def test_without_compare_and_swap(self):
        simulation = await run_with_faults(0, 60, check_revisions=False)
        assert find_faults(simulation)

    async def test_without_grants(self):
        unsafe_keeper_type = make_keeper_type(UngrantedBudgets)
        assert find_faults(
            await run_with_faults(0, 60, keeper_type=unsafe_keeper_type)
        )

    async def test_without_limits(self):
        unsafe_keeper_type = make_keeper_type(UnlimitedBudgets)
        found = find_faults(
            await run_with_faults(0, 60, keeper_type=unsafe_keeper_type)
        )
        assert any('planned out' in fault for fault in found)
        assert any('healthy' in fault for fault in found)

    async def test_without_rewriting_before_removal(self):
        unsafe_keeper_type = make_keeper_type(UnfencedBudgets)
        assert find_faults(
            await run_with_faults(0, 60, keeper_type=unsafe_keeper_type)
        )

    async def test_late_drain_is_refused(self):
        simulation = await run_slow_drain(check_boots=True)
        assert not find_faults(simulation)
        assert any(call[1] == 'drain' for call in simulation.calls)

    async def test_late_drain_without_boot_counts(self):
        simulation = await run_slow_drain(check_boots=False)
        assert find_bad_calls(simulation.calls)


async def run_without_faults(seed=1, keepers=2):
    simulation = Simulation(seed)
    simulation.add_vms()
    for number in range(keepers):
        simulation.add_keeper(f'k{number}')
    await simulation.run(200)
    return simulation


class TestWave:
    async def test_pauses_for_failures_and_finishes(self):
        simulation = await run_without_faults()
        started_at = simulation.scheduler.now
        simulation.spawn(start_wave(simulation))
        simulation.spawn(fail_racks(simulation, 2))
        await simulation.run(1500)
        simulation.stop()
        vms = simulation.read_vms().values()
        assert all(vm.maintained_at >= started_at for vm in vms)
        assert {vm.state for vm in vms} == {VmState.IN_SERVICE}
        assert not find_faults(simulation)
        for pool, spec in simulation.policy.pools.items():
            assert sum(vm.pool == pool for vm in vms) >= spec.vms

    async def test_emergency_stop_and_resume(self):
        simulation = await run_without_faults()
        waves = WaveStore(
            MarkedWriter(StoreClient(simulation.store, 'op'), 'op')
        )
        simulation.spawn(start_wave(simulation))
        await simulation.run(20)
        simulation.spawn(waves.stop('smoke'))
        await simulation.run(60)
        before = simulation.read_vms()
        await simulation.run(200)
        assert simulation.read_vms() == before
        waiting = simulation.keepers[0].report.waiting
        assert set(waiting.values()) == {'stopped'}
        simulation.spawn(waves.resume('clear'))
        await simulation.run(1000)
        simulation.stop()
        assert not simulation.keepers[0].report.waiting
        assert not find_faults(simulation)

    async def test_a_finished_wave_takes_no_more_vms_out(self):
        simulation = await run_without_faults()
        started_at = simulation.scheduler.now
        waves = WaveStore(
            MarkedWriter(StoreClient(simulation.store, 'op'), 'op')
        )
        simulation.spawn(start_wave(simulation))
        await simulation.run(20)
        simulation.spawn(waves.finish('enough'))
        await simulation.run(200)
        simulation.stop()
        vms = simulation.read_vms().values()
        assert {vm.state for vm in vms} == {VmState.IN_SERVICE}
        done = sum(vm.maintained_at >= started_at for vm in vms)
        assert 0 < done < len(vms)


class TestOutage:
    async def test_store_outage_then_progress(self):
        simulation = await run_without_faults(seed=3)
        set_faults(simulation, refuse=1.0)
        changes = len(simulation.store.changes)
        simulation.spawn(fail_racks(simulation, 1))
        await simulation.run(60)
        assert len(simulation.store.changes) == changes
        set_faults(simulation, refuse=0.0)
        await simulation.run(400)
        simulation.stop()
        vms = simulation.read_vms().values()
        assert {vm.state for vm in vms} == {VmState.IN_SERVICE}
        assert not find_faults(simulation)
