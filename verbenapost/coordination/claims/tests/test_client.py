"""Tests of the claim client of an entry."""

import asyncio
import random

import pytest

from standins.virtualtime import run_virtual
from verbenapost.coordination.claims.client import ClaimClient
from verbenapost.coordination.claims.tests.helpers import (
    FINGERPRINT,
    WALL,
    Log,
    make_arbiter,
    make_key,
    send_attempt,
)
from verbenapost.protocol.claims import (
    ClaimGranted,
    ClaimKey,
    ClaimRefused,
    RecordOutcome,
)
from verbenapost.protocol.errors import ErrorKind, Outcome


class FakeTransport:
    """Records the messages of a client and names the owner of all keys."""

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
    def requests(self):
        return [
            sent_message
            for _, sent_message in self.sent
            if isinstance(sent_message, ClaimKey)
        ]

    @property
    def reports(self):
        return [
            sent_message
            for _, sent_message in self.sent
            if isinstance(sent_message, RecordOutcome)
        ]

    def start(self, wait=5):
        return asyncio.ensure_future(self.client.claim('k', b'f', wait))

    def grant(self):
        granted = ClaimGranted('k', self.requests[0].attempt)
        self.client.receive(granted)
        return granted

    def refuse(self, kind):
        attempt = self.requests[0].attempt
        refusal = ClaimRefused('k', attempt, kind, Outcome.NOT_RUN)
        self.client.receive(refusal)


def run_scenario(scenario):
    async def run(now):
        return await scenario(FakeTransport(now))

    return run_virtual(run)


class TestClaimClient:
    def test_a_grant_and_its_outcome(self):
        async def scenario(transport):
            task = transport.start()
            await asyncio.sleep(0.01)
            granted = transport.grant()
            assert (await task).ok() == granted
            transport.client.finish(granted, 200, body=b'x')
            transport.grant()
            return transport.reports

        reports = run_scenario(scenario)
        assert [report.released for report in reports] == [False]

    @pytest.mark.parametrize('cancelled', [False, True])
    def test_a_late_grant_is_released(self, cancelled):
        async def scenario(transport):
            task = transport.start()
            await asyncio.sleep(1 if cancelled else 6)
            task.cancel()
            await asyncio.wait([task])
            transport.grant()
            return transport.reports

        reports = run_scenario(scenario)
        assert [report.released for report in reports] == [True, True]

    def test_a_released_claim_is_never_used_again(self):
        async def scenario(transport):
            task = transport.start()
            await asyncio.sleep(0.01)
            transport.client.release(transport.grant())
            await task
            transport.grant()
            return transport.reports

        assert [report.released for report in run_scenario(scenario)] == [
            True,
            True,
        ]

    def test_a_new_owner_receives_the_same_attempt(self):
        async def scenario(transport):
            task = transport.start()
            await asyncio.sleep(0.01)
            transport.owner = 'b'
            await asyncio.sleep(0.2)
            transport.refuse(ErrorKind.NOT_READY)
            await asyncio.sleep(0.2)
            transport.grant()
            assert (await task).is_ok()
            return transport

        transport = run_scenario(scenario)
        assert [owner for owner, _ in transport.sent] == ['a', 'b', 'b']
        assert len({request.attempt for request in transport.requests}) == 1

    @pytest.mark.parametrize(
        ('kind', 'released'),
        [(ErrorKind.STORE_UNAVAILABLE, True), (ErrorKind.KEY_REUSED, False)],
    )
    def test_an_undecided_refusal_is_followed_by_a_release(
        self, kind, released
    ):
        async def scenario(transport):
            task = transport.start()
            await asyncio.sleep(0.01)
            transport.refuse(kind)
            return (await task).err().kind, bool(transport.reports)

        assert run_scenario(scenario) == (kind, released)

    def test_an_unanswered_message_is_sent_again(self):
        async def scenario(transport):
            task = transport.start()
            await asyncio.sleep(2.5)
            transport.grant()
            await task
            return transport.requests

        requests = run_scenario(scenario)
        assert len(requests) == 3
        assert len({request.attempt for request in requests}) == 1

    def test_a_key_without_an_owner(self):
        async def scenario(transport):
            transport.owner = None
            return (await transport.start(1)).err()

        failure = run_scenario(scenario)
        assert failure.kind is ErrorKind.DEADLINE_EXCEEDED
        assert failure.outcome is Outcome.UNKNOWN

    def test_the_owner_decides_before_the_entry_gives_up(self):
        async def scenario(now):
            transport = FakeTransport(now)
            arbiter = make_arbiter()
            key = make_key()
            send_attempt(arbiter, key, 1)
            Log().write(arbiter)
            task = asyncio.ensure_future(
                transport.client.claim(key, FINGERPRINT, 5)
            )
            await asyncio.sleep(0.01)
            arbiter.receive('entry', transport.requests[0], now(), WALL)
            while not task.done():
                await asyncio.sleep(0.1)
                for reply in arbiter.refuse_timed_out(now(), WALL):
                    transport.client.receive(reply.message)
            return task.result().err()

        failure = run_virtual(scenario)
        assert failure.kind is ErrorKind.ALREADY_CLAIMED
        assert failure.outcome is Outcome.UNKNOWN
