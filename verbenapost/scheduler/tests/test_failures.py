"""A failure that nothing expects ends neither a task nor later rounds."""

import asyncio

import pytest
from structlog.testing import capture_logs

from verbenapost.daemon.timers import read_clock
from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.scheduler import fleet as fleet_module
from verbenapost.scheduler.controller import FleetController
from verbenapost.scheduler.follower import PrefixFollower
from verbenapost.scheduler.keys import SUBMITTED_PREFIX
from verbenapost.scheduler.leader import Leader
from verbenapost.scheduler.tests.entries import write_entry
from verbenapost.scheduler.tests.scenarios import (
    COMPLETED,
    complete_jobs,
    read_wave_state,
    wait_for_leader,
)


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
            return read_wave_state(world, 4)

        with capture_logs() as logs:
            assert play(scenario, standby_vms=0) == 'completed'
        failed = [row for row in logs if row.get('exc_info')]
        assert len(failed) == 1
