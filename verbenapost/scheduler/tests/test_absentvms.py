"""VMs of which the list says nothing certain, in virtual time."""

import asyncio
import dataclasses

import pytest

from standins.fleet.world import SERVICE
from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.platform.records import read_vm
from verbenapost.scheduler.tests.scenarios import (
    check_rules,
    name_long_running,
    wait_for_leader,
)

TASKS = 8

#: Seconds from the removal of a VM until its tasks run elsewhere.
MAX_LAPSE_SECONDS = 9

#: Age of the workers in seconds from which on each list is newer than they are.
OLD_SECONDS = 7


async def start_tasks(world):
    """Start long-running tasks on all workers and return the leader."""
    leader = await wait_for_leader(world)
    steps = [{'count': TASKS, 'cpu': 2000, 'long_running': True}]
    await world.submit(name_long_running(1), steps)
    await asyncio.sleep(OLD_SECONDS)
    return leader


def isolate_worker(world):
    """Let nothing reach worker w0, which keeps its entry."""
    world.workers['w0'].faults.unreachable = True


def remove_entry(world):
    """Remove the entry of worker w0, which can still be reached."""
    world.store.remove(f'{WORKER_PREFIX}w0')


def count_runs(world):
    return sum(
        len(worker.runs) for worker in world.workers.values() if worker.up
    )


class TestPauseWithAnIncompleteList:
    """The pages of a read are no snapshot, so an absent VM may be up."""

    @pytest.mark.parametrize('handover', ['stop', 'kill'])
    def test_tasks_of_an_unregistered_worker_run_on(self, play, handover):
        async def scenario(world):
            leader = await start_tasks(world)
            remove_entry(world)
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
            isolate_worker(world)
            await getattr(leader, handover)()
            world.cloud.hidden = {'vm-w0'}
            await asyncio.sleep(12)
            return check_rules(world)

        assert play(scenario, standby_vms=0) == []

    def test_its_tasks_run_on_under_one_leader(self, play):
        async def scenario(world):
            await start_tasks(world)
            isolate_worker(world)
            await asyncio.sleep(2.5)
            world.cloud.hidden = {'vm-w0'}
            await asyncio.sleep(12)
            return check_rules(world)

        assert play(scenario, standby_vms=0) == []


class TestVmThatTheListLeavesOut:
    """Absence was taken for the removal of the VM and the end of its worker."""

    @pytest.mark.parametrize('seconds', [2.5, 4])
    def test_tasks_of_a_silent_worker_run_on_under_one_leader(
        self, play, seconds
    ):
        async def scenario(world):
            await start_tasks(world)
            isolate_worker(world)
            await asyncio.sleep(1.5)
            world.cloud.hide('vm-w0', seconds)
            await asyncio.sleep(15)
            return check_rules(world)

        assert play(scenario, standby_vms=0) == []

    @pytest.mark.parametrize('handover', ['stop', 'kill'])
    @pytest.mark.parametrize('seconds', [2.5, 4])
    @pytest.mark.parametrize('disturb', [isolate_worker, remove_entry])
    def test_its_tasks_run_on_after_a_takeover(
        self, play, handover, seconds, disturb
    ):
        async def scenario(world):
            leader = await start_tasks(world)
            disturb(world)
            await asyncio.sleep(0.5)
            await getattr(leader, handover)()
            world.cloud.hide('vm-w0', seconds)
            await asyncio.sleep(15)
            return check_rules(world)

        assert play(scenario, standby_vms=0) == []

    def test_tasks_of_a_removed_vm_start_elsewhere(self, play):
        async def scenario(world):
            await start_tasks(world)
            world.cloud.remove('vm-w0')
            await asyncio.sleep(MAX_LAPSE_SECONDS)
            return check_rules(world), count_runs(world)

        assert play(scenario, standby_vms=0) == ([], TASKS)


def show_state(world, name, state):
    """Let the list show a state of a VM as the platform spells it."""
    list_known = world.cloud.list_vms

    def list_vms():
        shown = read_vm(
            {'machine': name, 'pool': SERVICE, 'state': state, 'capacity': {}}
        )
        return [
            dataclasses.replace(row, state=shown.state)
            if row.vm == name
            else row
            for row in list_known()
        ]

    world.cloud.list_vms = list_vms


class TestVmInAnUnknownState:
    """A state that this version doesn't know says nothing about its worker."""

    def test_tasks_of_an_unregistered_worker_run_on(self, play):
        async def scenario(world):
            leader = await start_tasks(world)
            show_state(world, 'vm-w0', 'degraded')
            remove_entry(world)
            await asyncio.sleep(0.5)
            await leader.kill()
            await asyncio.sleep(12)
            return check_rules(world)

        assert play(scenario, standby_vms=0) == []

    def test_tasks_of_a_silent_worker_run_on(self, play):
        async def scenario(world):
            await start_tasks(world)
            show_state(world, 'vm-w0', 'degraded')
            isolate_worker(world)
            await asyncio.sleep(12)
            return check_rules(world)

        assert play(scenario, standby_vms=0) == []
