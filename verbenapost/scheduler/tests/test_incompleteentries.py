"""Entries of other writers among those of the workers, in virtual time."""

import asyncio
import json

import pytest

from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.scheduler.tests.scenarios import (
    check_rules,
    name_long_running,
    wait_for_leader,
)

STEPS = [{'count': 8, 'cpu': 2000, 'long_running': True}]


def remove_field(world, field):
    """Write the entry of the first worker without one of its fields."""
    key = f'{WORKER_PREFIX}w0'
    entry = json.loads(world.store.items[key].value)
    entry.pop(field)
    world.store.write(key, json.dumps(entry).encode())


class TestOddEntryUnderTheNameOfALiveWorker:
    """It names no worker, so it doesn't end the one that runs."""

    @pytest.mark.parametrize('field', ['born', 'machine', 'state', 'service'])
    def test_its_tasks_run_on(self, play, field):
        async def scenario(world):
            await wait_for_leader(world)
            await world.submit(name_long_running(1), STEPS)
            await asyncio.sleep(2)
            remove_field(world, field)
            await asyncio.sleep(1)
            world.workers['w0'].register()
            await asyncio.sleep(12)
            return check_rules(world)

        assert play(scenario, standby_vms=0) == []

    @pytest.mark.parametrize('field', ['born', 'machine'])
    def test_its_tasks_run_on_while_it_is_silent(self, play, field):
        async def scenario(world):
            await wait_for_leader(world)
            await world.submit(name_long_running(1), STEPS)
            await asyncio.sleep(8)
            remove_field(world, field)
            world.workers['w0'].faults.unreachable = True
            await asyncio.sleep(12)
            return check_rules(world)

        assert play(scenario, standby_vms=0) == []
