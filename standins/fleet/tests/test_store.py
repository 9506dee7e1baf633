"""Tests of the simulated store in virtual time."""

import asyncio

from standins.fleet.store import FleetStore, FleetStoreCore
from standins.virtualtime import run_virtual
from verbenapost.coordination.scheduling.outages import StoreOutageDetector
from verbenapost.scheduler.storecalls import StoreCallObserver

#: More waits than watches that end at the same time need.
MANY = 100


class CountingCore(FleetStoreCore):
    """Counts the waits for a change."""

    def __init__(self, now):
        super().__init__(now, seed=0)
        self.waits = 0

    async def wait_change(self, seconds):
        self.waits += 1
        if self.waits > MANY:
            raise AssertionError('the watches do not end')
        await super().wait_change(seconds)


async def accept(_kind):
    """Accept a call at once."""


class TestWatches:
    def test_those_that_end_at_almost_one_time_end(self):
        """Guards against random histories that went on without end."""

        async def begin(store, turns):
            """Begin a watch some turns of the event loop later."""
            for _ in range(turns):
                await asyncio.sleep(0)
            return await store.watch('p/', 0, 5e-10)

        async def scenario(now):
            core = CountingCore(now)
            store = FleetStore(core, StoreCallObserver(StoreOutageDetector()))
            store._call = accept
            answers = await asyncio.gather(
                *(begin(store, turns) for turns in range(6))
            )
            return {len(answer.ok_value.changes) for answer in answers}

        assert run_virtual(scenario) == {0}
