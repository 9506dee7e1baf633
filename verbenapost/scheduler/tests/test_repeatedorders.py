"""Orders for VMs that are repeated after they have been carried out."""

import asyncio

import pytest

from verbenapost.scheduler.tests.scenarios import (
    check_rules,
    name_long_running,
    wait_for_leader,
)

#: More tasks of a full VM than the pool of four VMs has room for.
STEP = [{'count': 5, 'cpu': 8000, 'mem_mb': 100, 'long_running': True}]


def count_runs(world):
    return sum(len(row.runs) for row in world.workers.values() if row.up)


BUSY_STEP = [{'count': 1, 'cpu': 6000, 'mem_mb': 100}]


def is_in_use(leader, vm):
    """Return whether a leader has a worker for new tasks on a VM."""
    link = leader.core._leader._fleet.find_by_vm(vm)
    return link is not None and link.worker.staying and link.worker.reachable


class TestLostAnswers:
    """The VM's next worker was taken for the ended one (review/1)."""

    def test_of_a_move_ends_no_run_of_the_next_worker(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            world.cloud.lost_answers = 2
            await world.submit(name_long_running(1), STEP)
            await asyncio.sleep(12)
            return count_runs(world), check_rules(world)

        assert play(scenario, standby_vms=3) == (5, [])

    def test_of_a_maintenance_keep_the_next_worker_in_use(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            world.cloud.lost_answers = 1
            world.request_wave(1, ['vm-w3'], duration=10, cap=1)
            await asyncio.sleep(8)
            return is_in_use(leader, 'vm-w3'), len(world.cloud.maintained)

        assert play(scenario, standby_vms=0) == (True, 1)


class TestMaintenanceOfAFormerLeader:
    def test_it_is_not_taken_for_the_end_of_the_next_worker(self, play):
        """An upkeep that was done before ended a live worker (review/1)."""

        async def scenario(world):
            leader = await wait_for_leader(world)
            world.request_wave(1, ['vm-w3'], duration=10, cap=1)
            while not world.cloud.maintained:
                await asyncio.sleep(0.001)
            # The leader has not stored yet that the maintenance has begun.
            await leader.kill()
            leader = await wait_for_leader(world)
            await asyncio.sleep(8)
            return is_in_use(leader, 'vm-w3'), len(world.cloud.maintained)

        assert play(scenario, standby_vms=0) == (True, 1)


class TestLateMaintenanceOfAFormerLeader:
    """More VMs were down than allowed (LIMIT, listed by the review)."""

    CAP = 2

    @pytest.mark.parametrize('end', ['stop', 'kill'])
    @pytest.mark.parametrize('seconds', [4.2, 7.6, 12])
    def test_it_counts_as_down_until_then(self, play, end, seconds):
        async def scenario(world):
            world.configure(version=2, standby=False)
            leader = await wait_for_leader(world)
            world.cloud.late_orders = [seconds]
            vms = [row.vm for row in world.workers.values()]
            world.request_wave(1, vms, duration=24, cap=self.CAP)
            while world.cloud.late_orders:
                await asyncio.sleep(0.01)
            await getattr(leader, end)()
            # Work on the VM of the late order, so that its turn is last.
            await world.submit(name_long_running(1), BUSY_STEP, daemon='d2')
            await asyncio.sleep(30)
            return max(row.down for row in world.cloud.maintained)

        assert play(scenario, workers=8, standby_vms=0) == self.CAP
