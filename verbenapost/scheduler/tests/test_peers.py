"""Connections between the leader and another daemon over loopback."""

import asyncio
import contextlib

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from verbenapost.daemon.logs import make_logger
from verbenapost.platform.http import EncodedAnswer, EncodedCall
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.scheduler import channels
from verbenapost.scheduler.channels import Channel
from verbenapost.scheduler.leadership import Leadership
from verbenapost.scheduler.messages import (
    Heartbeat,
    PendingRequest,
    PendingResponse,
    Reply,
    Request,
)
from verbenapost.scheduler.peers import LeaderClient, PeerServer
from verbenapost.scheduler.relays import (
    DIRECT_WORKERS_PER_CORE,
    RelayHandler,
    RelayTransport,
)
from verbenapost.scheduler.tasks import TaskSet
from verbenapost.transport.handshakes import Handshakes
from verbenapost.transport.peers import Identity
from verbenapost.transport.refusals import Refusals

CALL = EncodedCall('POST', '10.0.0.1:1', '/p', b'{}', {'A': 'b'}, 0.5)

#: Streams before their handshake that a server keeps.
HANDSHAKES = 4

#: Seconds to wait for an expected state before the test fails.
WAIT_TIMEOUT = 10


async def wait_until(condition):
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not condition():
            await asyncio.sleep(0.01)


def refuse(message):
    raise ValueError(f'{type(message).__name__} has no answer')


PACKABLE = (
    st.binary(max_size=20)
    | st.integers(0, 1000)
    | st.none()
    | st.text(max_size=5)
    | st.lists(st.integers(0, 700), max_size=3).map(msgpack.packb)
)


INVALID_BYTES = (b'GET / HTTP/1.1\r\n\r\n', b'\xc1' * 9, b'\x92\x01')


class Worker:
    """Transport that records calls and returns a fixed answer."""

    def __init__(self, answer):
        self.answer = answer
        self.calls = []

    async def send(self, call):
        self.calls.append(call)
        return self.answer


class Site:
    """A leader and one other daemon on loopback."""

    def __init__(self):
        self.worker = Worker(Ok(EncodedAnswer(200, b'{"clock_ms":1}')))
        self.answer = self.count
        self.processes = []
        self.server = PeerServer(
            Identity('d0', 'first', 'first'),
            self.answer_by_test,
            lambda *process: self.processes.append(process),
            Handshakes(HANDSHAKES, Refusals(make_logger('clients'), int)),
            make_logger('peers'),
        )
        self.leader = None
        self.client = LeaderClient(
            Identity('d1', 'second', 'second'),
            lambda: self.leader,
            lambda: None,
            RelayHandler(self.worker).answer,
            make_logger('peers'),
        )

    @contextlib.asynccontextmanager
    async def run(self, start='first'):
        await self.server.start('127.0.0.1', 0)
        port = self.server._server.sockets[0].getsockname()[1]
        self.leader = Leadership(1, 'd0', start, f'127.0.0.1:{port}')
        self.client.start()
        try:
            yield
        finally:
            await self.client.close()
            await self.server.stop()

    def answer_by_test(self, message):
        return self.answer(message)

    def count(self, message):
        assert isinstance(message, PendingRequest)
        return PendingResponse(len(message.route))


class TestAsking:
    async def test_leader_answers(self):
        site = Site()
        async with site.run():
            await wait_until(self.is_connected(site))
            answer = await site.client.ask(PendingRequest('four'))
        assert answer == Ok(PendingResponse(4))

    async def test_leader_learns_the_incarnation_of_each_daemon(self):
        site = Site()
        async with site.run():
            await wait_until(self.is_connected(site))
        assert site.processes == [('d1', 'second')]

    async def test_client_with_a_wrong_key_is_rejected(self):
        site = Site()
        async with site.run(start='guessed'):
            await asyncio.sleep(0.3)
            answer = await site.client.ask(PendingRequest('four'))
        assert answer == Err('no connection to a leader')
        assert site.processes == []

    async def test_daemon_that_does_not_lead_has_no_answer(self):
        site = Site()
        site.answer = refuse
        async with site.run():
            await wait_until(self.is_connected(site))
            answer = await site.client.ask(PendingRequest('four'))
        assert answer == Err('the other side has no answer')

    async def test_lost_connection_is_reestablished(self):
        site = Site()
        async with site.run():
            await wait_until(self.is_connected(site))
            before = site.client._stream
            before.abort()
            await wait_until(
                lambda: site.client._stream not in {None, before},
            )
            answer = await site.client.ask(PendingRequest('four'))
        assert answer == Ok(PendingResponse(4))

    async def test_silent_connection_is_replaced(self, monkeypatch):
        site = Site()
        async with site.run():
            await wait_until(self.is_connected(site))
            before = site.client._stream
            monkeypatch.setattr(site.client._channel, 'heard_at', -100)
            await wait_until(
                lambda: site.client._stream not in {None, before},
            )

    async def test_invalid_bytes_close_only_their_own_connection(self):
        site = Site()
        async with site.run():
            await wait_until(self.is_connected(site))
            port = site.server._server.sockets[0].getsockname()[1]
            for data in INVALID_BYTES:
                _, writer = await asyncio.open_connection('127.0.0.1', port)
                writer.write(data)
                await writer.drain()
                writer.close()
            answer = await site.client.ask(PendingRequest('four'))
        assert answer == Ok(PendingResponse(4))

    async def test_streams_without_a_handshake_make_room(self):
        site = Site()
        async with site.run():
            port = site.server._server.sockets[0].getsockname()[1]
            silent = [
                await asyncio.open_connection('127.0.0.1', port)
                for _ in range(HANDSHAKES * 3)
            ]
            await wait_until(self.is_connected(site))
            await wait_until(
                lambda: len(site.server._channels) <= HANDSHAKES + 1
            )
            answer = await site.client.ask(PendingRequest('four'))
            for _, writer in silent:
                writer.close()
        assert answer == Ok(PendingResponse(4))

    def is_connected(self, site):
        return lambda: site.client._channel is not None


class TestChannel:
    def make(self, sent, answer=refuse):
        return Channel(
            lambda message: sent.append(message) or True, answer, TaskSet()
        )

    async def test_timeout_is_an_unknown_effect(self):
        answer = await self.make([]).ask(PendingRequest('a'), 0.01)
        assert answer.err_value.kind is CallFaultKind.UNKNOWN

    async def test_unsent_message_had_no_effect(self):
        channel = Channel(lambda _message: False, refuse, TaskSet())
        answer = await channel.ask(PendingRequest('a'), 1)
        assert answer.err_value.kind is CallFaultKind.NOT_DONE

    async def test_lost_connection_fails_pending_requests(self):
        channel = self.make([])
        asked = asyncio.create_task(channel.ask(PendingRequest('a'), 60))
        await asyncio.sleep(0)
        channel.close()
        assert (await asked).err_value.kind is CallFaultKind.UNKNOWN

    async def test_invalid_reply_is_an_unknown_effect(self):
        channel = self.make([])
        asked = asyncio.create_task(channel.ask(PendingRequest('a'), 60))
        await asyncio.sleep(0)
        channel.receive(Reply(1, b'\xc1'))
        assert (await asked).err_value.kind is CallFaultKind.UNKNOWN

    @settings(derandomize=True, max_examples=200)
    @given(PACKABLE)
    async def test_any_message_body_is_handled(self, body):
        channel = self.make([])
        asked = asyncio.create_task(channel.ask(PendingRequest('a'), 60))
        await asyncio.sleep(0)
        channel.receive(Request(1, body))
        channel.receive(Reply(1, body))
        channel.receive(Heartbeat(body))
        answer = await asked
        # Any decodable body counts as an answer.
        readable = isinstance(answer, Ok)
        assert readable or answer.err_value.kind in {
            CallFaultKind.UNKNOWN,
            CallFaultKind.NOT_DONE,
        }

    async def test_replies_without_a_request_are_ignored(self):
        channel = self.make([])
        channel.receive(Reply(7, b''))
        assert not channel.silent

    async def test_channel_becomes_silent(self, monkeypatch):
        channel = self.make([])
        later = channel.heard_at + channels.SILENCE_SECONDS + 1
        monkeypatch.setattr(channels, 'read_clock', lambda: later)
        assert channel.silent


class TestRelays:
    """A pool at its peak needs more calls than one process can send."""

    async def test_calls_are_relayed_with_many_workers(self):
        site = Site()
        local = Worker(Err(CallFault(CallFaultKind.NOT_DONE, 'not from here')))
        transport = RelayTransport(local, site.server.find_relays)
        async with site.run():
            await wait_until(site.server.find_relays)
            transport.set_worker_count(DIRECT_WORKERS_PER_CORE)
            direct = await transport.send(CALL)
            transport.set_worker_count(DIRECT_WORKERS_PER_CORE + 1)
            relayed = await transport.send(CALL)
            site.client.stop_relaying()
            await wait_until(lambda: not site.server.find_relays())
        assert direct == local.answer
        assert relayed == site.worker.answer
        assert site.worker.calls == [CALL]

    async def test_a_leader_on_a_small_vm_relays_earlier(self):
        site = Site()
        local = Worker(Ok(None))
        transport = RelayTransport(local, site.server.find_relays, cores=0.1)
        async with site.run():
            await wait_until(site.server.find_relays)
            transport.set_worker_count(DIRECT_WORKERS_PER_CORE // 10 + 1)
            relayed = await transport.send(CALL)
        assert relayed == site.worker.answer
        assert not local.calls

    async def test_relayed_fault_is_preserved(self):
        site = Site()
        site.worker.answer = Err(CallFault(CallFaultKind.UNKNOWN, 'timeout'))
        transport = RelayTransport(Worker(Ok(None)), site.server.find_relays)
        transport.set_worker_count(DIRECT_WORKERS_PER_CORE + 1)
        async with site.run():
            await wait_until(site.server.find_relays)
            answer = await transport.send(CALL)
        assert answer == site.worker.answer

    async def test_next_daemon_relays_after_a_failure(self):
        def make_relay(worker):
            handler = RelayHandler(worker)
            sides = {}

            def send_back(message):
                sides['near'].receive(message)
                return True

            def send_there(message):
                sides['far'].receive(message)
                return True

            sides['far'] = Channel(send_back, handler.answer, TaskSet())
            sides['near'] = Channel(send_there, refuse, TaskSet())
            return sides['near']

        workers = {
            name: Worker(Err(CallFault(CallFaultKind.UNKNOWN, name)))
            for name in ('d1', 'd2', 'd3')
        }
        relays = {name: make_relay(row) for name, row in workers.items()}
        transport = RelayTransport(Worker(Ok(None)), lambda: relays)
        transport.set_worker_count(DIRECT_WORKERS_PER_CORE + 1)
        for _ in relays:
            await transport.send(CALL)
        assert [len(row.calls) for row in workers.values()] == [1, 1, 1]
        for row in workers.values():
            row.answer = Ok(EncodedAnswer(200, b'{}'))
        for _ in range(4):
            await transport.send(CALL)
        assert sorted(len(row.calls) for row in workers.values()) == [1, 1, 5]

    async def test_leader_sends_calls_without_relays(self):
        local = Worker(Ok(EncodedAnswer(200, b'{}')))
        transport = RelayTransport(local, dict)
        transport.set_worker_count(DIRECT_WORKERS_PER_CORE + 1)
        assert await transport.send(CALL) == local.answer
