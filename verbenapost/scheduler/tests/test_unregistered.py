"""Live workers without an entry while leaders change, in virtual time."""

import asyncio

import pytest

from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.scheduler.keys import LEADER_KEY
from verbenapost.scheduler.tests.scenarios import (
    check_rules,
    name_long_running,
    wait_for_leader,
)

TASKS = 8


async def start_tasks(world):
    """Start long-running tasks on all workers and return the leader."""
    leader = await wait_for_leader(world)
    steps = [{'count': TASKS, 'cpu': 2000, 'long_running': True}]
    await world.submit(name_long_running(1), steps)
    await asyncio.sleep(2)
    return leader


def count_runs(world):
    return sum(len(worker.runs) for worker in world.workers.values())


class TestTasksOfUnregisteredWorkers:
    """Their tasks must not start elsewhere while their leases last."""

    @pytest.mark.parametrize('handover', ['stop', 'kill'])
    @pytest.mark.parametrize('delay', [0.4, 0.8, 1.2, 1.6])
    @pytest.mark.parametrize('named', [True, False])
    def test_worker_without_a_way_to_the_store_runs_on(
        self, play, handover, delay, named
    ):
        """Guards against TWICE: the list may not name such a worker."""

        async def scenario(world):
            world.cloud.names_unregistered = named
            leader = await start_tasks(world)
            world.store.remove(f'{WORKER_PREFIX}w0')
            await asyncio.sleep(delay)
            await getattr(leader, handover)()
            await asyncio.sleep(12)
            return check_rules(world), count_runs(world)

        assert play(scenario, standby_vms=0) == ([], TASKS)

    def test_second_outage_right_after_the_takeover(self, play):
        async def scenario(world):
            await start_tasks(world)
            store = world.store
            store.faults.silent = True
            await asyncio.sleep(2)
            for name in world.workers:
                store.remove(f'{WORKER_PREFIX}{name}')
            store.remove(LEADER_KEY)
            store.faults.silent = False
            await asyncio.sleep(0.6)
            assert world.find_leader() is not None
            # The leases pause, so the new leader goes on afterwards.
            store.leases = {name: end + 3 for name, end in store.leases.items()}
            store.faults.silent = True
            await asyncio.sleep(2.2)
            store.faults.silent = False
            for worker in reversed(world.workers.values()):
                worker.register()
                await asyncio.sleep(0.6)
            await asyncio.sleep(12)
            return check_rules(world), count_runs(world)

        assert play(scenario, standby_vms=0) == ([], TASKS)

    @pytest.mark.parametrize('handover', ['stop', 'kill'])
    def test_worker_without_a_way_to_the_store_and_no_list_of_vms(
        self, play, handover
    ):
        async def scenario(world):
            leader = await start_tasks(world)
            world.store.remove(f'{WORKER_PREFIX}w0')
            await asyncio.sleep(0.8)
            await getattr(leader, handover)()
            await asyncio.sleep(12)
            return check_rules(world), count_runs(world)

        assert play(scenario, standby_vms=None) == ([], TASKS)
