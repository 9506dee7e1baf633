"""Tests of reading a claim ring from the store."""

import pytest

from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
from standins.virtualtime import run_virtual
from verbenapost.coordination.claims.loader import RingLoader
from verbenapost.coordination.claims.tests.helpers import (
    WALL,
    Log,
    make_arbiter,
    make_key,
    send_attempt,
)
from verbenapost.state.claims import pack_slot


def write_log(core, records):
    """Store some of the five records of a log with three slots.

    :param records: sequence numbers of the records to store.
    """
    log, arbiter = Log(), make_arbiter(size=3)
    for tail in range(5):
        send_attempt(arbiter, make_key(0, WALL + tail), tail)
        log.write(arbiter)
    for number in records:
        key = arbiter.ring.make_key(number)
        entry = core.get(key, 0)
        revision = entry.revision if entry else 0
        value = pack_slot(log.records[number - 1])
        core.swap(key, revision, value, now=0)


def load(core, **faults):
    async def scenario(now):
        store = MemoryStore(core, now)
        for name, setting in faults.items():
            setattr(store.faults, name, setting)
        return await RingLoader(store, 0, 999).load()

    return run_virtual(scenario)


class TestRingLoader:
    def test_a_ring_keeps_its_size(self):
        core = StoreCore()
        write_log(core, range(1, 6))
        ring = load(core)
        assert (ring.size, ring.sequence, ring.claim_count) == (3, 5, 3)
        assert ring.next_revision == 3

    def test_a_partly_filled_ring(self):
        core = StoreCore()
        write_log(core, [1, 2])
        assert (load(core).sequence, load(core).next_revision) == (2, 0)

    def test_a_new_ring(self):
        assert load(StoreCore()).size == 999

    @pytest.mark.parametrize('records', [[2], [1, 3], [1, 2, 3, 5], [1, 2, 4]])
    def test_a_log_with_a_gap_is_rejected(self, records):
        core = StoreCore()
        write_log(core, records)
        assert load(core) is None

    def test_undecodable_values_are_rejected(self):
        core = StoreCore()
        core.swap('claims/0/0/1', 0, b'odd', now=0)
        assert load(core) is None

    def test_an_unavailable_store(self):
        assert load(StoreCore(), refuse=1) is None
