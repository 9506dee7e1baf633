"""Workers that start again under their identity."""

import asyncio

import pytest

from verbenapost.scheduler.tests.scenarios import (
    check_rules,
    name_job,
    name_long_running,
    wait_for_leader,
)

STEP = [{'count': 4, 'cpu': 500, 'mem_mb': 100}]
LONG_STEP = [{'count': 4, 'cpu': 500, 'mem_mb': 100, 'long_running': True}]


async def run_jobs(world, numbers):
    for number in numbers:
        await world.submit(name_job(number), STEP)
        await asyncio.sleep(0.5)


async def restart(worker, seconds):
    worker.crash()
    await asyncio.sleep(seconds)
    worker.up = True
    worker._reset()


class TestRestart:
    """Ends of the next incarnation were forgotten unread (review/2)."""

    @pytest.mark.parametrize('registers_after', [0, 0.4, 2])
    @pytest.mark.parametrize('seconds', [0.05, 0.3, 1, 3])
    def test_no_task_runs_twice(self, play, seconds, registers_after):
        async def scenario(world):
            await wait_for_leader(world)
            await world.submit(name_long_running(1), LONG_STEP)
            load = asyncio.create_task(run_jobs(world, range(2, 20)))
            await asyncio.sleep(3)
            for worker in list(world.workers.values()):
                await restart(worker, seconds)
                await asyncio.sleep(registers_after)
                worker.register()
            await load
            await asyncio.sleep(10)
            running = sum(len(row.runs) for row in world.workers.values())
            return running, check_rules(world)

        assert play(scenario, workers=3) == (4, [])
