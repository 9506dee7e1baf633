"""Tests of the claim owner's loop."""

import asyncio
import random

from standins.core import StoreCore
from standins.memory import MemoryStore
from standins.virtual import run_virtual
from verbenapost.coordination.claims.owner import (
    ClaimOwner,
    ClaimPorts,
    ClaimSettings,
)
from verbenapost.coordination.claims.tests.helpers import PRINT, WALL, make_key
from verbenapost.protocol.claims import ClaimGranted, ClaimKey
from verbenapost.protocol.errors import ErrorKind, Outcome


class Bench:
    """One owner, its store and the answers that it sent."""

    def __init__(self, now):
        self.now = now
        self.core = StoreCore()
        self.store = MemoryStore(self.core, now)
        self.answers = []
        self.owner = ClaimOwner(
            ClaimPorts(
                self.store,
                now,
                lambda: WALL + now(),
                lambda _, answer: self.answers.append(answer),
                random.Random(1),
            ),
            'w',
            ClaimSettings(slots=600, write_rate=10),
        )
        self.task = asyncio.ensure_future(self.owner.run())

    def ask(self, tail, wait=5):
        key = make_key(tail)
        self.owner.receive('entry', ClaimKey(key, tail, PRINT, wait))

    async def wait(self, seconds):
        for _ in range(round(seconds * 10)):
            self.owner.tick(self.now())
            await asyncio.sleep(0.1)

    @property
    def kinds(self):
        return [getattr(one, 'kind', 'granted') for one in self.answers]


def play(scenario):
    async def run(now):
        return await scenario(Bench(now))

    return run_virtual(run)


class TestClaimOwner:
    def test_a_flood_makes_writes_larger_and_not_more_frequent(self):
        async def scenario(bench):
            bench.store.faults.latency = 0.003
            for tail in range(3000):
                bench.ask(tail)
                await asyncio.sleep(0.001)
            await bench.wait(1)
            return bench

        bench = play(scenario)
        assert len(bench.answers) == 3000
        assert all(isinstance(one, ClaimGranted) for one in bench.answers)
        assert bench.store.calls['swap'] <= 32

    def test_a_store_outage_refuses_truthfully_and_ends_by_itself(self):
        async def scenario(bench):
            await bench.wait(1)
            bench.store.faults.refuse = 1
            bench.ask(1)
            await bench.wait(60)
            bench.store.faults.refuse = 0
            bench.ask(2)
            await bench.wait(3)
            return bench

        bench = play(scenario)
        assert bench.kinds == [ErrorKind.STORE_UNAVAILABLE, 'granted']
        assert bench.answers[0].outcome == Outcome.NOT_RUN
        assert bench.store.calls['swap'] < 100

    def test_an_outage_before_the_ring_was_read(self):
        async def scenario(bench):
            bench.store.faults.refuse = 1
            bench.ask(1)
            await bench.wait(10)
            bench.owner.close()
            bench.ask(2)
            bench.owner.close()
            return bench

        kinds = play(scenario).kinds
        assert kinds == [ErrorKind.STORE_UNAVAILABLE, ErrorKind.NOT_READY]

    def test_an_answer_lost_after_the_write_is_settled(self):
        async def scenario(bench):
            await bench.wait(1)
            bench.store.faults.lose_answer = 1
            bench.ask(1)
            await bench.wait(2)
            bench.store.faults.lose_answer = 0
            await bench.wait(3)
            return bench

        bench = play(scenario)
        assert bench.kinds == ['granted']
        assert bench.core.revision == 1

    def test_an_odd_slot_does_not_end_the_loop(self):
        async def scenario(bench):
            await bench.wait(1)
            bench.core.swap('claims/0/0/1', 0, b'odd', now=0)
            bench.ask(1, wait=2)
            await bench.wait(4)
            return bench.task.done(), bench.kinds

        done, kinds = play(scenario)
        assert not done
        assert kinds == [ErrorKind.STORE_UNAVAILABLE]
