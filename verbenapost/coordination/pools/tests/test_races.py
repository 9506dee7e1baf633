"""Racing keepers and operators over a faulty store, in virtual time."""

import asyncio
import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from verbenapost.coordination.pools.budgets import Budgets
from verbenapost.coordination.pools.keeper import PoolKeeper
from verbenapost.coordination.pools.outage_starter import OutageStarter
from verbenapost.coordination.pools.outages import Outage, Permit
from verbenapost.coordination.pools.swap import MarkedWriter
from verbenapost.coordination.pools.tests.history import (
    History,
    find_bad_calls,
    find_mixed_service,
)
from verbenapost.coordination.pools.tests.simulation import Client, World
from verbenapost.coordination.pools.wave_store import WaveStore
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.documents import AvailabilityBudget, FailureDomain
from verbenapost.state.vms import VmState

#: Faults of the store while keepers race.
ROUGH = {
    'lose': 0.05,
    'refuse': 0.03,
    'stale': 0.1,
    'freeze': 0.004,
    'platform_freeze': 0.004,
}


def set_faults(world, **faults):
    for name, rate in faults.items():
        setattr(world.store.faults, name, rate)


async def operate(world, name):
    """Take out and move VMs at random, as an operator in a hurry."""
    operator = world.keeper_type(
        Client(world.store, name),
        world.keepers[0]._platform,
        name,
        lambda: world.policy,
        lambda _entry: True,
    )
    draw = world.scheduler.random
    while True:
        await world.scheduler.sleep(draw.uniform(1, 8))
        names = sorted(world.read_vms())
        if names:
            target = draw.choice(['', *world.policy.pools])
            outage = Outage(draw.choice(names), 'operator', target)
            await operator.starter.take_out(outage, world.scheduler.now)


async def start_wave(world):
    waves = WaveStore(MarkedWriter(Client(world.store, 'op'), 'op'))
    return await waves.start('w1', world.scheduler.now, 'kernel')


async def fail_racks(world, rounds):
    """Kill whole racks and let them come back."""
    draw = world.scheduler.random
    for _ in range(rounds):
        await world.scheduler.sleep(draw.uniform(10, 60))
        rack = f'r{draw.randrange(8)}'
        names = [
            machine.name
            for machine in world.platform.machines.values()
            if machine.rack == rack
        ]
        for name in names:
            world.platform.mark(name, 'dead')
        await world.scheduler.sleep(draw.uniform(20, 120))
        for name in names:
            machine = world.platform.machines[name]
            machine.boot += 1
            machine.operation = 'running'
            world.platform.mark(name, 'live')


async def run_rough(seed, seconds=400, keeper_type=PoolKeeper, **switches):
    world = World(seed, keeper_type=keeper_type)
    world.add_vms()
    world.platform.change_faults({'lag': 5, 'gaps': 0.1, 'duplicates': 0.1})
    world.store.check_revisions = switches.get('check_revisions', True)
    world.check_boots = switches.get('check_boots', True)
    for number in range(3):
        world.add_keeper(f'k{number}')
    await world.run(60)
    set_faults(world, **ROUGH)
    set_faults(world, **switches.get('faults', {}))
    world.spawn(world.serve())
    for number in range(2):
        world.spawn(operate(world, f'op{number}'))
    world.spawn(fail_racks(world, 3))
    world.spawn(start_wave(world))
    await world.run(seconds)
    world.stop()
    return world


def find_faults(world):
    faults = History(world.policy).replay(world.store.changes)
    faults += find_bad_calls(world.calls)
    return faults + find_mixed_service(world.served)


def make_keeper_type(budgets_type):
    class Keeper(PoolKeeper):
        def __init__(self, *parts):
            super().__init__(*parts)
            self.budgets = budgets_type(self._budget_store, self._records)
            self.starter = OutageStarter(
                self._records, self.budgets, self.read_policy
            )

    return Keeper


class Ungranted(Budgets):
    """Gives permits and writes no grants."""

    async def acquire(self, outage, policy, now):
        read = await self._records.read_fleet()
        if read.is_err():
            return read
        entry = read.ok_value.entries[outage.vm]
        if entry.record.state is not VmState.IN_SERVICE:
            return Err(Failure(ErrorKind.CONFLICT))
        return Ok(Permit(outage, entry))


class Unfenced(Budgets):
    """Removes unused grants without rewriting the VM's record."""

    async def _fence(self, entry):
        return True


class Unlimited(Budgets):
    """Writes grants and never refuses one."""

    async def _read_view(self, service, pool, policy):
        read = await super()._read_view(service, pool, policy)
        return read.map(self._lift)

    def _lift(self, reading):
        free = AvailabilityBudget(0, 1000, FailureDomain.VM)
        view = dataclasses.replace(reading.view, budget=free)
        return dataclasses.replace(reading, view=view)


async def run_slow_drain(*, check_boots):
    """Let one keeper's drain calls arrive minutes late."""
    world = World(5)
    world.add_vms()
    world.check_boots = check_boots
    for name in ('slow', 'quick'):
        world.add_keeper(name)
    world.keepers[0]._platform.drain_delay = 200
    await world.run(60)
    await asyncio.gather(start_wave(world), world.run(500))
    world.stop()
    return world


class TestRaces:
    @settings(derandomize=True, deadline=None, max_examples=4)
    @given(seed=st.integers(0, 10_000))
    async def test_promises_hold(self, seed):
        world = await run_rough(seed)
        assert len(world.store.changes) > 80
        assert not find_faults(world)


class TestProtections:
    async def test_without_compare_and_swap(self):
        world = await run_rough(0, 60, check_revisions=False)
        assert find_faults(world)

    async def test_without_grants(self):
        kind = make_keeper_type(Ungranted)
        assert find_faults(await run_rough(0, 60, keeper_type=kind))

    async def test_without_limits(self):
        kind = make_keeper_type(Unlimited)
        found = find_faults(await run_rough(0, 60, keeper_type=kind))
        assert any('planned out' in fault for fault in found)
        assert any('healthy' in fault for fault in found)

    async def test_without_rewriting_before_removal(self):
        kind = make_keeper_type(Unfenced)
        assert find_faults(await run_rough(0, 60, keeper_type=kind))

    async def test_late_drain_is_refused(self):
        world = await run_slow_drain(check_boots=True)
        assert not find_faults(world)
        assert any(call[1] == 'drain' for call in world.calls)

    async def test_late_drain_without_boot_counts(self):
        world = await run_slow_drain(check_boots=False)
        assert find_bad_calls(world.calls)


async def run_calm(seed=1, keepers=2):
    world = World(seed)
    world.add_vms()
    for number in range(keepers):
        world.add_keeper(f'k{number}')
    await world.run(200)
    return world


class TestWave:
    async def test_pauses_for_failures_and_finishes(self):
        world = await run_calm()
        begun = world.scheduler.now
        world.spawn(start_wave(world))
        world.spawn(fail_racks(world, 2))
        await world.run(1500)
        world.stop()
        vms = world.read_vms().values()
        assert all(vm.maintained_at >= begun for vm in vms)
        assert {vm.state for vm in vms} == {VmState.IN_SERVICE}
        assert not find_faults(world)
        for pool, spec in world.policy.pools.items():
            assert sum(vm.pool == pool for vm in vms) >= spec.vms

    async def test_emergency_stop_and_resume(self):
        world = await run_calm()
        waves = WaveStore(MarkedWriter(Client(world.store, 'op'), 'op'))
        world.spawn(start_wave(world))
        await world.run(20)
        world.spawn(waves.stop('smoke'))
        await world.run(60)
        before = world.read_vms()
        await world.run(200)
        assert world.read_vms() == before
        waiting = world.keepers[0].report.waiting
        assert set(waiting.values()) == {'stopped'}
        world.spawn(waves.resume('clear'))
        await world.run(1000)
        world.stop()
        assert not world.keepers[0].report.waiting
        assert not find_faults(world)

    async def test_a_finished_wave_takes_no_more_vms_out(self):
        world = await run_calm()
        begun = world.scheduler.now
        waves = WaveStore(MarkedWriter(Client(world.store, 'op'), 'op'))
        world.spawn(start_wave(world))
        await world.run(20)
        world.spawn(waves.finish('enough'))
        await world.run(200)
        world.stop()
        vms = world.read_vms().values()
        assert {vm.state for vm in vms} == {VmState.IN_SERVICE}
        done = sum(vm.maintained_at >= begun for vm in vms)
        assert 0 < done < len(vms)


class TestOutage:
    async def test_store_outage_then_progress(self):
        world = await run_calm(seed=3)
        set_faults(world, refuse=1.0)
        changes = len(world.store.changes)
        world.spawn(fail_racks(world, 1))
        await world.run(60)
        assert len(world.store.changes) == changes
        set_faults(world, refuse=0.0)
        await world.run(400)
        world.stop()
        vms = world.read_vms().values()
        assert {vm.state for vm in vms} == {VmState.IN_SERVICE}
        assert not find_faults(world)
