"""Simulation of members, a store and a faulty network in virtual time."""

import dataclasses
import random

from standins.storecore import StoreCore
from verbenapost.coordination.contacts import Timing
from verbenapost.coordination.membership import Membership
from verbenapost.coordination.quorum import Status, holds_majority
from verbenapost.coordination.tests.configuration_helpers import make_service
from verbenapost.protocol.store import Listing
from verbenapost.state.configuration import (
    ConfigurationRecord,
    pack_record,
)
from verbenapost.state.members import (
    MemberRecord,
    pack_member,
    pack_set,
    unpack_member,
    unpack_set,
)

#: Seconds of one step.
STEP = 0.25

TIMING = Timing()
SET_KEY = 'members/region'
LEASE_SECONDS = 8


@dataclasses.dataclass
class Process:
    """A simulated daemon process without a clock or a socket.

    :param record: member record of the process.
    :param views: configuration service of the process.
    :param member: membership of the process.
    :param lease: lease of the liveness key, empty before the first one.
    :param paused: whether the process is suspended.
    :param delays_writes: whether writes of the member set are held back.
    :param delayed_write: arguments of the write that is held back.
    :param newest: latest revisions of the configuration and the member set.
    :param last_heard_at: latest time at which the process read the store, or
        at which a message that reached it was sent.
    """

    record: MemberRecord
    views: object
    member: Membership
    lease: str = ''
    paused: bool = False
    delays_writes: bool = False
    delayed_write: tuple = ()
    newest: tuple = (0, 0)
    last_heard_at: float = -1e9


class Simulation:
    """All processes of a region, their store and their network.

    :param names: names of the members.
    :param seed: seed of the random number generator.
    :param loss: probability that a message is lost; above 0, some messages
        are also duplicated or delayed by up to a minute.
    :param delay: longest usual delay of a message, in seconds.
    """

    def __init__(self, names, seed=0, loss=0.0, delay=0.2):
        self.now = 100.0
        self.core = StoreCore()
        self.rng = random.Random(seed)
        self.loss = loss
        self.delay = delay
        self.addresses = {name: f'10.0.0.{n}:1' for n, name in enumerate(names)}
        self.partition = dict.fromkeys(names, 0)
        self.storeless = set()
        self.queue = []
        self.running = {}
        self.changed_at = self.now
        self.deleted = set()
        self.informed = {}
        for name in names:
            self.start(name)

    def start(self, name):
        """Start a new process of a member in place of the previous one."""
        identity = f'{self.rng.getrandbits(64):x}'
        record = MemberRecord(
            name, identity, self.addresses[name], region='region'
        )
        views, _ = make_service(self.core, lambda: self.now, identity)
        seeds = tuple(self.addresses.values())
        member = Membership(record, views, TIMING, seeds)
        self.running[name] = Process(record, views, member)
        self.changed_at = self.now

    def change(self):
        """Record the time of a change of the network or the store."""
        self.changed_at = self.now

    def split(self, names):
        """Partition the network into the named members and the others."""
        self.partition = {name: int(name in names) for name in self.addresses}
        self.change()

    def list_vms(self, names):
        """Give all processes the platform's list of existing VMs."""
        self.deleted = set(self.addresses) - set(names)
        for process in self.running.values():
            process.member.register.set_deleted(self.deleted)

    def apply(self, slots):
        """Write a document directly into the store."""
        entry = self.core.get('config/shop', self.now)
        document = {'services': {'counter': {'pool': 'c', 'slots': slots}}}
        value = pack_record(ConfigurationRecord(document))
        expected = entry.revision if entry else 0
        self.core.swap('config/shop', expected, value, now=self.now)
        self.change()

    def advance(self, seconds):
        """Advance the time and check the invariants after each step."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            self._deliver()
            for process in list(self.running.values()):
                if not process.paused:
                    self._run(process)
            self.check()

    def reaches_store(self, process):
        return process.record.name not in self.storeless

    def _run(self, process):
        if self.reaches_store(process):
            self._flush(process)
            if process.member.begin_store_check(self.now):
                self._contact(process)
        self._post(process, process.member.tick(self.now))

    def _flush(self, process):
        if process.delayed_write and not process.delays_writes:
            self._write(process, *process.delayed_write)
            process.delayed_write = ()

    def _contact(self, process):
        member = process.member
        self._renew_liveness(process)
        listing = self.core.list_prefix('config/', self.now)
        process.views.adopt(Listing(listing.entries, listing.revision))
        entry = self.core.get(SET_KEY, self.now)
        if entry is not None:
            self._adopt(process, entry.revision, unpack_set(entry.value))
        member.note_store_confirmation(self.now)
        process.last_heard_at = self.now
        alive = {}
        for row in self.core.list_prefix('alive/', self.now).entries:
            record = unpack_member(row.value)
            alive[record.name] = dataclasses.replace(record, since=row.revision)
        write = member.register.plan(self.now, alive)
        if write is None:
            return
        if process.delays_writes:
            process.delayed_write = process.delayed_write or (write, alive)
        else:
            self._write(process, write, alive)

    def _renew_liveness(self, process):
        core = self.core
        key = f'alive/{process.record.name}'
        if process.lease and core.renew_lease(process.lease, self.now).is_ok():
            return
        process.lease = core.grant_lease(LEASE_SECONDS, self.now)
        entry = core.get(key, self.now)
        value = pack_member(process.record)
        expected = entry.revision if entry else 0
        core.swap(key, expected, value, process.lease, now=self.now)

    def _write(self, process, write, alive=None):
        entry = self.core.get(SET_KEY, self.now)
        before = unpack_set(entry.value) if entry else None
        outcome = self.core.swap(
            SET_KEY, write.expected, pack_set(write.member_set), now=self.now
        )
        if outcome.is_err():
            return
        if before and before.members != write.member_set.members:
            self._check_commit(entry.revision, before, alive or {})
        self._adopt(process, outcome.ok(), write.member_set)

    def _adopt(self, process, revision, member_set):
        process.member.register.adopt(revision, member_set, self.now)

    def _check_commit(self, revision, before, alive):
        """Check that no two majorities without a common member exist.

        A majority must have known of the committed change, and no process
        that does not know of it may still reach a majority of the old set.
        """
        self._note_informed()
        informed = self.informed.get(revision, set())
        counted = {
            name
            for name, record in before.members.items()
            if name not in alive or alive[name].identity == record.identity
        } - self.deleted
        assert holds_majority(counted, informed), 'no majority knew the change'
        for process in self._list_running():
            register = process.member.register
            if register.revision >= revision:
                continue
            if process.member.find_status(self.now) is not Status.OUTAGE:
                continue
            reachable = {
                name
                for name in register.list_reachable(self.now)
                if name in register.member_set.members
                and name in self.running
                and self.running[name].record.identity
                == register.member_set.members[name].identity
            }
            assert not holds_majority(register.member_set.members, reachable), (
                f'{process.record.name} continues with an earlier majority'
            )

    def _list_running(self):
        return [
            running_process
            for running_process in self.running.values()
            if not running_process.paused
        ]

    def _post(self, process, envelopes):
        for envelope in envelopes:
            copies = self.rng.choice((1, 1, 1, 2)) if self.loss else 1
            for _ in range(copies):
                if self.rng.random() >= self.loss:
                    self._send(process, envelope)

    def _send(self, process, envelope):
        # Some messages are delayed for much longer than the view timeout.
        late = self.loss and self.rng.random() < 0.02
        delay = self.rng.random() * (60 if late else self.delay)
        row = (self.now + delay, self.now, process.record.name, envelope)
        self.queue.append(row)

    def _deliver(self):
        due = [row for row in self.queue if row[0] <= self.now]
        self.queue = [row for row in self.queue if row[0] > self.now]
        self.rng.shuffle(due)
        for _, sent_at, sender, envelope in due:
            name = self._find_member(envelope.address)
            process = self.running.get(name)
            if (
                process is None
                or self.partition[sender] != self.partition[name]
            ):
                continue
            if process.paused:
                self.queue.append((self.now, sent_at, sender, envelope))
                continue
            if sender != name:
                process.last_heard_at = max(process.last_heard_at, sent_at)
            answers = process.member.receive(self.now, envelope.message)
            self._post(process, answers)

    def _find_member(self, address):
        return next(
            n for n, listed in self.addresses.items() if listed == address
        )

    def _note_informed(self):
        for name, process in self.running.items():
            register = process.member.register
            known = register.member_set.members.get(name)
            joined = known and known.identity == process.record.identity
            if joined and register.transition is not None:
                self.informed.setdefault(register.revision, set()).add(name)

    def check(self):
        """Check the invariants that hold at all times."""
        self._note_informed()
        for process in self._list_running():
            register = process.member.register
            newest = (process.views.newest, register.revision)
            assert newest[0] >= process.newest[0], 'configuration went back'
            assert newest[1] >= process.newest[1], 'member set went back'
            process.newest = newest
            self._check_isolation(process)

    def _check_isolation(self, process):
        silence = self.now - process.last_heard_at
        if silence <= TIMING.view_timeout or not process.newest[1]:
            return
        if len(process.member.register.member_set.members) > 1:
            assert not process.member.accepts_work(self.now), (
                f'{process.record.name} accepts work, cut off for {silence} s'
            )

    def check_settled(self):
        """Check the state that members converge to without changes."""
        for member_name, process in self.running.items():
            if process.paused:
                continue
            peers = [
                other
                for name, other in self.running.items()
                if self.partition[name] == self.partition[member_name]
                and not other.paused
            ]
            if any(self.reaches_store(other) for other in peers):
                self._check_current(process)
            else:
                self._check_without_store(process, peers)

    def _check_current(self, process):
        entry = self.core.get('config/shop', self.now)
        newest = entry.revision if entry else 0
        assert process.views.newest == newest, 'a change did not arrive'
        assert process.member.find_status(self.now) is Status.FRESH

    def _check_without_store(self, process, peers):
        register = process.member.register
        if not register.revision:
            return
        member_set = register.member_set
        names = {
            other.record.name
            for other in peers
            if other.member.register.revision
        }
        sets = [member_set.members]
        if member_set.intent is not None:
            sets.append(member_set.intent.target)
        serves = all(holds_majority(members, names) for members in sets)
        assert process.member.accepts_work(self.now) is serves, (
            f'{process.record.name}: {names} of {list(member_set.members)}'
        )
