"""VMs that a wave takes for removed although they exist, in virtual time."""

import asyncio
import itertools
import json

import pytest
from result import Err

from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.scheduler.tests.scenarios import (
    check_rules,
    name_long_running,
    wait_for_leader,
)
from verbenapost.scheduler.tests.wavestates import (
    STATUS_KEY,
    find_completed,
    find_pool_vms,
    follow_states,
)

#: Longest seconds between two reads of the list while the store is away.
MAX_GAP_SECONDS = 3


def refuse_orders(world, vm, seconds):
    """Let the cloud refuse a VM's maintenance as busy for some seconds."""
    maintain = world.cloud.maintain
    until = world.now() + seconds

    def refuse(name, wave, token):
        if name == vm and world.now() < until:
            return Err(CallFault(CallFaultKind.BUSY, 'busy'))
        return maintain(name, wave, token)

    world.cloud.maintain = refuse


def lose_reopenings(world, daemon, seconds):
    """Lose the answer to each write of a running wave for some seconds."""
    commit = daemon.store.commit
    until = world.now() + seconds

    async def lose(transaction):
        answer = await commit(transaction)
        states = [
            json.loads(row.value)['state']
            for row in transaction.writes
            if row.key == STATUS_KEY
        ]
        if states == ['running'] and world.now() < until:
            return Err(CallFault(CallFaultKind.UNKNOWN, 'timeout'))
        return answer

    daemon.store.commit = lose


class TestReturnedVm:
    """A completed wave was not looked at again by its leader."""

    def test_a_vm_listed_after_the_completion_is_maintained(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            vms = find_pool_vms(world)
            states = follow_states(world)
            world.cloud.hide(vms[0], 25)
            refuse_orders(world, vms[0], 25)
            world.request_wave(1, vms[:2], duration=20, cap=1)
            await asyncio.sleep(45)
            return find_completed(states)

        completed = play(scenario, standby_vms=1)
        assert completed[-1:] == [{'vm-w0', 'vm-w1'}]

    def test_a_vm_that_is_down_and_left_out_for_12_s_is_waited_for(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            vms = find_pool_vms(world)
            states = follow_states(world)
            world.request_wave(1, vms[:2], duration=20, cap=1)
            world.cloud.hide(vms[0], 12)
            refuse_orders(world, vms[0], 12)
            await asyncio.sleep(35)
            return find_completed(states)

        assert play(scenario, standby_vms=1) == [{'vm-w0', 'vm-w1'}]


class TestLostReopening:
    """The answer to the write of 'running' is lost."""

    def test_no_completion_is_stored_before_the_vms_have_begun(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            vms = find_pool_vms(world)
            world.request_wave(1, vms[:1], duration=20, cap=1)
            await asyncio.sleep(12)
            states = follow_states(world)
            commit = leader.store.commit
            lost = []

            async def lose_first(transaction):
                answer = await commit(transaction)
                keys = {row.key for row in transaction.writes}
                if STATUS_KEY in keys and not lost:
                    lost.append(transaction)
                    return Err(CallFault(CallFaultKind.UNKNOWN, 'timeout'))
                return answer

            leader.store.commit = lose_first
            world.request_wave(1, vms[:3], duration=20, cap=1)
            await asyncio.sleep(25)
            return find_completed(states)

        completed = play(scenario, standby_vms=1)
        assert completed == [{'vm-w0', 'vm-w1', 'vm-w2'}]

    def test_a_new_leader_stores_none_before_the_vms_have_begun(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            vms = find_pool_vms(world)
            world.request_wave(1, vms[:1], duration=20, cap=1)
            await asyncio.sleep(12)
            states = follow_states(world)
            await leader.kill()
            for daemon in world.daemons.values():
                lose_reopenings(world, daemon, 12)
            world.request_wave(1, vms[:3], duration=20, cap=1)
            await asyncio.sleep(40)
            return find_completed(states)

        completed = play(scenario, standby_vms=1)
        assert completed == [{'vm-w0', 'vm-w1', 'vm-w2'}]


class TestStoreAway:
    """Writes that wait for one another held up the rounds."""

    def test_the_list_is_read_while_records_can_not_be_stored(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            vms = find_pool_vms(world)
            await asyncio.sleep(3)
            reads = []
            list_vms = world.cloud.list_vms

            def note_read():
                reads.append(world.now())
                return list_vms()

            world.cloud.list_vms = note_read
            commit = leader.store.commit
            until = [None]

            async def lose_records(transaction):
                keys = {row.key for row in transaction.writes}
                if STATUS_KEY in keys and world.cloud.maintained:
                    until[0] = until[0] or world.now() + 7
                    if world.now() < until[0]:
                        await asyncio.sleep(1)
                        return Err(CallFault(CallFaultKind.UNKNOWN, 'timeout'))
                return await commit(transaction)

            leader.store.commit = lose_records
            world.request_wave(1, vms, duration=30, cap=8)
            await asyncio.sleep(20)
            return max(
                later - earlier for earlier, later in itertools.pairwise(reads)
            )

        gap = play(scenario, standby_vms=4, workers=12)
        assert gap <= MAX_GAP_SECONDS


class TestReturnedWorker:
    """An unlisted VM without a known worker counts as empty."""

    async def unregister(self, world, seconds):
        """Hide a VM and let its worker be unknown; return both and its entry.

        :param seconds: seconds for which the list leaves the VM out.
        """
        await wait_for_leader(world)
        vm = find_pool_vms(world)[0]
        await asyncio.sleep(3)
        world.cloud.hide(vm, seconds)
        worker = next(row for row in world.workers.values() if row.vm == vm)
        key = f'{WORKER_PREFIX}{worker.name}'
        entry = world.store.items[key]
        worker.faults.unreachable = True
        world.store.remove(key)
        await asyncio.sleep(12)
        return vm, worker, entry

    async def fill(self, world):
        steps = [{'count': 8, 'cpu': 2000, 'long_running': True}]
        await world.submit(name_long_running(1), steps)

    def test_no_order_reaches_one_that_has_registered_again(self, play):
        async def scenario(world):
            vm, worker, entry = await self.unregister(world, 60)
            world.cloud.silent_orders = 3
            maintain = world.cloud.maintain
            interrupted = []

            def note_runs(name, wave, token):
                interrupted.extend(worker.runs)
                return maintain(name, wave, token)

            world.cloud.maintain = note_runs
            world.request_wave(1, [vm], duration=40, cap=1)
            await asyncio.sleep(1)
            worker.faults.unreachable = False
            world.store.write(entry.key, entry.value)
            await self.fill(world)
            await asyncio.sleep(15)
            return len(world.cloud.maintained), interrupted, check_rules(world)

        assert play(scenario, standby_vms=1) == (1, [], [])

    def test_the_next_one_accepts_tasks_after_a_lost_answer(self, play):
        async def scenario(world):
            vm, _, _ = await self.unregister(world, 25)
            world.cloud.lost_answers = 1
            world.request_wave(1, [vm], duration=40, cap=1)
            await asyncio.sleep(14.5)
            await self.fill(world)
            await asyncio.sleep(1.5)
            return [
                len(row.runs)
                for row in world.workers.values()
                if row.vm == vm and row.up
            ]

        assert play(scenario, standby_vms=1) == [2]

    def test_no_order_reaches_one_whose_entry_names_no_vm(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            vm = find_pool_vms(world)[0]
            worker = next(row for row in world.workers.values() if row.vm == vm)
            key = f'{WORKER_PREFIX}{worker.name}'
            entry = json.loads(world.store.items[key].value)
            entry.pop('machine')
            world.store.write(key, json.dumps(entry).encode())
            await leader.kill()
            await asyncio.sleep(12)
            await self.fill(world)
            await asyncio.sleep(2)
            world.cloud.hide(vm, 15)
            world.request_wave(1, [vm], duration=40, cap=1)
            await asyncio.sleep(14)
            return len(worker.runs), check_rules(world)

        assert play(scenario, standby_vms=1) == (2, [])


class TestEntryOfRemovedVm:
    """Another writer's entry of a worker outlives the worker's VM."""

    @pytest.mark.parametrize('count', [0, 8])
    def test_the_wave_is_completed(self, play, count):
        async def scenario(world):
            await wait_for_leader(world)
            vms = find_pool_vms(world)
            await asyncio.sleep(3)
            worker = next(
                row for row in world.workers.values() if row.vm == vms[0]
            )
            entry = world.store.items[f'{WORKER_PREFIX}{worker.name}']
            if count:
                steps = [{'count': count, 'cpu': 2000, 'long_running': True}]
                await world.submit(name_long_running(1), steps)
                await asyncio.sleep(2)
            world.cloud.remove(vms[0])
            await asyncio.sleep(4.5)
            world.store.write(entry.key, entry.value)
            states = follow_states(world)
            world.request_wave(1, vms[:2], duration=20, cap=1)
            await asyncio.sleep(30)
            return find_completed(states)

        assert play(scenario, standby_vms=1) == [{'vm-w1'}]
