"""The simulated cloud shows lists that are no snapshot, and loses VMs."""

import asyncio

import pytest

from standins.fleet.cloud import FleetCloud
from standins.fleet.world import World
from standins.virtualtime import run_virtual
from verbenapost.protocol.orders import CallFaultKind
from verbenapost.state.workloads import FleetVmState

VMS = ['vm-w0', 'vm-w1', 'vm-w2', 'vm-w3']


def play(scenario):
    """Run a scenario with a cloud of four VMs and without daemons."""

    async def start(now):
        world = World(now, workers=4, daemons=0, standby_vms=0)
        try:
            return await scenario(world, FleetCloud(world))
        finally:
            await world.close()

    return run_virtual(start)


async def list_names(client):
    listed = await client.list_vms()
    return [row.vm for row in listed.ok_value]


class TestHiddenVm:
    def test_it_is_ordered_as_usual_and_listed_again(self):
        async def scenario(world, client):
            world.cloud.hide('vm-w1', 2)
            hidden = await list_names(client)
            answer = await client.maintain('vm-w1', 1, 1)
            await asyncio.sleep(2)
            return hidden, answer.is_ok(), await list_names(client)

        assert play(scenario) == (['vm-w0', 'vm-w2', 'vm-w3'], True, VMS)

    def test_its_worker_runs_on(self):
        async def scenario(world, _client):
            world.cloud.hide('vm-w1', 2)
            await asyncio.sleep(3)
            return world.workers['w1'].up, 'servers/w1' in world.store.items

        assert play(scenario) == (True, True)


class TestRemovedVm:
    def test_an_order_for_it_is_refused(self):
        async def scenario(world, client):
            world.cloud.remove('vm-w1')
            answer = await client.maintain('vm-w1', 1, 1)
            return answer.err_value.kind, await list_names(client)

        names = [name for name in VMS if name != 'vm-w1']
        assert play(scenario) == (CallFaultKind.BUSY, names)

    def test_an_order_for_a_vm_that_never_existed_is_refused(self):
        async def scenario(_world, client):
            answer = await client.maintain('vm-none', 1, 1)
            return answer.err_value.kind

        assert play(scenario) == CallFaultKind.NOT_FOUND

    def test_its_worker_and_its_entry_end(self):
        async def scenario(world, _client):
            world.cloud.remove('vm-w1')
            up = world.workers['w1'].up
            await asyncio.sleep(5)
            return up, 'servers/w1' in world.store.items

        assert play(scenario) == (False, False)


class TestPages:
    @pytest.mark.parametrize('size', [None, 1, 3, 4, 9])
    def test_a_quiet_list_is_whole(self, size):
        async def scenario(world, client):
            world.cloud.page_size = size
            return await list_names(client)

        assert play(scenario) == VMS

    def test_a_removal_between_pages_leaves_out_another_vm(self):
        async def scenario(world, client):
            world.cloud.page_size = 2
            world.cloud.list_seconds = 1
            reading = asyncio.create_task(list_names(client))
            await asyncio.sleep(0.5)
            world.cloud.remove('vm-w0')
            return await reading

        assert play(scenario) == ['vm-w0', 'vm-w1', 'vm-w3']

    def test_a_changed_order_leaves_out_vms(self):
        async def scenario(world, client):
            world.cloud.page_size = 1
            world.cloud.reordered = True
            return {len(set(await list_names(client))) for _ in range(20)}

        assert min(play(scenario)) < len(VMS)


class TestStaleList:
    def test_it_shows_the_states_of_before(self):
        async def scenario(world, client):
            world.cloud.stale_seconds = 0.5
            await asyncio.sleep(1)
            world.cloud.maintain('vm-w0', 1, 1)
            states = []
            for _ in range(2):
                listed = await client.list_vms()
                states.append(listed.ok_value[0].state)
                await asyncio.sleep(0.6)
            return states

        assert play(scenario) == [FleetVmState.UP, FleetVmState.MAINTENANCE]


class TestUnreachableRack:
    def test_it_is_unreachable_from_the_arrival_of_an_order(self):
        """Workers 0 and 3 share a rack."""

        async def scenario(world, client):
            world.cloud.rack_outages.append(6)
            await client.maintain('vm-w0', 1, 1)
            unreachable = [
                row.faults.unreachable for row in world.workers.values()
            ]
            await asyncio.sleep(5)
            dropped = 'servers/w3' not in world.store.items
            await asyncio.sleep(1.5)
            back = not world.workers['w3'].faults.unreachable
            return (
                unreachable[1:],
                dropped,
                back and 'servers/w3' in world.store.items,
            )

        assert play(scenario) == ([False, False, True], True, True)
