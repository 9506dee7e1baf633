"""Records of other writers beside those of the workers, in virtual time."""

import asyncio
import dataclasses
import json

import msgpack
import pytest
from structlog.testing import capture_logs

from standins.fleet.workers import FleetWorker
from standins.fleet.world import SERVICE, WORKER_CAPACITY
from verbenapost.daemon.timers import read_clock
from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.scheduler import fleet as fleet_module
from verbenapost.scheduler.controller import FleetController
from verbenapost.scheduler.follower import PrefixFollower
from verbenapost.scheduler.keys import (
    SUBMITTED_PREFIX,
    TERM_KEY,
    make_spec_key,
    make_wave_key,
)
from verbenapost.scheduler.leader import Leader
from verbenapost.scheduler.leadership import unpack_leadership, unpack_term
from verbenapost.scheduler.tests.scenarios import (
    COMPLETED,
    STEPS,
    check_rules,
    name_job,
    read_states,
    wait_for_leader,
)
from verbenapost.state.submissions import unpack_job
from verbenapost.state.workloads import JobSpec, StepSpec

#: A number that no float holds.
TOO_LARGE = 10**400

#: The year 3000 in Unix milliseconds.
FAR_FUTURE_MS = 32_503_680_000_000

VALID = {
    'service': 'routing',
    'address': '10.0.0.1:999',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'capacity': {'cpu': 8000, 'mem_mb': 8000, 'gpu': 0},
    'labels': ['a', 'r0'],
    'machine': 'vm-odd',
    'born': FAR_FUTURE_MS,
}

DEEP = b'[' * 100_000 + b']' * 100_000

ODD_VALUES = (
    b'',
    b'\xff\xfe\x00',
    b'null',
    b'[]',
    DEEP,
    json.dumps(VALID).encode()[:-1] + b',"sequence":' + DEEP + b'}',
    json.dumps(VALID).replace('"born": ', '"born": 1e999, "x": ').encode(),
    *(
        json.dumps(VALID | changed).encode()
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


def write_entry(world, name='odd', **changed):
    """Write an entry that no worker of the world has written."""
    value = json.dumps(VALID | changed).encode()
    world.store.write(f'{WORKER_PREFIX}{name}', value)


def write_odd_entries(world, suffix):
    for number, value in enumerate(ODD_VALUES):
        world.store.write(f'{WORKER_PREFIX}{number}-{suffix}', value)


async def complete_jobs(world, numbers, seconds=15):
    """Submit jobs and return the answers and the states after some seconds."""
    answers = [
        (await world.submit(name_job(number), STEPS, 'd1')).status
        for number in numbers
    ]
    await asyncio.sleep(seconds)
    leader = await wait_for_leader(world)
    states = await read_states(world, leader.name)
    return set(answers), set(states.values())


def read_wave(world, number):
    item = world.store.items.get(f'status/wave/{number}')
    return None if item is None else json.loads(item.value)['state']


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
            return read_wave(world, 4)

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
            return read_wave(world, 4)

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


class TestFailures:
    """A failure is logged, and neither a task nor the leadership is stuck."""

    def test_takeover_goes_on_past_a_change_that_fails(self, play, monkeypatch):
        decode = fleet_module.decode_worker

        def fail(worker, value):
            if worker == 'odd':
                raise OverflowError('injected')
            return decode(worker, value)

        monkeypatch.setattr(fleet_module, 'decode_worker', fail)

        async def scenario(world):
            write_entry(world)
            await wait_for_leader(world)
            write_entry(world)
            return await complete_jobs(world, range(1, 4))

        with capture_logs() as logs:
            assert play(scenario) == ({200}, {COMPLETED})
        failed = [row for row in logs if row['event'] == 'change not applied']
        assert {row['key'] for row in failed} == {f'{WORKER_PREFIX}odd'}
        assert all(row['exc_info'] for row in failed)

    def test_leader_that_fails_gives_up_the_leadership(self, play, monkeypatch):
        run_round = Leader._run_round
        failing = [True]

        def fail(leader):
            if failing:
                failing.clear()
                raise OverflowError('injected')
            run_round(leader)

        monkeypatch.setattr(Leader, '_run_round', fail)

        async def scenario(world):
            await asyncio.sleep(5)
            leader = await wait_for_leader(world)
            found = await complete_jobs(world, range(1, 4))
            return leader.ports.election.token, found

        with capture_logs() as logs:
            assert play(scenario) == (2, ({200}, {COMPLETED}))
        assert [row for row in logs if row['event'] == 'leader failed']

    def test_takeover_that_cannot_follow_is_given_up(self, play, monkeypatch):
        follow = PrefixFollower._list
        failing = [SUBMITTED_PREFIX, WORKER_PREFIX]

        async def fail(follower):
            if follower._prefix in failing:
                failing.remove(follower._prefix)
                raise OverflowError('injected')
            return await follow(follower)

        monkeypatch.setattr(PrefixFollower, '_list', fail)

        async def scenario(world):
            await asyncio.sleep(8)
            leader = await wait_for_leader(world)
            found = await complete_jobs(world, range(1, 4))
            return leader.ports.election.token, found

        with capture_logs() as logs:
            assert play(scenario) == (3, ({200}, {COMPLETED}))
        assert [row for row in logs if row['event'] == 'leader failed']

    def test_leader_whose_follower_ends_gives_up(self, play, monkeypatch):
        watch = PrefixFollower._watch
        failing = [WORKER_PREFIX]

        async def fail(follower):
            if follower._prefix in failing and read_clock() > 1005:
                failing.clear()
                raise OverflowError('injected')
            return await watch(follower)

        monkeypatch.setattr(PrefixFollower, '_watch', fail)

        async def scenario(world):
            first = await wait_for_leader(world)
            token = first.ports.election.token
            await asyncio.sleep(10)
            leader = await wait_for_leader(world)
            found = await complete_jobs(world, range(1, 4))
            return leader.ports.election.token - token, found

        assert play(scenario) == (1, ({200}, {COMPLETED}))


class TestOwnRecords:
    """A record of another writer under our keys ends no task."""

    def test_wave_completes_past_an_undecodable_record_of_it(self, play):
        async def scenario(world):
            world.store.write(make_wave_key(4), b'[[')
            await wait_for_leader(world)
            world.request_wave(4, ['vm-w0'], 20, 1)
            await asyncio.sleep(10)
            return read_wave(world, 4)

        assert play(scenario, standby_vms=0) == 'completed'

    def test_daemons_campaign_once_an_undecodable_term_is_gone(self, play):
        async def scenario(world):
            world.store.write(TERM_KEY, b'\x94\x01\x02\x03\x04')
            await asyncio.sleep(2)
            world.store.remove(TERM_KEY)
            leader = await wait_for_leader(world)
            return leader.ports.election.token

        assert play(scenario) == 1

    @pytest.mark.parametrize(
        'packed',
        [
            b'',
            b'\xc1',
            b'\x91' * 3000 + b'\x01',
            *map(
                msgpack.packb,
                (
                    7,
                    [],
                    'abcd',
                    [1, 'd0', 'first'],
                    ['1', 'd0', 'first', '10.0.0.9:1'],
                    [True, 'd0', 'first', '10.0.0.9:1'],
                    [1, 'd0', 'first', '10.0.0.9:65536'],
                    [1, 'd0', 'first', 'nowhere'],
                    [1, 'd0', 'first', '10.0.0.9:1', 5],
                    [1, ['d0'], 'first', '10.0.0.9:1'],
                    {1: 2, 3: 4, 5: 6, 7: 8},
                ),
            ),
        ],
    )
    def test_odd_leadership_and_term_are_value_errors(self, packed):
        with pytest.raises(ValueError):  # noqa: PT011
            unpack_leadership(packed)
        with pytest.raises(ValueError):  # noqa: PT011
            unpack_term(packed)


ODD_JOB = 'ff' * 8


def pack_odd_job(step=None, size=None, **changed):
    spec = JobSpec(ODD_JOB, 'plan', 'x', (StepSpec(2),), service=SERVICE)
    fields = dataclasses.asdict(spec) | changed
    fields['steps'][0].update(step or {})
    fields['steps'][0]['size'].update(size or {})
    return msgpack.packb(fields)


ODD_JOBS = {
    'empty': b'',
    'number': b'\x07',
    'route': pack_odd_job(route=7),
    'service': pack_odd_job(service=['routing']),
    'submitted_at': pack_odd_job(submitted_at='x'),
    'start_at': pack_odd_job(start_at='x', repetitions=2),
    'interval': pack_odd_job(interval=float('nan'), repetitions=2),
    'repetitions': pack_odd_job(repetitions=True),
    'count': pack_odd_job({'count': 'x'}),
    'cpu': pack_odd_job(size={'cpu': 'x'}),
    'memory': pack_odd_job(size={'memory': -1}),
    'after': pack_odd_job({'after': [9]}),
    'anti_affinity': pack_odd_job({'anti_affinity': 'x'}),
    'estimate': pack_odd_job({'estimate': float('inf')}),
    'gang': pack_odd_job({'gang': 1}),
    'unknown': pack_odd_job(other=1),
}


class TestOddJobs:
    """A stored job that no daemon wrote costs only itself."""

    @pytest.mark.parametrize('name', ODD_JOBS)
    def test_it_is_a_value_error(self, name):
        with pytest.raises(ValueError):  # noqa: PT011
            unpack_job(ODD_JOBS[name])

    def test_other_jobs_complete_under_the_same_leader(self, play):
        async def scenario(world):
            for number, packed in enumerate(ODD_JOBS.values()):
                world.store.write(make_spec_key(f'{number:x}' * 16), packed)
            leader = await wait_for_leader(world)
            found = await complete_jobs(world, range(1, 4))
            assert await wait_for_leader(world) is leader
            return found

        with capture_logs() as logs:
            assert play(scenario) == ({200}, {COMPLETED})
        ignored = [row for row in logs if row['event'] == 'job not readable']
        assert len(ignored) == len(ODD_JOBS)
        assert not [row for row in logs if row.get('exc_info')]


class TestController:
    """A round or a VM list that fails ends no later one."""

    @pytest.mark.parametrize('step', ['_run_moves', '_log_changes'])
    def test_wave_completes_after_a_failure(self, play, monkeypatch, step):
        run = getattr(FleetController, step)
        failing = [True]

        def fail(controller, *arguments):
            if failing:
                failing.clear()
                raise OverflowError('injected')
            return run(controller, *arguments)

        monkeypatch.setattr(FleetController, step, fail)

        async def scenario(world):
            await wait_for_leader(world)
            world.request_wave(4, ['vm-w0'], 20, 1)
            await asyncio.sleep(10)
            return read_wave(world, 4)

        with capture_logs() as logs:
            assert play(scenario, standby_vms=0) == 'completed'
        failed = [row for row in logs if row.get('exc_info')]
        assert len(failed) == 1
