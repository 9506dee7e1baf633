"""Jobs of a queue that no configuration has any more."""

import asyncio

import pytest

from standins.fleet.workers import RunEnded
from standins.fleet.world import SERVICE
from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.daemon.logs import make_logger
from verbenapost.protocol.orders import KeyChange, RunEndKind
from verbenapost.scheduler.configuration import ConfigurationFollower
from verbenapost.scheduler.intake import FALLBACK_MAX_ATTEMPTS, JobIntake
from verbenapost.scheduler.keys import make_spec_key
from verbenapost.scheduler.poolstates import PoolStateSet
from verbenapost.scheduler.recorder import strip_spec
from verbenapost.scheduler.tests.scenarios import FAILED, wait_for_leader
from verbenapost.state.submissions import pack_job, unpack_job
from verbenapost.state.workloads import AdviceTerms, JobSpec, Route, StepSpec

FAILING = 'bad0000000000001'
STEP = [{'count': 1, 'cpu': 1000, 'mem_mb': 100}]
MAX_ATTEMPTS = 4
TERMS = AdviceTerms(decide=0.25, per_worker=0.01, valid=3)


def count_failures(world):
    return sum(
        isinstance(event, RunEnded) and event.kind is RunEndKind.FAILED
        for event in world.history
    )


class TestRemovedQueue:
    def test_a_job_keeps_its_attempts_after_all_daemons_restart(self, play):
        """A job was shown as failed after its first failed run (review/5)."""

        async def scenario(world):
            world.configure(version=2, max_attempts=MAX_ATTEMPTS)
            await wait_for_leader(world)
            await asyncio.sleep(1)
            answer = await world.submit(FAILING, STEP)
            world.configure(version=3, removed=True)
            for name in list(world.daemons):
                await world.daemons[name].kill()
            for name in list(world.daemons):
                world.add_daemon(name)
            await wait_for_leader(world)
            await asyncio.sleep(20)
            world.configure(version=4, max_attempts=MAX_ATTEMPTS)
            await asyncio.sleep(2)
            state = await world.call('GET', FAILING)
            return answer.status, state.body.decode(), count_failures(world)

        assert play(scenario) == (200, FAILED, MAX_ATTEMPTS)


class TestTerms:
    """A leader knows the terms of a queue that it has never seen."""

    def load(self, spec):
        pool_states = PoolStateSet(token=2)
        jobs = JobIntake(
            pool_states,
            ConfigurationFollower(make_logger('configuration')),
            lambda pool_state, commands: None,
            make_logger('jobs'),
        )
        jobs.apply_change(KeyChange(make_spec_key(spec.job), pack_job(spec), 1))
        return pool_states.find(SERVICE).routes[spec.job]

    def make_spec(self, terms):
        return JobSpec(
            '5c0e7a21d94b36f8',
            'plan',
            'x',
            (StepSpec(2),),
            SERVICE,
            terms=terms,
        )

    @pytest.mark.parametrize('advice', [None, TERMS])
    def test_of_the_job_record(self, advice):
        route = Route(
            'plan', 'host', '/plan/', SERVICE, max_attempts=4, advice=advice
        )
        assert self.load(self.make_spec(route)) == route

    def test_of_a_record_without_them(self):
        assert self.load(self.make_spec(None)).max_attempts == (
            FALLBACK_MAX_ATTEMPTS
        )

    def test_of_a_record_of_another_type_are_refused(self):
        route = Route('plan', 'host', '/plan/', SERVICE, max_attempts='4')
        with pytest.raises(ValueError, match='max_attempts'):
            unpack_job(pack_job(self.make_spec(route)))

    def test_an_ended_job_needs_none(self):
        route = Route('plan', 'host', '/plan/', SERVICE)
        assert strip_spec(Job(self.make_spec(route), 0)).terms is None
