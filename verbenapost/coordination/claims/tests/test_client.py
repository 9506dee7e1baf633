"""Tests of the entry's side of a claim."""

import asyncio
import random

import pytest

from standins.virtual import run_virtual
from verbenapost.coordination.claims.client import ClaimClient
from verbenapost.coordination.claims.tests.helpers import (
    PRINT,
    WALL,
    Log,
    ask,
    make_desk,
    make_key,
)
from verbenapost.protocol.claims import (
    ClaimGranted,
    ClaimKey,
    ClaimRefused,
    RecordOutcome,
)
from verbenapost.protocol.errors import ErrorKind, Outcome


class Wire:
    """What a client sent, and the owner that it finds."""

    def __init__(self, now):
        self.sent = []
        self.owner = 'a'
        self.client = ClaimClient(
            lambda owner, message: self.sent.append((owner, message)),
            lambda key: self.owner,
            now,
            random.Random(1),
        )

    @property
    def asked(self):
        return [one for _, one in self.sent if isinstance(one, ClaimKey)]

    @property
    def told(self):
        return [one for _, one in self.sent if isinstance(one, RecordOutcome)]

    def start(self, wait=5):
        return asyncio.ensure_future(self.client.claim('k', b'f', wait))

    def grant(self):
        granted = ClaimGranted('k', self.asked[0].attempt)
        self.client.receive(granted)
        return granted

    def refuse(self, kind):
        attempt = self.asked[0].attempt
        refusal = ClaimRefused('k', attempt, kind, Outcome.NOT_RUN)
        self.client.receive(refusal)


def play(scenario):
    async def run(now):
        return await scenario(Wire(now))

    return run_virtual(run)


class TestClaimClient:
    def test_a_grant_and_its_outcome(self):
        async def scenario(wire):
            task = wire.start()
            await asyncio.sleep(0.01)
            granted = wire.grant()
            assert (await task).ok() == granted
            wire.client.finish(granted, 200, body=b'x')
            wire.grant()
            return wire.told

        told = play(scenario)
        assert [one.released for one in told] == [False]

    @pytest.mark.parametrize('cancelled', [False, True])
    def test_a_late_grant_is_released(self, cancelled):
        async def scenario(wire):
            task = wire.start()
            await asyncio.sleep(1 if cancelled else 6)
            task.cancel()
            await asyncio.wait([task])
            wire.grant()
            return wire.told

        told = play(scenario)
        assert [one.released for one in told] == [True, True]

    def test_a_released_claim_is_never_used_again(self):
        async def scenario(wire):
            task = wire.start()
            await asyncio.sleep(0.01)
            wire.client.release(wire.grant())
            await task
            wire.grant()
            return wire.told

        assert [one.released for one in play(scenario)] == [True, True]

    def test_another_owner_is_asked_for_the_same_attempt(self):
        async def scenario(wire):
            task = wire.start()
            await asyncio.sleep(0.01)
            wire.owner = 'b'
            await asyncio.sleep(0.2)
            wire.refuse(ErrorKind.NOT_READY)
            await asyncio.sleep(0.2)
            wire.grant()
            assert (await task).is_ok()
            return wire

        wire = play(scenario)
        assert [owner for owner, _ in wire.sent] == ['a', 'b', 'b']
        assert len({one.attempt for one in wire.asked}) == 1

    @pytest.mark.parametrize(
        ('kind', 'released'),
        [(ErrorKind.STORE_UNAVAILABLE, True), (ErrorKind.KEY_REUSED, False)],
    )
    def test_an_undecided_refusal_is_followed_by_a_release(
        self, kind, released
    ):
        async def scenario(wire):
            task = wire.start()
            await asyncio.sleep(0.01)
            wire.refuse(kind)
            return (await task).err().kind, bool(wire.told)

        assert play(scenario) == (kind, released)

    def test_a_lost_question_is_asked_again(self):
        async def scenario(wire):
            task = wire.start()
            await asyncio.sleep(2.5)
            wire.grant()
            await task
            return wire.asked

        asked = play(scenario)
        assert len(asked) == 3
        assert len({one.attempt for one in asked}) == 1

    def test_nobody_owns_the_key(self):
        async def scenario(wire):
            wire.owner = None
            return (await wire.start(1)).err()

        failure = play(scenario)
        assert failure.kind is ErrorKind.DEADLINE_EXCEEDED
        assert failure.outcome is Outcome.UNKNOWN

    def test_the_owner_decides_before_the_entry_gives_up(self):
        async def scenario(now):
            wire = Wire(now)
            desk = make_desk()
            key = make_key()
            ask(desk, key, 1)
            Log().write(desk)
            task = asyncio.ensure_future(wire.client.claim(key, PRINT, 5))
            await asyncio.sleep(0.01)
            desk.receive('entry', wire.asked[0], now(), WALL)
            while not task.done():
                await asyncio.sleep(0.1)
                for reply in desk.refuse_late(now(), WALL):
                    wire.client.receive(reply.message)
            return task.result().err()

        failure = run_virtual(scenario)
        assert failure.kind is ErrorKind.ALREADY_CLAIMED
        assert failure.outcome is Outcome.UNKNOWN
