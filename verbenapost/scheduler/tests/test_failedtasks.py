"""Tasks of a daemon that fail: their work goes on."""

import asyncio

import pytest
from structlog.testing import capture_logs

from verbenapost.scheduler.cleanup import Cleanup
from verbenapost.scheduler.controller import FleetController
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
