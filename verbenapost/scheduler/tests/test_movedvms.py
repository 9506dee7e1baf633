"""Tasks on VMs that the list shows elsewhere or down, in virtual time."""

import asyncio

from standins.fleet.cloud import MOVE_SECONDS
from standins.fleet.world import SERVICE
from verbenapost.scheduler.tests.scenarios import (
    STEPS,
    check_rules,
    name_job,
    name_long_running,
    wait_for_leader,
)


class TestYoungWorker:
    """A worker that registered a second ago is gone, as its VM has moved on.

    Its entry stays in the store for some seconds, and nothing answers there.
    """

    async def move_away(self, world, leader):
        """Move a VM in and, a second after it is up, out again."""
        token = leader.ports.election.token
        (vm,) = [
            row.vm for row in world.cloud.list_vms() if row.pool != SERVICE
        ]
        world.cloud.move(vm, SERVICE, token)
        await asyncio.sleep(MOVE_SECONDS + 1)
        world.cloud.move(vm, world.cloud.standby, token)

    def test_inherited_jobs_go_on_within_a_second(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            await self.move_away(world, leader)
            await world.submit(name_job(1), STEPS, 'd1')
            await leader.stop()
            successor = await wait_for_leader(world)
            await asyncio.sleep(1)
            pool_states = successor.core._leader._pool_states
            paused = pool_states.find(SERVICE).recovering
            await asyncio.sleep(8)
            return paused, check_rules(world)

        assert play(scenario, standby_vms=1) == (False, [])


class TestCrashedVm:
    """A worker crashes, and the platform lists its VM as down."""

    async def choose_worker(self, world):
        """Start eight long-running tasks and return a worker with some."""
        await wait_for_leader(world)
        long_running = [{'count': 8, 'cpu': 1000, 'long_running': True}]
        await world.submit(name_long_running(1), long_running)
        await asyncio.sleep(3)
        return next(row for row in world.workers.values() if row.runs)

    def test_its_tasks_start_elsewhere_before_their_leases_lapse(self, play):
        async def scenario(world):
            crashed = await self.choose_worker(world)
            crashed.crash()
            await asyncio.sleep(4)
            running = sum(len(row.runs) for row in world.workers.values())
            return running, check_rules(world)

        assert play(scenario, standby_vms=0) == (8, [])

    def test_a_silent_worker_keeps_its_tasks_until_its_leases_lapse(self, play):
        async def scenario(world):
            silent = await self.choose_worker(world)
            silent.faults.unreachable = True
            await asyncio.sleep(4)
            return len(world.history), check_rules(world)

        assert play(scenario, standby_vms=0) == (8, [])
