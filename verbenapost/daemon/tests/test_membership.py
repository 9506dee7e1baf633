"""Tests of the daemon's membership in the store and with peers."""

import asyncio

import pytest
from result import Err

from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
from verbenapost.coordination.applied import AppliedTable
from verbenapost.coordination.contacts import Contacts, Timing
from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.register import MemberRegister
from verbenapost.daemon.livenesskey import LivenessKey
from verbenapost.daemon.livenesswatch import LivenessWatch
from verbenapost.daemon.memberset import MemberSetKey
from verbenapost.daemon.peerdirectory import PeerDirectory
from verbenapost.daemon.routing import MessageRouter
from verbenapost.daemon.vmrelay import VmRelay
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.views import AppliedRevisions
from verbenapost.state.members import MemberRecord, MemberSet, unpack_member
from verbenapost.state.vms import VmRecord, VmState, pack_vm

KEY = 'alive/shop'
LEASE_SECONDS = 9.0


def make_record(identity='first', name='shop'):
    return MemberRecord(name, identity, '10.0.0.1:70', region='region')


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def store(clock):
    return MemoryStore(StoreCore(), clock, timeout=0)


class LosingStore(MemoryStore):
    """Store whose swaps take effect but report an unknown outcome."""

    async def swap(self, key, expected, value, lease=''):
        await super().swap(key, expected, value, lease)
        return Err(Failure(ErrorKind.STORE_UNKNOWN))


async def find_identity(store):
    entry = (await store.get(KEY)).ok_value
    return entry and unpack_member(entry.value).identity


class TestLivenessKey:
    async def test_a_lapsed_key_is_created_again(self, store, clock):
        liveness_key = LivenessKey(store, make_record())
        await liveness_key.maintain(LEASE_SECONDS)
        clock.now += LEASE_SECONDS + 1
        assert await find_identity(store) is None
        await liveness_key.maintain(LEASE_SECONDS)
        assert liveness_key.known_held
        assert await find_identity(store) == 'first'

    async def test_renewals_keep_the_key(self, store, clock):
        liveness_key = LivenessKey(store, make_record())
        for _ in range(5):
            await liveness_key.maintain(LEASE_SECONDS)
            clock.now += LEASE_SECONDS - 1
        assert await find_identity(store) == 'first'

    async def test_a_lost_answer_is_resolved_by_a_read(self, clock):
        store = LosingStore(StoreCore(), clock)
        liveness_key = LivenessKey(store, make_record())
        assert (await liveness_key.maintain(LEASE_SECONDS)).is_err()
        assert not liveness_key.known_held
        revision = store.core.revision
        assert (await liveness_key.maintain(LEASE_SECONDS)).is_ok()
        assert liveness_key.known_held
        assert revision == store.core.revision == 1

    async def test_a_new_process_replaces_the_key(self, store):
        first = LivenessKey(store, make_record())
        second = LivenessKey(store, make_record('second'))
        await first.maintain(LEASE_SECONDS)
        await second.maintain(LEASE_SECONDS)
        assert not second.replaced
        assert await find_identity(store) == 'second'

    async def test_a_resumed_process_leaves_a_replaced_key(
        self,
        store,
        clock,
    ):
        first = LivenessKey(store, make_record())
        second = LivenessKey(store, make_record('second'))
        await first.maintain(LEASE_SECONDS)
        clock.now += LEASE_SECONDS + 1
        await second.maintain(LEASE_SECONDS)
        await first.maintain(LEASE_SECONDS)
        assert first.replaced
        assert await find_identity(store) == 'second'
        await second.release()
        await first.maintain(LEASE_SECONDS)
        assert not first.replaced
        assert await find_identity(store) == 'first'


class TestLivenessWatch:
    async def test_follows_only_its_region(self, store):
        other = MemberRecord('far', 'x', '10.0.0.2:70', region='elsewhere')
        watch = LivenessWatch(store, 'region')
        await LivenessKey(store, other).maintain(LEASE_SECONDS)
        await watch.follow(0)
        assert not watch.records
        liveness_key = LivenessKey(store, make_record())
        await liveness_key.maintain(LEASE_SECONDS)
        await watch.follow(0)
        assert watch.records['shop'].since == store.core.revision
        await liveness_key.release()
        await watch.follow(0)
        assert not watch.records


class TestMemberSetKey:
    async def test_a_lost_write_is_adopted_once(self, store):
        register = make_register()
        key = MemberSetKey(store, 'region', register)
        store.faults.lose_answer = 1
        write = register.plan(0, {'shop': make_record()})
        writing = asyncio.create_task(key.write(write))
        await asyncio.sleep(0.01)
        store.faults.lose_answer = 0
        assert (await writing).ok_value == store.core.revision
        assert register.revision == store.core.revision

    async def test_a_concurrent_write_is_refused_and_read(self, store):
        first, second = make_register(), make_register('other')
        writes = [
            register.plan(0, {record.name: record})
            for register, record in (
                (first, make_record()),
                (second, make_record(name='other')),
            )
        ]
        assert (
            await MemberSetKey(store, 'region', first).write(writes[0])
        ).is_ok()
        late = MemberSetKey(store, 'region', second)
        assert (await late.write(writes[1])).is_err()
        await late.read()
        assert second.member_set == first.member_set


def make_register(name='shop'):
    record = make_record(name=name)
    return MemberRegister(record, Timing(), Contacts(name, 'first', 5.0))


class FakeNetwork:
    def __init__(self):
        self.peers = {}

    def add_peer(self, name, address):
        self.peers[name] = address

    def remove_peer(self, name):
        self.peers.pop(name, None)


class TestPeerDirectory:
    def test_an_unknown_sender_is_answered_and_then_dropped(self):
        network = FakeNetwork()
        peer_directory = PeerDirectory(network, {'seed': ('10.0.0.2', 70)})
        peer_directory.record_sender('guest', '10.0.0.3:70', 0)
        assert peer_directory.find_name('10.0.0.3:70') == 'guest'
        peer_directory.reconcile(make_register(), 100)
        assert network.peers == {'seed': ('10.0.0.2', 70)}
        assert peer_directory.find_name('10.0.0.3:70') is None

    def test_a_restart_at_another_address_is_followed(self):
        network = FakeNetwork()
        peer_directory = PeerDirectory(network, {})
        register = make_register()
        record = make_record()
        register.adopt(1, MemberSet({'shop': record}), 0)
        peer_directory.reconcile(register, 0)
        assert network.peers == {'shop': ('10.0.0.1', 70)}
        peer_directory.record_sender('shop', '10.0.0.9:70', 1)
        peer_directory.reconcile(register, 2)
        assert network.peers == {'shop': ('10.0.0.9', 70)}
        assert peer_directory.find_name('10.0.0.1:70') is None

    def test_host_names_are_not_accepted_as_addresses(self):
        network = FakeNetwork()
        PeerDirectory(network, {}).record_sender('guest', 'some.host:70', 0)
        assert not network.peers


class RelayDaemon:
    """VM records of one daemon with their relay."""

    def __init__(self, store, name, daemons):
        self.directory = VmDirectory(store)
        self.applied = AppliedTable()
        self.sent = 0
        self.router = MessageRouter()
        daemons[name] = self

        def send(receiver, message):
            self.sent += 1
            daemons[receiver].router.deliver(name, message)
            return True

        self.relay = VmRelay(self.directory, self.applied, send)
        self.relay.register_handlers(self.router)


class TestVmRelay:
    async def test_outdated_records_are_fetched_when_needed(self, store):
        daemons = {}
        source, reader = (
            RelayDaemon(store, 'a', daemons),
            RelayDaemon(store, 'b', daemons),
        )
        await write_vm(store, 0)
        await source.directory.load()
        reader.relay.tick(['a'])
        assert reader.directory.vms == source.directory.vms
        for _ in range(5):
            reader.relay.tick(['a'])
        assert reader.sent == 1
        await write_vm(store, store.core.revision)
        await source.directory.load()
        report = AppliedRevisions(0, source.directory.position)
        reader.applied.note('a', report)
        reader.relay.tick(['a'])
        assert reader.sent == 1
        reader.relay.tick(['a'])
        assert reader.directory.vms == source.directory.vms
        assert reader.directory.position == source.directory.position


async def write_vm(store, expected):
    state = VmState.DRAINING if expected else VmState.IN_SERVICE
    record = make_vm(state)
    assert (await store.swap('vm/cs-1', expected, pack_vm(record))).is_ok()


def make_vm(state):
    return VmRecord(
        name='cs-1',
        pool='counter',
        state=state,
        address='10.0.1.1:80',
    )
