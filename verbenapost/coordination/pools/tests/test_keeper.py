"""Tests of one keeper on a store without faults."""

import dataclasses

import pytest

from verbenapost.coordination.pools.health import (
    MIN_FAILURES,
    UNHEALTHY,
    WorkerReport,
)
from verbenapost.coordination.pools.marked_writer import MarkedWriter
from verbenapost.coordination.pools.outages import Outage
from verbenapost.coordination.pools.rebalance import Rebalancer
from verbenapost.coordination.pools.records import VmRecords
from verbenapost.coordination.pools.tests.simulation import (
    UNAVAILABLE,
    Simulation,
    StoreClient,
)
from verbenapost.protocol.errors import ErrorKind
from verbenapost.state.vms import VmRecord, VmState


@pytest.fixture
async def simulation():
    simulation = Simulation(1)
    simulation.add_vms()
    simulation.add_keeper('k')
    await simulation.run(150)
    yield simulation
    simulation.stop()


class PendingCall:
    """Runs a coroutine in the simulation and stores the result."""

    def __init__(self, simulation, coroutine):
        self.value = None
        simulation.spawn(self._run(coroutine))

    async def _run(self, coroutine):
        self.value = await coroutine


class TestList:
    async def test_new_vms_fill_the_pools(self, simulation):
        pools = [vm.pool for vm in simulation.read_vms().values()]
        counts = {pool: pools.count(pool) for pool in simulation.policy.pools}
        assert counts == {'pool0': 5, 'pool1': 5, 'pool2': 5, 'spare': 17}

    async def test_gap_of_a_live_vm(self, simulation):
        simulation.platform.change_faults({'gaps': 1})
        await simulation.run(100)
        states = {vm.state for vm in simulation.read_vms().values()}
        assert states == {VmState.IN_SERVICE}

    async def test_vm_that_is_gone_is_replaced_and_returns(self, simulation):
        name = _find_member(simulation, 'pool0')
        simulation.platform.set_list_state(name, 'dead')
        await simulation.run(100)
        vms = simulation.read_vms()
        assert vms[name].state is VmState.FAILED
        assert vms[name].next_pool == 'pool0'
        assert _count(vms, 'pool0') == 5
        simulation.platform.set_list_state(name, 'live')
        await simulation.run(100)
        vms = simulation.read_vms()
        assert (vms[name].pool, vms[name].next_pool) == ('pool0', None)
        assert _count(vms, 'pool0') == 6

    async def test_new_vm_under_an_old_name(self, simulation):
        name = _find_member(simulation, 'pool0')
        old = simulation.platform.vms[name]
        new = dataclasses.replace(old, address='10.9.9.9:80', boot=9, pool='')
        simulation.platform.add(
            {
                field.name: getattr(new, field.name)
                for field in dataclasses.fields(new)
            }
        )
        await simulation.run(30)
        assert simulation.read_vms()[name].address == '10.9.9.9:80'
        assert simulation.read_vms()[name].state is VmState.FAILED
        await simulation.run(120)
        assert simulation.read_vms()[name].state is VmState.IN_SERVICE
        assert simulation.platform.vms[name].pool == 'pool0'

    async def test_leaving_vm_is_drained_and_kept_out(self, simulation):
        name = _find_member(simulation, 'pool0')
        simulation.platform.set_list_state(name, 'leaving')
        await simulation.run(100)
        vms = simulation.read_vms()
        assert vms[name].state is VmState.IN_MAINTENANCE
        assert simulation.platform.vms[name].operation == 'drained'
        assert _count(vms, 'pool0') == 5


class TestHealth:
    async def test_vm_that_fails_everything_is_rebooted(self, simulation):
        name = _find_member(simulation, 'pool1')
        boot = simulation.read_vms()[name].boot
        report = WorkerReport(name, 0, MIN_FAILURES)
        simulation.keepers[0].health.record(report, simulation.scheduler.now)
        await simulation.run(10)
        assert simulation.read_vms()[name].reason == UNHEALTHY
        await simulation.run(150)
        vm = simulation.read_vms()[name]
        assert (vm.state, vm.boot) == (VmState.IN_SERVICE, boot + 1)


class TestOperator:
    async def test_move(self, simulation):
        name = _find_member(simulation, 'spare')
        epoch = simulation.read_vms()[name].epoch
        outage = Outage(name, 'operator', 'pool2')
        keeper = simulation.keepers[0]
        done = PendingCall(
            simulation,
            keeper.starter.start_outage(outage, simulation.scheduler.now),
        )
        await simulation.run(60)
        assert done.value.is_ok()
        vm = simulation.read_vms()[name]
        assert (vm.pool, vm.epoch) == ('pool2', epoch + 1)

    async def test_hold_and_return(self, simulation):
        name = _find_member(simulation, 'pool1')
        starter = simulation.keepers[0].starter
        now = simulation.scheduler.now
        simulation.spawn(
            starter.start_outage(Outage(name, 'disk', held=True), now)
        )
        await simulation.run(100)
        vm = simulation.read_vms()[name]
        assert (vm.state, vm.held) == (VmState.IN_MAINTENANCE, True)
        simulation.spawn(starter.end_hold(name))
        await simulation.run(60)
        vm = simulation.read_vms()[name]
        assert (vm.state, vm.held) == (VmState.IN_SERVICE, False)
        again = PendingCall(simulation, starter.end_hold(name))
        await simulation.run(1)
        assert again.value.unwrap_err().kind is ErrorKind.CONFLICT

    @pytest.mark.parametrize(
        ('outage', 'kind'),
        [
            (Outage('none', 'operator'), ErrorKind.NOT_FOUND),
            (Outage('vm-0-0', 'operator', 'none'), ErrorKind.NOT_FOUND),
        ],
    )
    async def test_refusals(self, simulation, outage, kind):
        keeper = simulation.keepers[0]
        done = PendingCall(
            simulation,
            keeper.starter.start_outage(outage, simulation.scheduler.now),
        )
        await simulation.run(5)
        assert done.value.unwrap_err().kind is kind


class TestRebalance:
    async def test_moves_restore_the_demands(self, simulation):
        rack = simulation.platform.vms['vm-0-0'].rack
        for platform_vm in simulation.platform.vms.values():
            if platform_vm.rack in {rack, 'r1'}:
                simulation.platform.set_list_state(platform_vm.name, 'dead')
        await simulation.run(200)
        keeper = simulation.keepers[0]

        async def solve(function):
            return function()

        rebalancer = Rebalancer(keeper, solve)
        for _ in range(4):
            now = simulation.scheduler.now
            done = PendingCall(simulation, rebalancer.rebalance(now))
            await simulation.run(60)
        assert done.value.unwrap() == 0
        vms = simulation.read_vms().values()
        for pool in simulation.policy.pools:
            racks = [
                vm.rack
                for vm in vms
                if vm.pool == pool and vm.state is VmState.IN_SERVICE
            ]
            fullest = max(racks.count(rack) for rack in racks)
            assert len(racks) - fullest >= 3
        assert rebalancer.last.buffer >= rebalancer.last.lower_bound > 0


class TestIdle:
    async def test_store_calls_of_an_idle_round(self, simulation):
        await simulation.run(100)
        simulation.stop()
        await simulation.run(1)
        before = simulation.store.calls
        keeper = simulation.keepers[0]
        done = PendingCall(simulation, keeper.step(simulation.scheduler.now))
        await simulation.run(1)
        assert done.value.is_ok()
        # The fake store counts each call twice, before and after its effect.
        assert simulation.store.calls - before == 2 * 3


class TestLostAnswers:
    async def test_own_mark_resolves_a_lost_answer(self, simulation):
        simulation.store.faults.lose = 1.0
        writer = MarkedWriter(StoreClient(simulation.store, 'op'), 'op')
        records = VmRecords(writer)
        created = PendingCall(
            simulation, records.create(VmRecord('new', '', 'spare'))
        )
        await simulation.run(1)
        assert created.value.is_ok()

    async def test_outcome_stays_unknown_if_the_store_is_unreadable(
        self, simulation
    ):
        client = StoreClient(simulation.store, 'op')
        writer = MarkedWriter(client, 'op')
        simulation.store.faults.lose = 1.0
        client.get = client.list_prefix = _refuse
        records = VmRecords(writer)
        created = PendingCall(
            simulation, records.create(VmRecord('new', '', 'spare'))
        )
        await simulation.run(1)
        assert created.value.unwrap_err().kind is ErrorKind.STORE_UNKNOWN


async def _refuse(_key):
    return UNAVAILABLE


def _find_member(simulation, pool):
    vms = simulation.read_vms()
    return min(name for name, vm in vms.items() if vm.pool == pool)


def _count(vms, pool):
    return sum(
        vm.pool == pool and vm.state is VmState.IN_SERVICE
        for vm in vms.values()
    )
