"""Removal of ended jobs after their retention time."""

import asyncio

from result import Err

from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.scheduler.cleanup import EXTRA_RETENTION_SECONDS
from verbenapost.scheduler.tests.scenarios import (
    COMPLETED,
    STEPS,
    name_job,
    wait_for_leader,
)

STATUS_SECONDS = 120

#: More jobs than one transaction removes.
MANY = 15

OK = 200
GONE = 410


class SilentLeader:
    async def ask(self, _message):
        return Err('silent')


class TestStateFromTheStore:
    def test_a_job_that_is_being_removed_is_not_shown_as_queued(self, play):
        """Its progress was read after the removal, and taken for not begun."""

        async def scenario(world):
            await wait_for_leader(world)
            await world.submit(name_job(1), STEPS)
            await asyncio.sleep(20)
            daemon = world.daemons['d0']
            daemon.entry._leader = SilentLeader()
            read_key = daemon.store.read_key

            async def remove_after_first(key):
                found = await read_key(key)
                for other in list(world.store.items):
                    if name_job(1) in other:
                        world.store.remove(other)
                return found

            daemon.store.read_key = remove_after_first
            answer = await world.call('GET', name_job(1))
            return answer.body.decode()

        assert play(scenario) == COMPLETED


class TestCleanup:
    def test_keys_of_ended_jobs_are_removed(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            await world.submit(name_job(1), STEPS)
            await world.submit('1a57000000000000', STEPS)
            await asyncio.sleep(STATUS_SECONDS)
            kept = await world.call('GET', name_job(1))
            await asyncio.sleep(EXTRA_RETENTION_SECONDS + 15)
            gone = await world.call('GET', name_job(1))
            long_running = await world.call('GET', '1a57000000000000')
            left = [key for key in world.store.items if name_job(1) in key]
            return kept.status, gone.status, long_running.status, left

        assert play(scenario) == (200, 410, 200, [])

    def test_a_late_removal_does_not_remove_a_job_submitted_again(self, play):
        """An accepted job was unknown to the next leader."""

        async def scenario(world):
            leader = await wait_for_leader(world)
            commit = leader.store.commit
            late = []

            async def delay_first(transaction):
                if not transaction.removed or late:
                    return await commit(transaction)
                late.append(transaction)
                return Err(CallFault(CallFaultKind.UNKNOWN, 'timeout'))

            leader.store.commit = delay_first
            await world.submit(name_job(1), STEPS)
            while not late:
                await asyncio.sleep(1)
            while (await world.call('GET', name_job(1))).status != GONE:
                await asyncio.sleep(0.1)
            await world.submit(name_job(1), STEPS)
            await commit(late[0])
            await leader.kill()
            successor = await wait_for_leader(world)
            again = await world.call('GET', name_job(1), daemon=successor.name)
            return again.status

        assert play(scenario) == OK

    def test_a_removal_whose_answer_is_lost_is_found_done(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            commit = leader.store.commit
            lost = []

            async def lose_first(transaction):
                answer = await commit(transaction)
                if not transaction.removed or lost:
                    return answer
                lost.append(transaction)
                return Err(CallFault(CallFaultKind.UNKNOWN, 'timeout'))

            leader.store.commit = lose_first
            for number in range(MANY):
                await world.submit(name_job(number), STEPS)
            while not lost:
                await asyncio.sleep(1)
            await asyncio.sleep(60)
            jobs = leader.core._leader.jobs
            return len(jobs), [key for key in world.store.items if 'in/' in key]

        assert play(scenario) == (0, [])
