"""Tests of resolved writes and monotonic reads."""

import random

import pytest

from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
from standins.virtualtime import run_virtual
from verbenapost.coordination.writes import MonotonicReads, ResolvingWriter
from verbenapost.protocol.errors import ErrorKind


async def write(core, now, *, deadline=30, seed=1, **faults):
    """Write ``mine`` to key ``a`` of a faulty store.

    :param faults: attributes of the client's faults.
    """
    store = MemoryStore(core, now, seed)
    for name, setting in faults.items():
        setattr(store.faults, name, setting)
    writer = ResolvingWriter(store, now, random.Random(seed))
    return await writer.resolve_swap(
        'a', 0, b'mine', lambda value: value == b'mine', deadline
    )


class TestResolvingWriter:
    def test_an_undecided_write_is_unknown_at_the_deadline(self):
        async def scenario(now):
            return await write(StoreCore(), now, lose_answer=1)

        assert run_virtual(scenario).err().kind is ErrorKind.STORE_UNKNOWN

    @pytest.mark.parametrize('seed', range(20))
    def test_resolved_outcomes_are_correct(self, seed):
        async def scenario(now):
            core = StoreCore()
            faults = {'lose_answer': 0.3, 'hang': 0.3, 'stale': 0.2}
            outcome = await write(core, now, seed=seed, deadline=99, **faults)
            return outcome, core.get('a', now()), core.revision

        outcome, entry, revision = run_virtual(scenario)
        assert outcome.ok() == entry.revision == revision

    @pytest.mark.parametrize('seed', range(10))
    def test_a_conflicting_write_never_takes_effect_later(self, seed):
        async def scenario(now):
            core = StoreCore()
            core.swap('a', 0, b'other', now=0)
            outcome = await write(core, now, seed=seed, hang=0.5)
            return outcome, core.get('a', 1e6).value

        outcome, value = run_virtual(scenario)
        assert outcome.err().kind is ErrorKind.CONFLICT
        assert value == b'other'

    def test_a_refused_write_is_not_applied(self):
        async def scenario(now):
            return await write(StoreCore(), now, refuse=1)

        outcome = run_virtual(scenario)
        assert outcome.err().kind is ErrorKind.STORE_UNAVAILABLE


class TestMonotonicReads:
    def test_stale_reads_are_refused(self):
        async def scenario(now):
            memory = MemoryStore(StoreCore(), now)
            store = MonotonicReads(memory)
            await store.swap('a', 0, b'1')
            await store.swap('a', 1, b'2')
            memory.faults.stale = 1
            return await store.get('a'), await store.list_prefix('a')

        reading, listing = run_virtual(scenario)
        assert reading.err().kind is ErrorKind.STORE_UNAVAILABLE
        assert listing.err().kind is ErrorKind.STORE_UNAVAILABLE

    def test_memory_is_bounded(self):
        async def scenario(now):
            store = MonotonicReads(MemoryStore(StoreCore(), now), capacity=3)
            for count in range(9):
                await store.swap(f'k{count}', 0, b'1')
            return len(store._seen)

        assert run_virtual(scenario) == 3
