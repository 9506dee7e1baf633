"""Tasks of a daemon that fail: their work goes on."""

import asyncio

import pytest
from structlog.testing import capture_logs

from verbenapost.platform.names import OPERATOR_PREFIX
from verbenapost.scheduler import core as core_module
from verbenapost.scheduler.cleanup import Cleanup
from verbenapost.scheduler.controller import FleetController
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.follower import PrefixFollower
from verbenapost.scheduler.keys import LEADER_KEY
from verbenapost.scheduler.leader import Leader
from verbenapost.scheduler.link import WorkerLink
from verbenapost.scheduler.runorders import RunOrders
from verbenapost.scheduler.tests.scenarios import (
    COMPLETED,
    STEPS,
    name_job,
    read_states,
    wait_for_leader,
)

#: Coroutines that a leader runs all the time, or for an order.
LEADER_WORK = (
    (Cleanup, 'run'),
    (FleetController, '_wait_for_predecessor'),
    (WorkerLink, 'renew_leases'),
    (RunOrders, 'start'),
)


def fail_once(monkeypatch, owner, name):
    """Let a coroutine function raise at its first call."""
    function = getattr(owner, name)
    failing = [True]

    async def fail(*arguments):
        if failing:
            failing.clear()
            raise OverflowError('injected')
        return await function(*arguments)

    monkeypatch.setattr(owner, name, fail)


async def complete_jobs(world):
    """Submit jobs, and return their states after some time."""
    for number in range(3):
        await world.submit(name_job(number), STEPS)
    await asyncio.sleep(15)
    return set((await read_states(world)).values())


class TestTasksOfTheLeader:
    @pytest.mark.parametrize(('owner', 'name'), LEADER_WORK)
    def test_a_leader_whose_task_fails_gives_up(
        self, play, monkeypatch, owner, name
    ):
        """Nobody did the task's work while the lease was renewed (review/4)."""
        fail_once(monkeypatch, owner, name)

        async def scenario(world):
            await wait_for_leader(world)
            states = await complete_jobs(world)
            leader = await wait_for_leader(world)
            return leader.ports.election.token, states

        with capture_logs() as logs:
            assert play(scenario, standby_vms=1) == (2, {COMPLETED})
        assert [row for row in logs if row['event'] == 'task failed']

    def test_a_leader_that_cannot_be_made_gives_up(self, play, monkeypatch):
        failing = [True]

        def make(ports):
            if failing:
                failing.clear()
                raise OverflowError('injected')
            return Leader(ports)

        monkeypatch.setattr(core_module, 'Leader', make)

        async def scenario(world):
            await asyncio.sleep(3)
            leader = await wait_for_leader(world)
            return leader.ports.election.token, await complete_jobs(world)

        assert play(scenario) == (2, {COMPLETED})


class TestTasksOfADaemon:
    """A failure of what each daemon does all the time leaves nothing out."""

    @pytest.mark.parametrize('prefix', [OPERATOR_PREFIX, LEADER_KEY])
    def test_a_failed_follower_goes_on(self, play, monkeypatch, prefix):
        watch = PrefixFollower._watch
        failing = {'d0', 'd1', 'd2'}
        since = []

        async def fail(follower):
            if follower._prefix == prefix and failing and since:
                failing.pop()
                raise OverflowError('injected')
            return await watch(follower)

        monkeypatch.setattr(PrefixFollower, '_watch', fail)

        async def scenario(world):
            first = await wait_for_leader(world)
            since.append(world.now())
            await asyncio.sleep(3)
            world.configure(version=2)
            await first.kill()
            await asyncio.sleep(5)
            await wait_for_leader(world)
            return {
                daemon.ports.configuration.current.version
                for daemon in world.daemons.values()
                if daemon.alive
            }

        assert play(scenario) == {2}

    @pytest.mark.parametrize('name', ['_renew', '_write_claim'])
    def test_a_failed_campaign_goes_on(self, play, monkeypatch, name):
        fail_once(monkeypatch, Election, name)

        async def scenario(world):
            await wait_for_leader(world)
            states = await complete_jobs(world)
            leader = await wait_for_leader(world)
            await leader.kill()
            await wait_for_leader(world)
            return states

        assert play(scenario, daemons=2) == {COMPLETED}
