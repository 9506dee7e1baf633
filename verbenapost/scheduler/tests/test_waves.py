"""Maintenance waves in virtual time, while VMs move between pools."""

import asyncio
import json
import random

import pytest

from standins.fleet.world import SERVICE
from verbenapost.scheduler.tests.scenarios import (
    STEPS,
    check_rules,
    name_job,
    name_long_running,
    wait_for_leader,
)
from verbenapost.state.workloads import FleetVmState

CAP = 2


async def play_wave(world, rng):
    """Request a wave of some VMs, one of which is moving, amid bursts of jobs.

    :returns: VMs of the wave that had not begun when it was shown completed,
        or ``None`` when it was never shown so.
    """
    await wait_for_leader(world)
    burst = asyncio.create_task(submit_bursts(world, rng))
    await asyncio.sleep(rng.uniform(0, 6))
    vms = [row.vm for row in world.cloud.list_vms()]
    moving = await wait_for_move(world)
    wave = [moving, *rng.sample(vms, rng.randrange(2))]
    world.request_wave(1, wave, duration=20, cap=CAP)
    left = None
    for _ in range(800):
        await asyncio.sleep(0.05)
        world.cloud.hidden = set(rng.sample(vms, rng.random() < 0.1))
        if read_wave_state(world) == 'completed':
            begun = {row.vm for row in world.cloud.maintained}
            left = set(wave) - begun
            break
    await burst
    return left


async def wait_for_move(world):
    """Return a VM that has just begun to move into the pool with jobs."""
    while True:
        await asyncio.sleep(0.05)
        for row in world.cloud.list_vms():
            if row.pool == SERVICE and row.state is FleetVmState.MOVING:
                return row.vm


def read_wave_state(world):
    item = world.store.items.get('status/wave/1')
    return None if item is None else json.loads(item.value)['state']


async def submit_bursts(world, rng):
    for number in range(40):
        await world.submit(name_job(number), STEPS)
        await asyncio.sleep(rng.choice((0.02, 0.02, 0.02, 2)))


class TestWave:
    @pytest.mark.parametrize('seed', range(10))
    def test_a_completed_wave_has_reached_each_vm(self, play, seed):
        async def scenario(world):
            left = await play_wave(world, random.Random(seed))
            down = max((row.down for row in world.cloud.maintained), default=0)
            return left, down <= CAP, check_rules(world)

        found = play(scenario, seed=seed, workers=4, standby_vms=4)
        assert found == (set(), True, [])


class TestLongRunningTasks:
    """A wave empties VMs of tasks of which one may be unavailable at a time."""

    DURATION = 14

    def test_the_next_task_moves_as_soon_as_the_last_one_is_at_work(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            step = {
                'count': 8,
                'cpu': 2000,
                'long_running': True,
                'may_miss': 1,
            }
            await world.submit(name_long_running(1), [step])
            await asyncio.sleep(4)
            vms = [row.vm for row in world.workers.values()]
            world.request_wave(1, vms, duration=self.DURATION, cap=CAP)
            await asyncio.sleep(self.DURATION)
            return read_wave_state(world), check_rules(world)

        found = play(scenario, workers=2, standby_vms=2)
        assert found == ('completed', [])
