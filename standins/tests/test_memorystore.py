"""Tests of the in-process stand-in for the store."""

import functools
import itertools

import pytest
from result import Ok

from standins.memorystore import MemoryStore, wait_for_events
from standins.storecore import StoreCore
from standins.virtualtime import run_virtual
from verbenapost.protocol.errors import ErrorKind


class TestStoreCore:
    def test_revisions_are_global_and_grow(self):
        core = StoreCore()
        assert core.swap('a', 0, b'1', now=0) == Ok(1)
        assert core.swap('b', 0, b'1', now=0) == Ok(2)
        assert core.swap('a', 1, b'2', now=0) == Ok(3)

    def test_only_one_of_two_swaps_succeeds(self):
        core = StoreCore()
        core.swap('a', 0, b'1', now=0)
        core.swap('a', 1, b'2', now=0)
        refused = core.swap('a', 1, b'3', now=0)
        assert refused.err().kind is ErrorKind.CONFLICT

    def test_an_expired_lease_deletes_its_keys(self):
        core = StoreCore()
        lease = core.grant_lease(5, now=0)
        core.swap('a', 0, b'1', lease, now=0)
        assert core.renew_lease(lease, now=4).is_ok()
        assert core.get('a', now=8) is not None
        assert core.get('a', now=9) is None
        assert core.renew_lease(lease, now=9).err().kind is ErrorKind.NOT_FOUND

    def test_a_key_written_without_lease_survives_its_old_lease(self):
        core = StoreCore()
        lease = core.grant_lease(5, now=0)
        core.swap('a', 0, b'1', lease, now=0)
        core.swap('a', 1, b'2', now=0)
        assert core.get('a', now=9) is not None

    def test_large_values_are_refused(self):
        refused = StoreCore().swap('a', 0, bytes(1024 * 1024 + 1), now=0)
        assert refused.err().kind is ErrorKind.TOO_LARGE

    def test_the_history_is_bounded(self):
        core = StoreCore(history=2)
        for count in range(4):
            core.swap(f'k{count}', 0, b'1', now=0)
        assert core.read_events('k', 1, 0).truncated
        assert len(core.read_events('k', 2, 0).events) == 2


class TestMemoryStore:
    @pytest.mark.parametrize('fault', ['hang', 'lose_answer', 'refuse'])
    def test_faults_of_writes(self, fault):
        async def scenario(now):
            core = StoreCore()
            store = MemoryStore(core, now, seed=1)
            setattr(store.faults, fault, 1)
            outcome = await store.swap('a', 0, b'1')
            return outcome.err().kind, core.get('a', now())

        kind, entry = run_virtual(scenario)
        unavailable = kind is ErrorKind.STORE_UNAVAILABLE
        assert unavailable == (fault == 'refuse')
        assert (entry is not None) == (fault == 'lose_answer')

    def test_a_stale_read_returns_the_previous_value(self):
        async def scenario(now):
            store = MemoryStore(StoreCore(), now)
            await store.swap('a', 0, b'1')
            await store.swap('a', 1, b'2')
            store.faults.stale = 1
            return (await store.get('a')).ok().value

        assert run_virtual(scenario) == b'1'

    def test_a_watch_returns_when_a_lease_expires(self):
        async def scenario(now):
            store = MemoryStore(StoreCore(), now)
            lease = (await store.grant_lease(3)).ok()
            await store.swap('m/a', 0, b'1', lease)
            batch = (await store.watch('m/', 1, 60)).ok()
            return batch.events[0].value, round(now())

        assert run_virtual(scenario) == (None, 3)


class CountingCore(StoreCore):
    def __init__(self):
        super().__init__()
        self.reads = 0

    def read_events(self, prefix, after, now):
        self.reads += 1
        if self.reads > 100:
            raise AssertionError('the watch loops without waiting')
        return super().read_events(prefix, after, now)


class TestWatchInVirtualTime:
    def test_a_watch_times_out_although_timers_fire_early(self):
        async def scenario(_now):
            times = itertools.chain((0,), itertools.repeat(20 - 1e-12))
            core = CountingCore()
            clock = functools.partial(next, times)
            return await wait_for_events(core, 'a', 0, 20, clock)

        assert not run_virtual(scenario).events
