"""One keeper over a store without faults."""

import dataclasses

import pytest

from verbenapost.coordination.pools.health import (
    MIN_FAILURES,
    UNHEALTHY,
    WorkerReport,
)
from verbenapost.coordination.pools.outages import Outage
from verbenapost.coordination.pools.rebalance import Rebalancer
from verbenapost.coordination.pools.records import VmRecords
from verbenapost.coordination.pools.swap import MarkedWriter
from verbenapost.coordination.pools.tests.simulation import (
    UNAVAILABLE,
    Client,
    World,
)
from verbenapost.protocol.errors import ErrorKind
from verbenapost.state.vms import VmRecord, VmState


@pytest.fixture
async def world():
    world = World(1)
    world.add_vms()
    world.add_keeper('k')
    await world.run(150)
    yield world
    world.stop()


class Outcome:
    """Runs a coroutine in the world and keeps what it returned."""

    def __init__(self, world, coroutine):
        self.value = None
        world.spawn(self._run(coroutine))

    async def _run(self, coroutine):
        self.value = await coroutine


class TestList:
    async def test_new_vms_fill_the_pools(self, world):
        pools = [vm.pool for vm in world.read_vms().values()]
        counts = {pool: pools.count(pool) for pool in world.policy.pools}
        assert counts == {'pool0': 5, 'pool1': 5, 'pool2': 5, 'spare': 17}

    async def test_gap_of_a_live_vm(self, world):
        world.platform.change_faults({'gaps': 1})
        await world.run(100)
        states = {vm.state for vm in world.read_vms().values()}
        assert states == {VmState.IN_SERVICE}

    async def test_vm_that_is_gone_is_replaced_and_returns(self, world):
        name = _find_member(world, 'pool0')
        world.platform.mark(name, 'dead')
        await world.run(100)
        vms = world.read_vms()
        assert vms[name].state is VmState.FAILED
        assert vms[name].next_pool == 'pool0'
        assert _count(vms, 'pool0') == 5
        world.platform.mark(name, 'live')
        await world.run(100)
        vms = world.read_vms()
        assert (vms[name].pool, vms[name].next_pool) == ('pool0', None)
        assert _count(vms, 'pool0') == 6

    async def test_new_vm_under_an_old_name(self, world):
        name = _find_member(world, 'pool0')
        old = world.platform.machines[name]
        new = dataclasses.replace(old, address='10.9.9.9:80', boot=9, pool='')
        world.platform.add(
            {
                field.name: getattr(new, field.name)
                for field in dataclasses.fields(new)
            }
        )
        await world.run(30)
        assert world.read_vms()[name].address == '10.9.9.9:80'
        assert world.read_vms()[name].state is VmState.FAILED
        await world.run(120)
        assert world.read_vms()[name].state is VmState.IN_SERVICE
        assert world.platform.machines[name].pool == 'pool0'

    async def test_leaving_vm_is_drained_and_kept_out(self, world):
        name = _find_member(world, 'pool0')
        world.platform.mark(name, 'leaving')
        await world.run(100)
        vms = world.read_vms()
        assert vms[name].state is VmState.IN_MAINTENANCE
        assert world.platform.machines[name].operation == 'drained'
        assert _count(vms, 'pool0') == 5


class TestHealth:
    async def test_vm_that_fails_everything_is_rebooted(self, world):
        name = _find_member(world, 'pool1')
        boot = world.read_vms()[name].boot
        report = WorkerReport(name, 0, MIN_FAILURES)
        world.keepers[0].health.record(report, world.scheduler.now)
        await world.run(10)
        assert world.read_vms()[name].reason == UNHEALTHY
        await world.run(150)
        vm = world.read_vms()[name]
        assert (vm.state, vm.boot) == (VmState.IN_SERVICE, boot + 1)


class TestOperator:
    async def test_move(self, world):
        name = _find_member(world, 'spare')
        epoch = world.read_vms()[name].epoch
        outage = Outage(name, 'operator', 'pool2')
        keeper = world.keepers[0]
        done = Outcome(
            world, keeper.starter.take_out(outage, world.scheduler.now)
        )
        await world.run(60)
        assert done.value.is_ok()
        vm = world.read_vms()[name]
        assert (vm.pool, vm.epoch) == ('pool2', epoch + 1)

    async def test_hold_and_return(self, world):
        name = _find_member(world, 'pool1')
        starter = world.keepers[0].starter
        now = world.scheduler.now
        world.spawn(starter.take_out(Outage(name, 'disk', held=True), now))
        await world.run(100)
        vm = world.read_vms()[name]
        assert (vm.state, vm.held) == (VmState.IN_MAINTENANCE, True)
        world.spawn(starter.put_back(name))
        await world.run(60)
        vm = world.read_vms()[name]
        assert (vm.state, vm.held) == (VmState.IN_SERVICE, False)
        again = Outcome(world, starter.put_back(name))
        await world.run(1)
        assert again.value.unwrap_err().kind is ErrorKind.CONFLICT

    @pytest.mark.parametrize(
        ('outage', 'kind'),
        [
            (Outage('none', 'operator'), ErrorKind.NOT_FOUND),
            (Outage('vm-0-0', 'operator', 'none'), ErrorKind.NOT_FOUND),
        ],
    )
    async def test_refusals(self, world, outage, kind):
        keeper = world.keepers[0]
        done = Outcome(
            world, keeper.starter.take_out(outage, world.scheduler.now)
        )
        await world.run(5)
        assert done.value.unwrap_err().kind is kind


class TestRebalance:
    async def test_moves_restore_the_promises(self, world):
        rack = world.platform.machines['vm-0-0'].rack
        for machine in world.platform.machines.values():
            if machine.rack in {rack, 'r1'}:
                world.platform.mark(machine.name, 'dead')
        await world.run(200)
        keeper = world.keepers[0]

        async def solve(function):
            return function()

        rebalancer = Rebalancer(keeper, solve)
        for _ in range(4):
            now = world.scheduler.now
            done = Outcome(world, rebalancer.rebalance(now))
            await world.run(60)
        assert done.value.unwrap() == 0
        vms = world.read_vms().values()
        for pool in world.policy.pools:
            racks = [
                vm.rack
                for vm in vms
                if vm.pool == pool and vm.state is VmState.IN_SERVICE
            ]
            fullest = max(racks.count(rack) for rack in racks)
            assert len(racks) - fullest >= 3
        assert rebalancer.last.buffer >= rebalancer.last.lower_bound > 0


class TestIdle:
    async def test_store_calls_of_an_idle_round(self, world):
        await world.run(100)
        world.stop()
        await world.run(1)
        before = world.store.calls
        keeper = world.keepers[0]
        done = Outcome(world, keeper.step(world.scheduler.now))
        await world.run(1)
        assert done.value.is_ok()
        # The fake counts a call before and after its effect.
        assert world.store.calls - before == 2 * 3


class TestLostAnswers:
    async def test_own_mark_settles_a_lost_answer(self, world):
        world.store.faults.lose = 1.0
        writer = MarkedWriter(Client(world.store, 'op'), 'op')
        records = VmRecords(writer)
        created = Outcome(world, records.create(VmRecord('new', '', 'spare')))
        await world.run(1)
        assert created.value.is_ok()

    async def test_unreadable_store_leaves_it_unknown(self, world):
        client = Client(world.store, 'op')
        writer = MarkedWriter(client, 'op')
        world.store.faults.lose = 1.0
        client.get = client.list_prefix = _refuse
        records = VmRecords(writer)
        created = Outcome(world, records.create(VmRecord('new', '', 'spare')))
        await world.run(1)
        assert created.value.unwrap_err().kind is ErrorKind.STORE_UNKNOWN


async def _refuse(_key):
    return UNAVAILABLE


def _find_member(world, pool):
    vms = world.read_vms()
    return min(name for name, vm in vms.items() if vm.pool == pool)


def _count(vms, pool):
    return sum(
        vm.pool == pool and vm.state is VmState.IN_SERVICE
        for vm in vms.values()
    )
