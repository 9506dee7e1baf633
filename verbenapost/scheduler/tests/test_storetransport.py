"""Ways to the store while it turns this daemon away.

The load: the store refuses, resets or ignores the calls of some VMs for
seconds, and serves the others; the leader is among the former.
"""

import asyncio

import pytest
from result import Err, Ok

from verbenapost.coordination.scheduling.outages import StoreOutageDetector
from verbenapost.daemon.logs import make_logger
from verbenapost.platform.http import EncodedAnswer, EncodedCall, HttpClient
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.scheduler.messages import RelayAnswer
from verbenapost.scheduler.storecalls import StoreCallObserver
from verbenapost.scheduler.storetransport import StoreTransport

ADDRESS = '10.0.0.8:1'
CALL = EncodedCall('POST', ADDRESS, '/call', b'{}', {}, 0.5)
GRANTED = EncodedAnswer(200, b'{}')
LOST = Err(CallFault(CallFaultKind.UNKNOWN, 'connection reset'))


class Direct:
    """Transport of the daemon itself, with a fixed answer."""

    def __init__(self, answer, seconds=0):
        self.answer = answer
        self.seconds = seconds
        self.calls = []

    async def send(self, call):
        self.calls.append(call)
        await asyncio.sleep(self.seconds)
        return self.answer


class Relay:
    """Channel of another daemon, which may reach the store."""

    def __init__(self, status=200):
        self.status = status
        self.calls = []

    async def ask(self, call, _timeout):
        self.calls.append(call)
        await asyncio.sleep(0)
        return Ok(RelayAnswer(self.status, b'{}'))


def make_transport(direct, *relays):
    channels = {f'd{number}': row for number, row in enumerate(relays)}
    return StoreTransport(
        direct, ADDRESS, lambda: channels, make_logger('store')
    )


async def send_calls(transport, number):
    return [await transport.send(CALL) for _ in range(number)]


class TestDetour:
    @pytest.mark.parametrize(
        'refusal',
        [Ok(EncodedAnswer(429, b'{}')), Ok(EncodedAnswer(503, b'{}')), LOST],
    )
    async def test_calls_go_through_another_daemon(self, refusal):
        relay = Relay()
        transport = make_transport(Direct(refusal), relay)
        answers = await send_calls(transport, 4)
        await transport.close()
        assert answers == [refusal, refusal, Ok(GRANTED), Ok(GRANTED)]
        assert relay.calls.count(CALL) == 2

    async def test_one_silent_call_is_enough(self):
        transport = make_transport(Direct(LOST, seconds=0.45), Relay())
        answers = await send_calls(transport, 2)
        await transport.close()
        assert answers == [LOST, Ok(GRANTED)]

    async def test_a_daemon_that_is_turned_away_too_is_not_used(self):
        refused, served = Relay(503), Relay()
        transport = make_transport(Direct(LOST), refused, served)
        await send_calls(transport, 5)
        await transport.close()
        assert CALL not in refused.calls
        assert served.calls.count(CALL) == 3

    async def test_the_direct_way_is_taken_again(self):
        direct, relay = Direct(LOST), Relay()
        transport = make_transport(direct, relay)
        await send_calls(transport, 3)
        direct.answer = Ok(GRANTED)
        await asyncio.sleep(0.6)
        before = len(relay.calls)
        assert await send_calls(transport, 3) == [Ok(GRANTED)] * 3
        await transport.close()
        assert len(relay.calls) == before


class TestNoDetour:
    async def test_a_single_refusal_changes_nothing(self):
        direct, relay = Direct(LOST), Relay()
        transport = make_transport(direct, relay)
        for _ in range(5):
            direct.answer = LOST
            await send_calls(transport, 1)
            direct.answer = Ok(GRANTED)
            await send_calls(transport, 1)
        await transport.close()
        assert not relay.calls

    async def test_an_unanswered_call_is_not_repeated(self):
        direct, relay = Direct(LOST), Relay()
        transport = make_transport(direct, relay)
        await send_calls(transport, 2)
        await transport.close()
        assert CALL not in relay.calls
        assert direct.calls.count(CALL) == 2

    async def test_a_store_that_is_away_is_asked_directly(self):
        direct, relay = Direct(LOST), Relay(503)
        transport = make_transport(direct, relay)
        answers = await send_calls(transport, 20)
        await transport.close()
        assert answers == [LOST] * 20
        assert len(relay.calls) == 1

    async def test_a_daemon_without_connections_asks_directly(self):
        direct = Direct(LOST)
        transport = make_transport(direct)
        await send_calls(transport, 10)
        await transport.close()
        assert direct.calls == [CALL] * 10


class TestLease:
    async def test_a_lease_is_renewed_through_another_daemon(self):
        transport = make_transport(Direct(LOST, seconds=0.45), Relay())
        store = PlatformStore(
            HttpClient(transport),
            ADDRESS,
            StoreCallObserver(StoreOutageDetector()),
        )
        first = await store.renew_lease(7)
        second = await store.renew_lease(7)
        await transport.close()
        assert first.is_err()
        assert second.is_ok()
