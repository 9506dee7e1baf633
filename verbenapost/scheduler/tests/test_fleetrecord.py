"""The VMs that a leader stores for its successors, in virtual time."""

import asyncio
import json

import pytest

from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.scheduler.keys import FLEET_KEY
from verbenapost.scheduler.tests.scenarios import (
    check_rules,
    name_long_running,
    wait_for_leader,
)

STEPS = [{'count': 8, 'cpu': 2000, 'long_running': True}]
VMS = [f'vm-w{index}' for index in range(4)]
W0_KEY = f'{WORKER_PREFIX}w0'


def read_record(world):
    item = world.store.items.get(FLEET_KEY)
    return [] if item is None else json.loads(item.value)


class TestStarts:
    """A task ran on a VM that a successor would not have known of."""

    def test_none_is_sent_before_the_vm_is_stored(self, play):
        async def scenario(world):
            for daemon in world.daemons.values():
                commit = daemon.store.commit
                daemon.store.commit = delay(commit)
            await wait_for_leader(world)
            await world.submit(name_long_running(1), STEPS)
            await asyncio.sleep(2)
            early = len(world.history), read_record(world)
            await asyncio.sleep(3)
            return early, len(world.history), read_record(world)

        def delay(commit):
            async def commit_late(transaction):
                if FLEET_KEY in {row.key for row in transaction.writes}:
                    await asyncio.sleep(3)
                return await commit(transaction)

            return commit_late

        assert play(scenario) == ((0, []), 8, VMS)

    @pytest.mark.parametrize('fault', ['lose', 'late'])
    def test_they_follow_a_write_without_an_answer(self, play, fault):
        async def scenario(world):
            for daemon in world.daemons.values():
                commit = daemon.store.commit
                daemon.store.commit = fail_first(daemon.store.faults, commit)
            await wait_for_leader(world)
            await asyncio.sleep(4)
            await world.submit(name_long_running(1), STEPS)
            await asyncio.sleep(8)
            return len(world.history), read_record(world)

        def fail_first(faults, commit):
            failed = []

            async def commit_once(transaction):
                keys = {row.key for row in transaction.writes}
                if FLEET_KEY not in keys or failed:
                    return await commit(transaction)
                failed.append(transaction)
                setattr(faults, fault, 1)
                answering = asyncio.create_task(commit(transaction))
                await asyncio.sleep(0.1)
                setattr(faults, fault, 0)
                return await answering

            return commit_once

        assert play(scenario) == (8, VMS)


class TestLeftVms:
    """A takeover waited for a VM that had been removed long before."""

    @pytest.mark.parametrize('standby_vms', [None, 0])
    def test_a_removed_vm_is_dropped(self, play, standby_vms):
        async def scenario(world):
            await wait_for_leader(world)
            await asyncio.sleep(1)
            stored = read_record(world)
            world.workers['w0'].crash()
            if world.cloud is not None:
                world.cloud.remove('vm-w0')
            world.store.remove(W0_KEY)
            await asyncio.sleep(20)
            return stored, read_record(world)

        assert play(scenario, standby_vms=standby_vms) == (VMS, VMS[1:])

    def test_an_empty_vm_is_dropped_once_its_entry_is_removed(self, play):
        """A takeover 12 s after its removal waited for its leases."""

        async def scenario(world):
            await wait_for_leader(world)
            await asyncio.sleep(8)
            world.cloud.remove('vm-w0')
            world.store.remove(W0_KEY)
            await asyncio.sleep(2.5)
            return read_record(world)

        assert play(scenario, standby_vms=0) == VMS[1:]

    def test_a_vm_that_the_list_leaves_out_is_kept_by_two_leaders(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            await world.submit(name_long_running(1), STEPS)
            await asyncio.sleep(7)
            world.store.remove(W0_KEY)
            world.cloud.hide('vm-w0', 8)
            for _ in range(2):
                await leader.kill()
                await asyncio.sleep(0.1)
                leader = await wait_for_leader(world)
                await asyncio.sleep(1)
            await asyncio.sleep(15)
            return check_rules(world)

        assert play(scenario, standby_vms=0) == []


class TestOtherWriters:
    """A takeover failed on a value that no leader had written."""

    @pytest.mark.parametrize('value', [b'', b'{', b'{}', b'[1]', b'\xff'])
    def test_their_value_is_replaced(self, play, value):
        async def scenario(world):
            world.store.write(FLEET_KEY, value)
            await wait_for_leader(world)
            await asyncio.sleep(1)
            return read_record(world)

        assert play(scenario) == VMS
