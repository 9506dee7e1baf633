"""VMs that one read of the list leaves out, in virtual time."""

import asyncio

import pytest

from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.scheduler.tests.scenarios import (
    check_rules,
    name_long_running,
    wait_for_leader,
)

TASKS = 8

#: Age of the workers in seconds from which on each list is newer than they are.
OLD_SECONDS = 7


async def start_tasks(world):
    """Start long-running tasks on all workers and return the leader."""
    leader = await wait_for_leader(world)
    steps = [{'count': TASKS, 'cpu': 2000, 'long_running': True}]
    await world.submit(name_long_running(1), steps)
    await asyncio.sleep(OLD_SECONDS)
    return leader


class TestPauseWithAnIncompleteList:
    """The pages of a read are no snapshot, so an absent VM may be up."""

    @pytest.mark.parametrize('handover', ['stop', 'kill'])
    def test_tasks_of_an_unregistered_worker_run_on(self, play, handover):
        async def scenario(world):
            leader = await start_tasks(world)
            world.store.remove(f'{WORKER_PREFIX}w0')
            await asyncio.sleep(0.5)
            await getattr(leader, handover)()
            world.cloud.hidden = {'vm-w0'}
            await asyncio.sleep(12)
            return check_rules(world)

        assert play(scenario, standby_vms=0) == []


class TestSilentWorkerWithAnIncompleteList:
    """Its tasks must not start elsewhere while its leases last."""

    @pytest.mark.parametrize('handover', ['stop', 'kill'])
    def test_its_tasks_run_on_after_a_takeover(self, play, handover):
        async def scenario(world):
            leader = await start_tasks(world)
            world.workers['w0'].faults.unreachable = True
            await getattr(leader, handover)()
            world.cloud.hidden = {'vm-w0'}
            await asyncio.sleep(12)
            return check_rules(world)

        assert play(scenario, standby_vms=0) == []

    def test_its_tasks_run_on_under_one_leader(self, play):
        async def scenario(world):
            await start_tasks(world)
            world.workers['w0'].faults.unreachable = True
            await asyncio.sleep(2.5)
            world.cloud.hidden = {'vm-w0'}
            await asyncio.sleep(12)
            return check_rules(world)

        assert play(scenario, standby_vms=0) == []
