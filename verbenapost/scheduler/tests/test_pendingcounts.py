"""Counts of pending jobs while the leader can't read submissions."""

import asyncio

from result import Err

from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.scheduler.keys import SUBMITTED_PREFIX
from verbenapost.scheduler.tests.scenarios import wait_for_leader


def lose_reads(daemon):
    """Let a daemon's reads of submissions get no answer."""
    store = daemon.store

    def wrap(read):
        async def lose(prefix, *arguments):
            if prefix != SUBMITTED_PREFIX:
                return await read(prefix, *arguments)
            await asyncio.sleep(0.4)
            return Err(CallFault(CallFaultKind.UNKNOWN, 'timeout'))

        return lose

    store.watch = wrap(store.watch)
    store.read_range = wrap(store.read_range)


class TestLeaderWithoutSubmissions:
    """Jobs of the last seconds would be left out of the count."""

    def test_the_count_is_unknown(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            before = await world.call('GET')
            lose_reads(leader)
            await asyncio.sleep(6)
            after = [
                (await world.call('GET', daemon=name)).status
                for name in world.daemons
            ]
            return before.status, set(after)

        assert play(scenario) == (200, {503})
