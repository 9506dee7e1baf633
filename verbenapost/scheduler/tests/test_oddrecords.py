"""Records of other writers under our keys, in virtual time."""

import asyncio
import dataclasses

import msgpack
import pytest
from structlog.testing import capture_logs

from standins.fleet.world import SERVICE
from verbenapost.scheduler.keys import TERM_KEY, make_spec_key, make_wave_key
from verbenapost.scheduler.leadership import unpack_leadership, unpack_term
from verbenapost.scheduler.tests.scenarios import (
    COMPLETED,
    complete_jobs,
    read_wave_state,
    wait_for_leader,
)
from verbenapost.state.submissions import unpack_job
from verbenapost.state.workloads import JobSpec, StepSpec


class TestOwnRecords:
    """A record of another writer under our keys ends no task."""

    def test_wave_completes_past_an_undecodable_record_of_it(self, play):
        async def scenario(world):
            world.store.write(make_wave_key(4), b'[[')
            await wait_for_leader(world)
            world.request_wave(4, ['vm-w0'], 20, 1)
            await asyncio.sleep(10)
            return read_wave_state(world, 4)

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
