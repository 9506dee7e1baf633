"""Cancels that reach the store late, in virtual time."""

import asyncio

from result import Err

from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.scheduler.keys import make_cancel_key, make_spec_key
from verbenapost.scheduler.tests.scenarios import (
    COMPLETED,
    STEPS,
    name_job,
    wait_for_leader,
)

JOB = name_job(1)
OK = 200
GONE = 410


def is_cancel(transaction):
    return make_cancel_key(JOB) in {row.key for row in transaction.writes}


def hold_cancels(world, daemon):
    """Let a daemon's cancels get no answer; return their transactions."""
    store = world.daemons[daemon].store
    commit = store.commit
    held = []

    async def hold(transaction):
        if not is_cancel(transaction):
            return await commit(transaction)
        held.append(transaction)
        return Err(CallFault(CallFaultKind.UNKNOWN, 'timeout'))

    store.commit = hold
    return held


async def wait_until_removed(world):
    while make_spec_key(JOB) in world.store.items:
        await asyncio.sleep(0.5)


class TestLateCancel:
    """A cancel was carried out late, when the job had ended."""

    def test_a_job_submitted_again_is_not_cancelled(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            held = hold_cancels(world, 'd0')
            await world.submit(JOB, STEPS)
            await world.call('DELETE', JOB, daemon='d0')
            await wait_until_removed(world)
            await world.submit(JOB, STEPS)
            world.store.apply(held[0])
            await asyncio.sleep(20)
            state = await world.call('GET', JOB)
            return state.body.decode()

        assert play(scenario) == COMPLETED

    def test_none_is_stored_for_a_job_that_is_being_removed(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            await world.submit(JOB, STEPS)
            store = world.daemons['d0'].store
            commit = store.commit

            async def commit_after_removal(transaction):
                if is_cancel(transaction):
                    await wait_until_removed(world)
                return await commit(transaction)

            store.commit = commit_after_removal
            answer = await world.call('DELETE', JOB, daemon='d0')
            return answer.status, make_cancel_key(JOB) in world.store.items

        assert play(scenario) == (GONE, False)


class TestEndedJob:
    def test_a_cancel_as_it_ends_is_confirmed_without_effect(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            await world.submit(JOB, STEPS)
            store = world.daemons['d0'].store
            commit = store.commit

            async def commit_after_end(transaction):
                if is_cancel(transaction):
                    await asyncio.sleep(20)
                return await commit(transaction)

            store.commit = commit_after_end
            answer = await world.call('DELETE', JOB, daemon='d0')
            state = await world.call('GET', JOB)
            return answer.status, state.body.decode()

        assert play(scenario) == (OK, COMPLETED)
