"""Tests of the loop of a claim owner."""

import asyncio
import random

from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
from standins.virtualtime import run_virtual
from verbenapost.coordination.claims.owner import (
    ClaimOwner,
    ClaimPorts,
    ClaimSettings,
)
from verbenapost.coordination.claims.tests.helpers import (
    FINGERPRINT,
    WALL,
    make_key,
)
from verbenapost.protocol.claims import ClaimGranted, ClaimKey
from verbenapost.protocol.errors import ErrorKind, Outcome


class OwnerHarness:
    """One owner, its store and the answers of the owner."""

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

    def send_claim(self, tail, wait=5):
        key = make_key(tail)
        self.owner.receive('entry', ClaimKey(key, tail, FINGERPRINT, wait))

    async def wait(self, seconds):
        for _ in range(round(seconds * 10)):
            self.owner.tick(self.now())
            await asyncio.sleep(0.1)

    @property
    def kinds(self):
        return [getattr(reply, 'kind', 'granted') for reply in self.answers]


def run_scenario(scenario):
    async def run(now):
        return await scenario(OwnerHarness(now))

    return run_virtual(run)


class TestClaimOwner:
    def test_a_high_claim_rate_makes_writes_larger_not_more_frequent(self):
        async def scenario(harness):
            harness.store.faults.latency = 0.003
            for tail in range(3000):
                harness.send_claim(tail)
                await asyncio.sleep(0.001)
            await harness.wait(1)
            return harness

        harness = run_scenario(scenario)
        assert len(harness.answers) == 3000
        assert all(isinstance(reply, ClaimGranted) for reply in harness.answers)
        assert harness.store.calls['swap'] <= 32

    def test_a_store_outage_is_reported_and_the_owner_recovers(self):
        async def scenario(harness):
            await harness.wait(1)
            harness.store.faults.refuse = 1
            harness.send_claim(1)
            await harness.wait(60)
            harness.store.faults.refuse = 0
            harness.send_claim(2)
            await harness.wait(3)
            return harness

        harness = run_scenario(scenario)
        assert harness.kinds == [ErrorKind.STORE_UNAVAILABLE, 'granted']
        assert harness.answers[0].outcome == Outcome.NOT_RUN
        assert harness.store.calls['swap'] < 100

    def test_an_outage_before_the_ring_was_read(self):
        async def scenario(harness):
            harness.store.faults.refuse = 1
            harness.send_claim(1)
            await harness.wait(10)
            harness.owner.close()
            harness.send_claim(2)
            harness.owner.close()
            return harness

        kinds = run_scenario(scenario).kinds
        assert kinds == [ErrorKind.STORE_UNAVAILABLE, ErrorKind.NOT_READY]

    def test_an_answer_lost_after_the_write_is_resolved(self):
        async def scenario(harness):
            await harness.wait(1)
            harness.store.faults.lose_answer = 1
            harness.send_claim(1)
            await harness.wait(2)
            harness.store.faults.lose_answer = 0
            await harness.wait(3)
            return harness

        harness = run_scenario(scenario)
        assert harness.kinds == ['granted']
        assert harness.core.revision == 1

    def test_an_undecodable_slot_does_not_end_the_loop(self):
        async def scenario(harness):
            await harness.wait(1)
            harness.core.swap('claims/0/0/1', 0, b'odd', now=0)
            harness.send_claim(1, wait=2)
            await harness.wait(4)
            return harness.task.done(), harness.kinds

        done, kinds = run_scenario(scenario)
        assert not done
        assert kinds == [ErrorKind.STORE_UNAVAILABLE]
