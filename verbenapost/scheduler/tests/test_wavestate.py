"""State of maintenance waves at a takeover, in virtual time."""

import asyncio
import json

import pytest
from result import Err

from standins.fleet.world import SERVICE
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.scheduler.keys import make_wave_key, make_wave_orders_key
from verbenapost.scheduler.tests.scenarios import wait_for_leader


class TestUnreadableProgress:
    """A read without an answer doesn't show that no VM has begun."""

    def test_the_stored_vms_are_kept(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            vms = [
                row.vm for row in world.cloud.list_vms() if row.pool == SERVICE
            ]
            world.request_wave(1, vms, duration=40, cap=1)
            key = make_wave_key(1)
            while not read_names(world, key):
                await asyncio.sleep(0.05)
            begun = json.loads(world.store.items[key].value)
            await leader.kill()
            for daemon in world.daemons.values():
                fail_once(daemon.store, key)
            await wait_for_leader(world)
            lost = set()
            for _ in range(160):
                stored = json.loads(world.store.items[key].value)
                lost.update(set(begun) - set(stored))
                await asyncio.sleep(0.05)
            return lost

        assert play(scenario, standby_vms=1) == set()

    def test_a_round_waits_for_one_read_that_fails(self, play):
        """Each of the wave's keys took a timeout, in each round."""

        async def scenario(world):
            leader = await wait_for_leader(world)
            reads = set()

            async def fail(key):
                reads.add(key)
                await asyncio.sleep(1)
                return Err(CallFault(CallFaultKind.UNKNOWN, 'no answer'))

            leader.store.read_key = fail
            world.request_wave(1, ['vm-w0'], duration=40, cap=1)
            await asyncio.sleep(6)
            return len(reads)

        assert play(scenario, standby_vms=1) == 1


class TestUnconfirmedRecord:
    """An order for which no record was stored (issue 35, LIMIT)."""

    async def play_wave(self, world, commit):
        """Request a wave whose records are committed in another way.

        :param commit: returns the answer to a commit that stores orders.
        :returns: names of the VMs of the wave.
        """
        leader = await wait_for_leader(world)
        vms = sorted(
            row.vm for row in world.cloud.list_vms() if row.pool == SERVICE
        )
        original = leader.store.commit
        orders_key = make_wave_orders_key(1)

        async def commit_otherwise(transaction):
            values = {row.key: row.value for row in transaction.writes}
            if json.loads(values.get(orders_key, b'[]')):
                return await commit(transaction, original)
            return await original(transaction)

        leader.store.commit = commit_otherwise
        world.request_wave(1, vms, duration=40, cap=1)
        return vms

    def test_is_not_sent(self, play):
        async def scenario(world):
            async def refuse(_transaction, _commit):
                return Err(CallFault(CallFaultKind.NOT_DONE, 'refused'))

            await self.play_wave(world, refuse)
            await asyncio.sleep(10)
            return world.cloud.maintained

        assert play(scenario, standby_vms=1) == []

    @pytest.mark.parametrize('seconds', [2, 6, 14])
    def test_does_not_replace_a_newer_one_later(self, play, seconds):
        async def scenario(world):
            delayed = []

            async def delay_first(transaction, commit):
                if delayed:
                    return await commit(transaction)
                delayed.append(transaction)
                asyncio.get_running_loop().call_later(
                    seconds, world.store.apply, transaction
                )
                await asyncio.sleep(1)
                return Err(CallFault(CallFaultKind.UNKNOWN, 'no answer'))

            vms = await self.play_wave(world, delay_first)
            key = make_wave_key(1)
            known = []
            while len(known) < len(vms):
                await asyncio.sleep(0.05)
                stored = read_names(world, key)
                assert set(known) <= set(stored)
                known = stored
            await asyncio.sleep(16)
            status = json.loads(world.store.items['status/wave/1'].value)
            return status, sorted(json.loads(world.store.items[key].value))

        assert play(scenario, standby_vms=1) == (
            {'state': 'completed'},
            ['vm-w0', 'vm-w1', 'vm-w2', 'vm-w3'],
        )


def read_names(world, key):
    """Return the names that a key holds, none if there is no such key."""
    return json.loads(getattr(world.store.items.get(key), 'value', b'[]'))


def fail_once(store, key):
    """Leave the first read of a key without an answer."""
    read_key = store.read_key
    failed = []

    async def read_or_fail(name):
        if name == key and not failed:
            failed.append(name)
            await asyncio.sleep(1)
            return Err(CallFault(CallFaultKind.UNKNOWN, 'no answer'))
        return await read_key(name)

    store.read_key = read_or_fail
