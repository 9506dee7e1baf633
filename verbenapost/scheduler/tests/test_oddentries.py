"""Entries of other writers beside those of the workers, in virtual time."""

import asyncio
import json

from structlog.testing import capture_logs

from standins.fleet.workers import FleetWorker
from standins.fleet.world import SERVICE, WORKER_CAPACITY
from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.scheduler.tests.entries import (
    FAR_FUTURE_MS,
    ODD_ENTRY,
    write_entry,
)
from verbenapost.scheduler.tests.scenarios import (
    COMPLETED,
    check_rules,
    complete_jobs,
    read_wave_state,
    wait_for_leader,
)

#: A number that no float holds.
TOO_LARGE = 10**400

DEEP = b'[' * 100_000 + b']' * 100_000

ODD_VALUES = (
    b'',
    b'\xff\xfe\x00',
    b'null',
    b'[]',
    DEEP,
    json.dumps(ODD_ENTRY).encode()[:-1] + b',"sequence":' + DEEP + b'}',
    json.dumps(ODD_ENTRY).replace('"born": ', '"born": 1e999, "x": ').encode(),
    *(
        json.dumps(ODD_ENTRY | changed).encode()
        for changed in (
            {'born': TOO_LARGE},
            {'born': -1},
            {'born': 1.5},
            {'capacity': {'cpu': TOO_LARGE}},
            {'capacity': {'cpu': float('nan')}},
            {'capacity': None},
            {'address': '10.0.0.1:99999999'},
            {'address': '10.0.0.1:-1'},
            {'address': '.:1'},
            {'address': '\ud800:1'},
            {'address': 7},
            {'labels': ['\ud800']},
            {'labels': [['a']]},
            {'labels': 'a'},
            {'service': 'unknown'},
            {'service': ['routing']},
            {'state': 'odd'},
            {'state': {}},
            {'machine': {}},
            {'machine': '\ud800'},
            {'zone': None},
        )
    ),
)


def write_odd_entries(world, suffix):
    for number, value in enumerate(ODD_VALUES):
        world.store.write(f'{WORKER_PREFIX}{number}-{suffix}', value)


class TestOddEntries:
    """The workers beside an odd entry stay in use, and nothing ends."""

    def play_with_odd_entries(self, play, *, restart):
        async def scenario(world):
            write_odd_entries(world, 'a')
            leader = await wait_for_leader(world)
            write_odd_entries(world, 'b')
            if restart:
                await leader.stop()
                world.add_daemon(leader.name)
                await wait_for_leader(world)
                # A daemon that has just started answers 503 at first.
                await asyncio.sleep(1)
            return await complete_jobs(world, range(1, 7)), check_rules(world)

        with capture_logs() as logs:
            found = play(scenario, standby_vms=0)
        failed = [row for row in logs if row['event'] == 'task failed']
        assert failed == []
        assert found == (({200}, {COMPLETED}), [])
        return [row for row in logs if row['event'] == 'worker entry ignored']

    def test_jobs_complete_and_each_entry_is_logged_once(self, play):
        ignored = self.play_with_odd_entries(play, restart=False)
        assert len(ignored) == 2 * len(ODD_VALUES)
        assert len({row['worker'] for row in ignored}) == len(ignored)

    def test_successor_takes_over_beside_them(self, play):
        ignored = self.play_with_odd_entries(play, restart=True)
        assert len(ignored) >= 2 * len(ODD_VALUES)


class TestNumbers:
    """A number that no float holds ends no round."""

    def test_wave_completes_beside_a_start_time_too_large(self, play):
        async def scenario(world):
            write_entry(world, born=TOO_LARGE)
            await wait_for_leader(world)
            world.request_wave(4, ['vm-w0', 'vm-w1'], 20, 1)
            await asyncio.sleep(15)
            return read_wave_state(world, 4)

        assert play(scenario, standby_vms=0) == 'completed'

    def test_jobs_are_admitted_beside_a_capacity_too_large(self, play):
        async def scenario(world):
            write_entry(world, capacity={'cpu': TOO_LARGE})
            await wait_for_leader(world)
            await complete_jobs(world, range(1, 3), 0.1)
            return await complete_jobs(world, range(3, 5))

        assert play(scenario, standby_vms=0) == ({200}, {COMPLETED})


class TestAddress:
    """An address without a server delays no takeover."""

    def test_pool_pauses_no_longer_for_a_port_out_of_range(self, play):
        async def scenario(world):
            write_entry(world, address='10.0.0.1:65536')
            leader = await wait_for_leader(world)
            await leader.stop()
            successor = await wait_for_leader(world)
            await asyncio.sleep(3.5)
            pool_states = successor.core._leader._pool_states
            return pool_states.find('routing').recovering

        assert play(scenario) is False


class TestSharedVm:
    """An entry that names another worker's VM hides no worker."""

    def test_wave_completes_for_a_vm_that_another_entry_names(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            write_entry(world, machine='vm-w0', born=0)
            await asyncio.sleep(2)
            world.request_wave(4, ['vm-w0'], 20, 1)
            await asyncio.sleep(10)
            return read_wave_state(world, 4)

        assert play(scenario, standby_vms=0) == 'completed'

    def find_worker(self, play, *, listed_last):
        """Return the worker of a VM that an unreachable one names as well."""

        async def scenario(world):
            leader = await wait_for_leader(world)
            if not listed_last:
                write_entry(world, machine='vm-w9', born=FAR_FUTURE_MS)
                await asyncio.sleep(0.1)
            world.add_worker(FleetWorker(world, 'w9', SERVICE, WORKER_CAPACITY))
            await asyncio.sleep(0.1)
            if listed_last:
                write_entry(world, machine='vm-w9', born=FAR_FUTURE_MS)
            await asyncio.sleep(1)
            fleet = leader.core._leader._fleet
            assert {'w9', 'odd'} <= fleet.links.keys()
            return fleet.find_by_vm('vm-w9').name

        return play(scenario)

    def test_worker_that_answers_is_the_one_of_its_vm(self, play):
        found = {
            self.find_worker(play, listed_last=False),
            self.find_worker(play, listed_last=True),
        }
        assert found == {'w9'}
