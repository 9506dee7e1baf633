"""Capacity of workers that shrinks and grows while they run."""

import asyncio

from standins.fleet.workers import RunEnded, RunStarted
from standins.fleet.world import WORKER_CAPACITY
from verbenapost.scheduler.tests.scenarios import (
    COMPLETED,
    check_rules,
    name_job,
    name_long_running,
    read_states,
    wait_for_leader,
)
from verbenapost.state.resources import Resources

SHRUNK = Resources(2000, 2000)

#: Seconds from a change of an entry until it is in force here: the watch of
#: the store and a start that is on its way.
NOTICE_SECONDS = 0.1

STEP = [{'count': 4, 'cpu': 1000, 'mem_mb': 100}]


def measure_starts(world, name, since, until):
    """Return the processors in use on a worker after each of its starts."""
    used = 0
    found = []
    for event in world.history:
        if event.at > until:
            break
        if not isinstance(event, RunStarted | RunEnded):
            continue
        if event.worker != name:
            continue
        steps = world.accepted[event.task.job]
        cpu = steps[event.task.step]['cpu']
        used += cpu if isinstance(event, RunStarted) else -cpu
        if isinstance(event, RunStarted) and event.at > since:
            found.append(used)
    return found


class TestChangedCapacity:
    async def load(self, world, seconds):
        """Submit more than the workers can run."""
        until = world.now() + seconds
        while world.now() < until:
            number = len(world.accepted)
            await world.submit(name_job(number), STEP)
            await asyncio.sleep(0.15)

    def test_no_start_exceeds_a_capacity_that_has_shrunk(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            await self.load(world, 2)
            shrunk = world.workers['w0']
            shrunk.resize(SHRUNK)
            since = world.now() + NOTICE_SECONDS
            await self.load(world, 4)
            found = measure_starts(world, 'w0', since, world.now())
            # The rules know one capacity for the whole history.
            shrunk.resize(WORKER_CAPACITY)
            await asyncio.sleep(20)
            states = set((await read_states(world)).values())
            return check_rules(world), max(found), states

        assert play(scenario, workers=2) == ([], SHRUNK.cpu, {COMPLETED})

    def test_a_capacity_that_has_grown_again_is_used(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            world.workers['w0'].resize(SHRUNK)
            await self.load(world, 2)
            since = world.now()
            world.workers['w0'].resize(WORKER_CAPACITY)
            await self.load(world, 4)
            found = measure_starts(world, 'w0', since, world.now())
            return check_rules(world), max(found)

        assert play(scenario, workers=2) == ([], WORKER_CAPACITY.cpu)

    def test_a_long_running_task_is_not_moved_to_a_shrunk_worker(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            lasting = [
                {'count': 2, 'cpu': 6000, 'long_running': True, 'may_miss': 1}
            ]
            await world.submit(name_long_running(1), lasting, 'd1')
            await asyncio.sleep(3)
            held = next(row for row in world.workers.values() if row.runs)
            free = [row for row in world.workers.values() if not row.runs]
            for worker in free:
                worker.resize(SHRUNK)
            await asyncio.sleep(NOTICE_SECONDS)
            world.request_wave(1, [held.vm], duration=60, cap=1)
            since = world.now()
            await asyncio.sleep(3)
            pool_states = leader.core._leader._pool_states
            assert pool_states.find('routing').workers[held.name].leaving
            moved = [
                event
                for event in world.history
                if isinstance(event, RunStarted) and event.at > since
            ]
            free[0].resize(WORKER_CAPACITY)
            await asyncio.sleep(3)
            return moved, len(held.runs), len(free[0].runs)

        assert play(scenario, standby_vms=0) == ([], 0, 1)
