"""Maintenance waves in virtual time, while VMs move between pools."""

import asyncio
import json
import random

import pytest

from standins.fleet.waves import find_wave_violations
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

LONG_RUNNING = [{'count': 4, 'cpu': 2000, 'long_running': True, 'may_miss': 1}]


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


async def disturb_vms(world, rng, vms):
    """Let lists be wrong and racks be unreachable until cancelled."""
    cloud = world.cloud
    while True:
        cloud.page_size = rng.choice((None, 1, 2, 3))
        cloud.reordered = rng.random() < 0.3
        cloud.list_seconds = rng.choice((0, 0, 0.3))
        cloud.stale_seconds = rng.choice((0, 0, 0.2, 0.8))
        if rng.random() < 0.4:
            cloud.hide(rng.choice(vms), rng.uniform(0.5, 10))
        if rng.random() < 0.2:
            cloud.rack_outages.append(rng.uniform(1, 7))
        await asyncio.sleep(rng.uniform(0.2, 2))


async def play_uncertain_wave(world, rng):
    """Request a wave, remove one of its VMs or none, and end the leader."""
    leader = await wait_for_leader(world)
    await world.submit(name_long_running(1), LONG_RUNNING)
    vms = [row.vm for row in world.cloud.list_vms()]
    pool = [row.vm for row in world.workers.values()]
    faults = asyncio.create_task(disturb_vms(world, rng, vms))
    await asyncio.sleep(rng.uniform(0, 4))
    world.request_wave(1, pool, duration=30, cap=CAP)
    await asyncio.sleep(rng.uniform(0, 6))
    if rng.random() < 0.5:
        world.cloud.remove(rng.choice(pool))
    await asyncio.sleep(rng.uniform(0, 6))
    await leader.kill()
    await asyncio.sleep(60)
    faults.cancel()


@pytest.mark.parametrize('seed', range(12))
class TestWaveWithUncertainLists:
    """What a list leaves out or shows late was taken as a fact (issue 38)."""

    def test_no_wave_is_completed_without_a_vm(self, play, seed):
        async def scenario(world):
            await play_uncertain_wave(world, random.Random(seed))
            found = find_wave_violations(world.wave_history)
            return read_wave_state(world), found

        found = play(scenario, seed=seed, workers=5, standby_vms=3)
        assert found == ('completed', [])

    def test_no_task_runs_twice(self, play, seed):
        async def scenario(world):
            await play_uncertain_wave(world, random.Random(seed))
            return check_rules(world)

        assert play(scenario, seed=seed, workers=5, standby_vms=3) == []


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
