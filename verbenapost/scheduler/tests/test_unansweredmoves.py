"""Moves of VMs that are never answered, in virtual time."""

import asyncio

from verbenapost.scheduler.tests.scenarios import (
    check_rules,
    name_job,
    name_long_running,
    wait_for_leader,
)
from verbenapost.scheduler.vmorders import MAX_ORDER_ATTEMPTS

SMALL_STEP = [{'count': 1, 'cpu': 1000, 'mem_mb': 100}]

#: A task for each of the four VMs.
FULL_STEP = [{'count': 4, 'cpu': 8000, 'mem_mb': 100, 'long_running': True}]

#: Seconds within which the VMs of an idle pool begin to move to standby.
RELEASE_SECONDS = 8

#: Seconds for which a move without an answer may still be carried out.
LATE_SECONDS = 15


def count_runs(world):
    return sum(len(row.runs) for row in world.workers.values() if row.up)


class TestUnansweredMove:
    """Its VM got no work for the rest of the term (issue 35)."""

    async def begin_moves(self, world, silent_orders):
        """Let the moves of a pool's surplus VMs get no answer."""
        await wait_for_leader(world)
        world.cloud.silent_orders = silent_orders
        await world.submit(name_job(1), SMALL_STEP)
        await asyncio.sleep(RELEASE_SECONDS)
        assert world.cloud.silent_orders < silent_orders

    async def play_outage(self, world, seconds):
        """Let the store be down, and its leases pause."""
        for lease in world.store.leases:
            world.store.leases[lease] += seconds
        world.store.faults.down = True
        await asyncio.sleep(seconds)
        world.store.faults.down = False

    async def count_full_vms(self, world):
        await world.submit(name_long_running(2), FULL_STEP)
        await asyncio.sleep(8)
        return count_runs(world), check_rules(world)

    def test_its_vm_is_used_again_after_all_attempts(self, play):
        async def scenario(world):
            # Two VMs are surplus.
            await self.begin_moves(world, 2 * MAX_ORDER_ATTEMPTS)
            while world.cloud.silent_orders:
                await asyncio.sleep(0.1)
            await asyncio.sleep(LATE_SECONDS + 1)
            return await self.count_full_vms(world)

        assert play(scenario, standby_vms=0) == (4, [])

    def test_its_vm_is_used_again_after_a_store_outage(self, play):
        async def scenario(world):
            await self.begin_moves(world, 1000)
            leader = world.find_leader()
            await self.play_outage(world, 3)
            world.cloud.silent_orders = 0
            await asyncio.sleep(LATE_SECONDS + 3)
            assert world.find_leader() is leader
            return await self.count_full_vms(world)

        assert play(scenario, standby_vms=0) == (4, [])
