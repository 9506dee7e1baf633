"""Long-running tasks whose runs end by themselves, in virtual time."""

import asyncio

import pytest

from standins.fleet.workers import RunStarted
from verbenapost.protocol.orders import RunEndKind
from verbenapost.scheduler.tests.scenarios import (
    check_rules,
    name_long_running,
    wait_for_leader,
)

JOB = name_long_running(1)
STEPS = [{'count': 3, 'cpu': 1000, 'mem_mb': 100, 'long_running': True}]
RUN_SECONDS = 1.5
RUNNING = '{"state":"running"}'
CANCELLED = '{"state":"cancelled"}'


def count_starts(world, since=0.0):
    return sum(
        isinstance(event, RunStarted) and event.at >= since
        for event in world.history
    )


def draw_done(_worker, _task):
    """Return the duration of a run, which then is done."""
    return RUN_SECONDS, RunEndKind.DONE


async def begin(world):
    """Submit the job, all runs of which end as done."""
    world.draw_run = draw_done
    await wait_for_leader(world)
    await world.submit(JOB, STEPS)


class TestRunsThatAreDone:
    """Each run of a long-running job ends as done after some time."""

    @pytest.mark.parametrize('seed', range(5))
    def test_they_start_again_under_this_leader_and_the_next(self, play, seed):
        async def scenario(world):
            await begin(world)
            await asyncio.sleep(10 + seed / 5)
            before = count_starts(world)
            await world.find_leader().kill()
            leader = await wait_for_leader(world)
            await asyncio.sleep(10)
            since = world.now()
            await asyncio.sleep(10)
            answer = await world.call('GET', JOB, daemon=leader.name)
            return before, count_starts(world, since), answer, world

        before, after, answer, world = play(scenario, seed=seed)
        assert before >= 9
        assert after >= 9
        assert answer.body.decode() == RUNNING
        assert check_rules(world) == []

    def test_a_cancel_ends_them(self, play):
        async def scenario(world):
            await begin(world)
            await asyncio.sleep(5)
            await world.call('DELETE', JOB)
            await asyncio.sleep(3)
            since = world.now()
            await asyncio.sleep(10)
            answer = await world.call('GET', JOB)
            return answer.body.decode(), count_starts(world, since)

        assert play(scenario) == (CANCELLED, 0)
