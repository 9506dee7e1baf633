"""Tests of the HTTP stand-in for the store with the product's client."""

import asyncio
import socket
import time

import aiohttp
import pytest_asyncio
import uvicorn

from standins.store import StoreApplication
from verbenapost.coordination.directory import VmDirectory
from verbenapost.daemon.storefollower import follow_store
from verbenapost.protocol.errors import ErrorKind
from verbenapost.state.vms import VM_PREFIX, VmRecord, pack_vm
from verbenapost.transport.calllimits import CallClass, CallRate
from verbenapost.transport.store import (
    WATCH_TIMEOUT,
    HttpStoreClient,
    StoreSettings,
)

#: Seconds after which a VM that is leaving gets no new work.
LEAVE_SECONDS = 3


class Site:
    """A stand-in on a free port, with one client."""

    def __init__(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.url = f'http://127.0.0.1:{self.listener.getsockname()[1]}'
        self.application = StoreApplication(seed=1, history=100)
        self.faults = self.application.store.faults
        self.server = uvicorn.Server(
            uvicorn.Config(
                self.application.build(),
                lifespan='off',
                log_level='error',
                timeout_graceful_shutdown=0,
            )
        )
        self.store = HttpStoreClient(StoreSettings(self.url, call_timeout=0.3))

    async def start(self):
        self.task = asyncio.create_task(self.server._serve([self.listener]))

    async def stop(self):
        await self.store.close()
        self.server.should_exit = True
        await self.task


@pytest_asyncio.fixture
async def site():
    running = Site()
    await running.start()
    yield running
    await running.stop()


class TestHttpStore:
    async def test_round_trip(self, site):
        store = site.store
        first = (await store.swap('vm/a', 0, b'\x00\xff')).ok()
        refused = await store.swap('vm/a', 0, b'x')
        assert refused.err().kind is ErrorKind.CONFLICT
        assert (await store.get('vm/a')).ok().value == b'\x00\xff'
        assert (await store.get('vm/b')).ok() is None
        assert len((await store.list_prefix('vm/')).ok().entries) == 1
        batch = (await store.watch('vm/', 0, 0)).ok()
        assert [event.revision for event in batch.events] == [first]
        assert (await store.delete('vm/a', first)).is_ok()
        assert store.calls['swap'] == 2

    async def test_leases(self, site):
        lease = (await site.store.grant_lease(30)).ok()
        await site.store.swap('m/a', 0, b'1', lease)
        assert (await site.store.renew_lease(lease)).is_ok()
        assert (await site.store.revoke_lease(lease)).is_ok()
        renewal = await site.store.renew_lease(lease)
        assert renewal.err().kind is ErrorKind.NOT_FOUND
        assert (await site.store.get('m/a')).ok() is None

    async def test_a_write_with_lost_answer_is_unknown_and_not_retried(
        self, site
    ):
        site.faults.lose_answer = 1
        outcome = await site.store.swap('vm/a', 0, b'1')
        assert outcome.err().kind is ErrorKind.STORE_UNKNOWN
        assert site.application.store.calls['swap'] == 1
        assert site.application.store.core.get('vm/a', 0) is not None

    async def test_a_read_with_lost_answer_is_retried_then_unavailable(
        self, site
    ):
        site.faults.lose_answer = 1
        outcome = await site.store.get('vm/a')
        assert outcome.err().kind is ErrorKind.STORE_UNAVAILABLE
        assert site.application.store.calls['get'] == 3

    async def test_the_circuit_opens_and_closes(self, site):
        site.faults.refuse = 1
        await site.store.get('vm/a')
        await site.store.get('vm/a')
        assert site.store.breaker.is_open
        sent = site.store.calls['get']
        await site.store.get('vm/a')
        assert site.store.calls['get'] == sent
        site.faults.refuse = 0
        site.store.breaker.record_success()
        assert (await site.store.get('vm/a')).is_ok()

    async def test_large_values_are_not_sent(self, site):
        outcome = await site.store.swap('vm/a', 0, bytes(1024 * 1024 + 1))
        assert outcome.err().kind is ErrorKind.TOO_LARGE
        assert not site.store.calls

    async def test_call_classes_have_separate_budgets(self, site):
        site.store.rate_limiter.set_rate(
            CallClass.CLAIMS, CallRate(0.1, 0.1), 0
        )
        await site.store.swap('claims/0/0', 0, b'1')
        refused = await site.store.swap('claims/0/1', 0, b'1')
        assert refused.err().kind is ErrorKind.STORE_UNAVAILABLE
        assert (await site.store.swap('vm/a', 0, b'1')).is_ok()

    async def test_calls_and_faults_over_http(self, site):
        async with aiohttp.ClientSession() as session:
            await site.store.get('vm/a')
            faults = f'{site.url}/-/faults'
            async with session.post(faults, json={'stale': 1}) as answer:
                assert answer.status == 200
            async with session.post(faults, json={'odd': 1}) as answer:
                assert answer.status == 400
            async with session.get(f'{site.url}/-/calls') as answer:
                assert (await answer.json())['calls'] == {'get': 1}

    async def test_open_calls_are_cancelled_at_shutdown(self, site):
        site.store._settings = StoreSettings(site.url)
        site.faults.lose_answer = 1
        write = asyncio.create_task(site.store.swap('vm/a', 0, b'1'))
        while not site.application.store.core.revision:
            await asyncio.sleep(0.01)
        site.application.cancel_calls()
        assert (await write).err().kind is ErrorKind.STORE_UNKNOWN

    async def test_a_store_without_listener_is_unavailable(self):
        with socket.create_server(('127.0.0.1', 0)) as unused:
            url = f'http://127.0.0.1:{unused.getsockname()[1]}'
        store = HttpStoreClient(StoreSettings(url))
        outcome = await store.swap('vm/a', 0, b'1')
        await store.close()
        assert outcome.err().kind is ErrorKind.STORE_UNAVAILABLE


class TestLostWatches:
    """A VM got new work over 3 s after it was drained (KNOWN-RED, issue 20)."""

    async def test_a_change_is_seen_in_time_after_two_lost_answers(self, site):
        store = HttpStoreClient(StoreSettings(site.url))
        directory = VmDirectory(store)
        following = asyncio.create_task(follow_store('vms', directory))
        await asyncio.sleep(0.3)
        record = VmRecord('vm-1', '127.0.0.1:1', 'booking')
        sent = store.calls['watch']
        site.faults.lose_answer = 1
        while store.calls['watch'] < sent + 1:
            await asyncio.sleep(0.01)
        began = time.monotonic()
        await site.store.swap(f'{VM_PREFIX}vm-1', 0, pack_vm(record))
        while store.calls['watch'] < sent + 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        site.faults.lose_answer = 0
        while 'vm-1' not in directory.vms:
            await asyncio.sleep(0.01)
        following.cancel()
        await store.close()
        assert time.monotonic() - began < LEAVE_SECONDS

    async def test_a_store_slower_than_a_watch_is_followed(self, site):
        store = HttpStoreClient(StoreSettings(site.url))
        site.faults.latency = WATCH_TIMEOUT + 0.4
        batches = [await store.watch('vm/', 0, 0) for _ in range(3)]
        await store.close()
        assert [batch.is_ok() for batch in batches] == [False, False, True]
