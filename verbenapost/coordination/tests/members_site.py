"""Members, a store and a network with faults, in virtual time."""

import dataclasses
import random

from standins.core import StoreCore
from verbenapost.coordination.contacts import Timing
from verbenapost.coordination.membership import Membership
from verbenapost.coordination.quorum import Status, holds_majority
from verbenapost.coordination.tests.sites import make_service
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
    """A daemon; it owns no clock and no socket."""

    record: MemberRecord
    views: object
    member: Membership
    lease: str = ''
    paused: bool = False
    holds: bool = False
    held: tuple = ()
    newest: tuple = (0, 0)
    news_at: float = -1e9


class Site:
    """All processes of a region and what connects them.

    :param names: names of the places.
    :param seed: seed of all chances.
    """

    def __init__(self, names, seed=0, loss=0.0, delay=0.2):
        self.now = 100.0
        self.core = StoreCore()
        self.chance = random.Random(seed)
        self.loss = loss
        self.delay = delay
        self.places = {name: f'10.0.0.{n}:1' for n, name in enumerate(names)}
        self.group = dict.fromkeys(names, 0)
        self.storeless = set()
        self.queue = []
        self.running = {}
        self.changed_at = self.now
        self.gone = set()
        self.knowers = {}
        for name in names:
            self.start(name)

    def start(self, name):
        """Start a process at a place, in stead of the one that ran there."""
        identity = f'{self.chance.getrandbits(64):x}'
        record = MemberRecord(
            name, identity, self.places[name], region='region'
        )
        views, _ = make_service(self.core, lambda: self.now, identity)
        seeds = tuple(self.places.values())
        member = Membership(record, views, TIMING, seeds)
        self.running[name] = Process(record, views, member)
        self.changed_at = self.now

    def change(self):
        """Note that the network or the store has changed."""
        self.changed_at = self.now

    def split(self, names):
        """Cut the named members off from the others."""
        self.group = {name: int(name in names) for name in self.places}
        self.change()

    def list_vms(self, names):
        """Show the platform's list of live VMs to all processes."""
        self.gone = set(self.places) - set(names)
        for process in self.running.values():
            process.member.register.adopt_gone(self.gone)

    def apply(self, slots):
        """Put a document in force in the store."""
        entry = self.core.get('config/shop', self.now)
        document = {'services': {'counter': {'pool': 'c', 'slots': slots}}}
        value = pack_record(ConfigurationRecord(document))
        expected = entry.revision if entry else 0
        self.core.swap('config/shop', expected, value, now=self.now)
        self.change()

    def advance(self, seconds):
        """Let time pass and check the promises after each step."""
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
            if process.member.begin_contact(self.now):
                self._contact(process)
        self._post(process, process.member.tick(self.now))

    def _flush(self, process):
        if process.held and not process.holds:
            self._write(process, *process.held)
            process.held = ()

    def _contact(self, process):
        member = process.member
        self._show_life(process)
        listing = self.core.list_prefix('config/', self.now)
        process.views.adopt(Listing(listing.entries, listing.revision))
        entry = self.core.get(SET_KEY, self.now)
        if entry is not None:
            self._adopt(process, entry.revision, unpack_set(entry.value))
        member.confirm_store(self.now)
        process.news_at = self.now
        alive = {}
        for row in self.core.list_prefix('alive/', self.now).entries:
            record = unpack_member(row.value)
            alive[record.name] = dataclasses.replace(record, since=row.revision)
        write = member.register.plan(self.now, alive)
        if write is None:
            return
        if process.holds:
            process.held = process.held or (write, alive)
        else:
            self._write(process, write, alive)

    def _show_life(self, process):
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
        """A change is made by a majority that shares a member with all."""
        self._note_knowers()
        knowers = self.knowers.get(revision, set())
        counted = {
            name
            for name, record in before.members.items()
            if name not in alive or alive[name].identity == record.identity
        } - self.gone
        assert holds_majority(counted, knowers), 'no majority knew the change'
        for process in self._list_running():
            register = process.member.register
            if register.revision >= revision:
                continue
            if process.member.find_status(self.now) is not Status.OUTAGE:
                continue
            touched = {
                name
                for name in register.list_touched(self.now)
                if name in register.member_set.members
                and name in self.running
                and self.running[name].record.identity
                == register.member_set.members[name].identity
            }
            assert not holds_majority(register.member_set.members, touched), (
                f'{process.record.name} goes on with an earlier majority'
            )

    def _list_running(self):
        return [one for one in self.running.values() if not one.paused]

    def _post(self, process, envelopes):
        for envelope in envelopes:
            copies = self.chance.choice((1, 1, 1, 2)) if self.loss else 1
            for _ in range(copies):
                if self.chance.random() >= self.loss:
                    self._send(process, envelope)

    def _send(self, process, envelope):
        # Some messages are held up for much longer than the view timeout.
        late = self.loss and self.chance.random() < 0.02
        delay = self.chance.random() * (60 if late else self.delay)
        row = (self.now + delay, self.now, process.record.name, envelope)
        self.queue.append(row)

    def _deliver(self):
        due = [row for row in self.queue if row[0] <= self.now]
        self.queue = [row for row in self.queue if row[0] > self.now]
        self.chance.shuffle(due)
        for _, sent_at, sender, envelope in due:
            name = self._find_name(envelope.address)
            process = self.running.get(name)
            if process is None or self.group[sender] != self.group[name]:
                continue
            if process.paused:
                self.queue.append((self.now, sent_at, sender, envelope))
                continue
            if sender != name:
                process.news_at = max(process.news_at, sent_at)
            answers = process.member.receive(self.now, envelope.message)
            self._post(process, answers)

    def _find_name(self, address):
        return next(n for n, place in self.places.items() if place == address)

    def _note_knowers(self):
        for name, process in self.running.items():
            register = process.member.register
            known = register.member_set.members.get(name)
            joined = known and known.identity == process.record.identity
            if joined and register.changeover is not None:
                self.knowers.setdefault(register.revision, set()).add(name)

    def check(self):
        """Check what holds at every moment."""
        self._note_knowers()
        for process in self._list_running():
            register = process.member.register
            newest = (process.views.newest, register.revision)
            assert newest[0] >= process.newest[0], 'configuration went back'
            assert newest[1] >= process.newest[1], 'member set went back'
            process.newest = newest
            self._check_isolation(process)

    def _check_isolation(self, process):
        silent = self.now - process.news_at
        if silent <= TIMING.view_timeout or not process.newest[1]:
            return
        if len(process.member.register.member_set.members) > 1:
            assert not process.member.takes_work(self.now), (
                f'{process.record.name} takes work, silent for {silent} s'
            )

    def check_settled(self):
        """Check what holds once nothing has changed for long enough."""
        for place, process in self.running.items():
            if process.paused:
                continue
            peers = [
                other
                for name, other in self.running.items()
                if self.group[name] == self.group[place] and not other.paused
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
        assert process.member.takes_work(self.now) is serves, (
            f'{process.record.name}: {names} of {list(member_set.members)}'
        )
