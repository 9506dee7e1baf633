"""Tests of the pool keeper's host."""

import random

import pytest

from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
from verbenapost.coordination.applied import AppliedTable
from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.documents import Clocks
from verbenapost.coordination.writes import ResolvingWriter
from verbenapost.daemon.fleet import KeeperHost
from verbenapost.protocol.store import Entry, Listing
from verbenapost.state.vms import VmRecord, VmState, pack_vm


def make_host(record):
    store = MemoryStore(StoreCore(), lambda: 0, 1)
    directory = VmDirectory(store)
    writer = ResolvingWriter(store, lambda: 0, random.Random(1))
    clocks = Clocks(unix=lambda: 0, monotonic=lambda: 0)
    configuration = ConfigurationService(store, 'a', writer, clocks)
    host = KeeperHost(
        store, None, 'a', configuration, directory, AppliedTable()
    )
    entry = Entry(f'vm/{record.name}', pack_vm(record), 1)
    directory.adopt(Listing((entry,), 1))
    return host


class TestKeeperHost:
    @pytest.mark.parametrize(
        ('state', 'held', 'busy'),
        [
            (VmState.IN_SERVICE, False, False),
            (VmState.DRAINING, False, True),
            (VmState.DRAINING, True, True),
            (VmState.IN_MAINTENANCE, True, False),
            (VmState.IN_MAINTENANCE, False, True),
        ],
    )
    async def test_busy_while_a_vm_is_in_transition(self, state, held, busy):
        record = VmRecord('vm-1', '', 'booking', state=state, held=held)
        assert make_host(record).is_busy() is busy
