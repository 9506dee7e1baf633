"""Removal of ended jobs after their retention time."""

import asyncio

from verbenapost.scheduler.cleanup import EXTRA_RETENTION_SECONDS
from verbenapost.scheduler.tests.scenarios import (
    STEPS,
    name_job,
    wait_for_leader,
)

STATUS_SECONDS = 120


class TestCleanup:
    def test_keys_of_ended_jobs_are_removed(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            await world.submit(name_job(1), STEPS)
            await world.submit('1a57000000000000', STEPS)
            await asyncio.sleep(STATUS_SECONDS)
            kept = await world.call('GET', name_job(1))
            await asyncio.sleep(EXTRA_RETENTION_SECONDS + 15)
            gone = await world.call('GET', name_job(1))
            long_running = await world.call('GET', '1a57000000000000')
            left = [key for key in world.store.items if name_job(1) in key]
            return kept.status, gone.status, long_running.status, left

        assert play(scenario) == (200, 410, 200, [])
