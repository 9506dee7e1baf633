"""Tests of what membership does in the store and with peers."""

import asyncio

import pytest
from result import Err

from standins.core import StoreCore
from standins.memory import MemoryStore
from verbenapost.coordination.applied import AppliedTable
from verbenapost.coordination.contacts import Contacts, Timing
from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.register import MemberRegister
from verbenapost.daemon.livenesskey import LifeKey
from verbenapost.daemon.livenesswatch import AliveKeys
from verbenapost.daemon.memberset import MemberSetKey
from verbenapost.daemon.peerdirectory import PeerBook
from verbenapost.daemon.routing import MessageRouter
from verbenapost.daemon.vmrelay import VmRelay
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.views import AppliedViews
from verbenapost.state.members import MemberRecord, MemberSet, unpack_member
from verbenapost.state.vms import VmRecord, VmState, pack_vm

KEY = 'alive/shop'
SECONDS = 9.0


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
    """A store whose swaps take effect and never answer."""

    async def swap(self, key, expected, value, lease=''):
        await super().swap(key, expected, value, lease)
        return Err(Failure(ErrorKind.STORE_UNKNOWN))


async def find_identity(store):
    entry = (await store.get(KEY)).ok_value
    return entry and unpack_member(entry.value).identity


class TestLifeKey:
    async def test_a_lapsed_key_is_created_again(self, store, clock):
        life = LifeKey(store, make_record())
        await life.keep(SECONDS)
        clock.now += SECONDS + 1
        assert await find_identity(store) is None
        await life.keep(SECONDS)
        assert life.sure
        assert await find_identity(store) == 'first'

    async def test_renewals_keep_the_key(self, store, clock):
        life = LifeKey(store, make_record())
        for _ in range(5):
            await life.keep(SECONDS)
            clock.now += SECONDS - 1
        assert await find_identity(store) == 'first'

    async def test_a_lost_answer_is_settled_by_a_look(self, clock):
        store = LosingStore(StoreCore(), clock)
        life = LifeKey(store, make_record())
        assert (await life.keep(SECONDS)).is_err()
        assert not life.sure
        revision = store.core.revision
        assert (await life.keep(SECONDS)).is_ok()
        assert life.sure
        assert revision == store.core.revision == 1

    async def test_a_new_process_takes_the_place(self, store):
        first = LifeKey(store, make_record())
        second = LifeKey(store, make_record('second'))
        await first.keep(SECONDS)
        await second.keep(SECONDS)
        assert not second.replaced
        assert await find_identity(store) == 'second'

    async def test_a_woken_process_leaves_a_taken_place(self, store, clock):
        first = LifeKey(store, make_record())
        second = LifeKey(store, make_record('second'))
        await first.keep(SECONDS)
        clock.now += SECONDS + 1
        await second.keep(SECONDS)
        await first.keep(SECONDS)
        assert first.replaced
        assert await find_identity(store) == 'second'
        await second.release()
        await first.keep(SECONDS)
        assert not first.replaced
        assert await find_identity(store) == 'first'


class TestAliveKeys:
    async def test_follows_the_own_region(self, store):
        other = MemberRecord('far', 'x', '10.0.0.2:70', region='elsewhere')
        alive = AliveKeys(store, 'region')
        await LifeKey(store, other).keep(SECONDS)
        await alive.follow(0)
        assert not alive.records
        life = LifeKey(store, make_record())
        await life.keep(SECONDS)
        await alive.follow(0)
        assert alive.records['shop'].since == store.core.revision
        await life.release()
        await alive.follow(0)
        assert not alive.records


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

    async def test_a_racing_write_is_refused_and_read(self, store):
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

    def drop_peer(self, name):
        self.peers.pop(name, None)


class TestPeerBook:
    def test_a_stranger_is_answered_and_then_dropped(self):
        network = FakeNetwork()
        book = PeerBook(network, {'seed': ('10.0.0.2', 70)})
        book.note_sender('guest', '10.0.0.3:70', 0)
        assert book.find_name('10.0.0.3:70') == 'guest'
        book.settle(make_register(), 100)
        assert network.peers == {'seed': ('10.0.0.2', 70)}
        assert book.find_name('10.0.0.3:70') is None

    def test_a_restart_at_another_address_is_followed(self):
        network = FakeNetwork()
        book = PeerBook(network, {})
        register = make_register()
        record = make_record()
        register.adopt(1, MemberSet({'shop': record}), 0)
        book.settle(register, 0)
        assert network.peers == {'shop': ('10.0.0.1', 70)}
        book.note_sender('shop', '10.0.0.9:70', 1)
        book.settle(register, 2)
        assert network.peers == {'shop': ('10.0.0.9', 70)}
        assert book.find_name('10.0.0.1:70') is None

    def test_names_of_hosts_are_no_addresses(self):
        network = FakeNetwork()
        PeerBook(network, {}).note_sender('guest', 'some.host:70', 0)
        assert not network.peers


class Side:
    """A daemon's VM records with their relay."""

    def __init__(self, store, name, sides):
        self.directory = VmDirectory(store)
        self.applied = AppliedTable()
        self.sent = 0
        self.router = MessageRouter()
        sides[name] = self

        def send(receiver, message):
            self.sent += 1
            sides[receiver].router.deliver(name, message)
            return True

        self.relay = VmRelay(self.directory, self.applied, send)
        self.relay.register_routes(self.router)


class TestVmRelay:
    async def test_records_come_by_revision_and_on_need(self, store):
        sides = {}
        rich, poor = Side(store, 'rich', sides), Side(store, 'poor', sides)
        await write_vm(store, 0)
        await rich.directory.load()
        poor.relay.tick(['rich'])
        assert poor.directory.vms == rich.directory.vms
        for _ in range(5):
            poor.relay.tick(['rich'])
        assert poor.sent == 1
        await write_vm(store, store.core.revision)
        await rich.directory.load()
        report = AppliedViews(0, rich.directory.position)
        poor.applied.note('rich', report)
        poor.relay.tick(['rich'])
        assert poor.sent == 1
        poor.relay.tick(['rich'])
        assert poor.directory.vms == rich.directory.vms
        assert poor.directory.position == rich.directory.position


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
