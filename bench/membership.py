"""Cost of membership and propagation of changes, in virtual time.

Run with ``python -m bench.membership``.
"""

import heapq
import itertools
import json
import pathlib
import random
import statistics
from collections import Counter

from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.contacts import Timing
from verbenapost.coordination.documents import Clocks
from verbenapost.coordination.membership import Membership
from verbenapost.coordination.pacing import (
    get_renewal_interval,
    get_watch_timeout,
)
from verbenapost.coordination.writes import ResolvingWriter
from verbenapost.protocol import codec
from verbenapost.protocol.store import Listing
from verbenapost.state.configuration import (
    ConfigurationRecord,
    pack_record,
)
from verbenapost.state.members import MemberRecord, MemberSet

#: Measured numbers of members.
SIZES = (7, 50, 100, 200)

#: Latency of a message, in seconds.
MESSAGE_LATENCY = 0.001

#: Virtual seconds before the measurement starts.
WARM_UP_SECONDS = 10.0

#: Duration of a measurement, in virtual seconds.
MEASURED_SECONDS = 10.0

#: Duration for the full mesh, in virtual seconds; its cost grows with the
#: square of the number of members.
MEASURED_MESH_SECONDS = 1.0

#: Number of changes whose propagation is measured.
CHANGES = 10

RESULTS = pathlib.Path(__file__).parent / 'results' / 'membership.json'


class FullMesh:
    """Peer selection of the baseline: all other members in each round.

    :param names: names of all members.
    """

    def __init__(self, names):
        self._names = tuple(names)

    def pick_peers(self, name, turn):
        """Return all other members."""
        return tuple(other for other in self._names if other != name)


class Fleet:
    """Simulated members that exchange messages without loss.

    :param size: number of members.
    :param mesh: whether each member contacts all others in each round.
    """

    def __init__(self, size, *, mesh=False):
        self.now = 0.0
        self.core = StoreCore()
        self.sent_bytes = Counter()
        self.messages = Counter()
        self.calls = Counter()
        self.adopted = {}
        self._size = size
        self._sequence = itertools.count()
        self._events = []
        self._rng = random.Random(size)
        records = {
            f'member-{number:03d}': MemberRecord(
                f'member-{number:03d}',
                f'{number:016x}',
                f'10.0.{number // 250}.{number % 250 + 1}:7000',
                region='region',
            )
            for number in range(size)
        }
        self._names = {row.address: name for name, row in records.items()}
        self.apply()
        self.configurations = {}
        self.members = {}
        for name, record in records.items():
            self._start(name, record, MemberSet(records), mesh)

    def _start(self, name, record, member_set, mesh):
        store = MemoryStore(self.core, self._get_now)
        writer = ResolvingWriter(store, self._get_now, self._rng)
        clocks = Clocks(self._get_now, self._get_now)
        configuration = ConfigurationService(
            store, record.identity, writer, clocks
        )
        member = Membership(record, configuration, Timing())
        member.register.adopt(1, member_set, 0)
        if mesh:
            member._ring = FullMesh(member_set.members)  # noqa: SLF001
            member._ring_revision = 1  # noqa: SLF001
        self.configurations[name] = configuration
        self.members[name] = member
        self._check_store(name)
        interval = Timing().interval
        self._schedule(self._rng.random() * interval, self._tick, name)
        renewal = get_renewal_interval(self._size)
        self._schedule(self._rng.random() * renewal, self._renew, name)
        for _ in ('config/', 'members/'):
            timeout = get_watch_timeout(self._size)
            self._schedule(self._rng.random() * timeout, self._watch, name)

    def apply(self):
        """Store a changed document and return its revision."""
        slots = self.core.revision + 1
        document = {'services': {'counter': {'pool': 'c', 'slots': slots}}}
        entry = self.core.get('config/shop', self.now)
        expected = entry.revision if entry else 0
        value = pack_record(ConfigurationRecord(document))
        self.core.swap('config/shop', expected, value, now=self.now)
        return self.core.revision

    def run(self, seconds):
        """Process the events of the next virtual seconds."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action, argument = heapq.heappop(self._events)
            action(argument)
        self.now = end

    def count_applied(self, revision):
        """Return the number of members that have applied a revision."""
        return sum(
            service.applied >= revision
            for service in self.configurations.values()
        )

    def _get_now(self):
        return self.now

    def _schedule(self, delay, action, argument):
        row = (self.now + delay, next(self._sequence), action, argument)
        heapq.heappush(self._events, row)

    def _tick(self, name):
        member = self.members[name]
        if member.begin_store_check(self.now):
            self._check_store(name)
        self._send(member.tick(self.now))
        self._schedule(Timing().interval, self._tick, name)

    def _renew(self, name):
        self.calls['renew'] += 1
        self._schedule(get_renewal_interval(self._size), self._renew, name)

    def _watch(self, name):
        self.calls['watch'] += 1
        self._schedule(get_watch_timeout(self._size), self._watch, name)

    def _check_store(self, name):
        self.calls['confirm'] += 2
        listing = self.core.list_prefix('config/', self.now)
        self.configurations[name].adopt(
            Listing(listing.entries, listing.revision)
        )
        self.members[name].note_store_confirmation(self.now)

    def _send(self, envelopes):
        for envelope in envelopes:
            kind = type(envelope.message).__name__
            self.messages[kind] += 1
            self.sent_bytes[kind] += len(codec.encode(envelope.message))
            self._schedule(MESSAGE_LATENCY, self._deliver, envelope)

    def _deliver(self, envelope):
        member = self.members[self._names[envelope.address]]
        self._send(member.receive(self.now, envelope.message))


def measure_cost(size, *, mesh):
    """Return the bytes and messages that one member sends per second.

    :param size: number of members.
    :param mesh: whether each member contacts all others in each round.
    """
    fleet = Fleet(size, mesh=mesh)
    seconds = MEASURED_MESH_SECONDS if mesh else MEASURED_SECONDS
    fleet.run(1 if mesh else WARM_UP_SECONDS)
    fleet.sent_bytes.clear()
    fleet.messages.clear()
    fleet.run(seconds)
    member_seconds = size * seconds
    return {
        'members': size,
        'bytes_sent_a_second': round(
            fleet.sent_bytes.total() / member_seconds, 1
        ),
        'messages_sent_a_second': round(
            fleet.messages.total() / member_seconds, 2
        ),
    }


def measure_calls(size):
    """Return the store calls per second of an idle fleet."""
    fleet = Fleet(size)
    fleet.run(WARM_UP_SECONDS)
    fleet.calls.clear()
    seconds = MEASURED_SECONDS * 4
    fleet.run(seconds)
    rates = {kind: calls / seconds for kind, calls in fleet.calls.items()}
    return {
        'members': size,
        'fleet': round(sum(rates.values()), 2),
        'one_daemon': round(sum(rates.values()) / size, 3),
        'by_kind': {kind: round(rate, 2) for kind, rate in rates.items()},
        'fresh': sum(
            member.find_status(fleet.now).value == 'fresh'
            for member in fleet.members.values()
        ),
        'seen_live_by_one': min(
            len(member.list_live(fleet.now))
            for member in fleet.members.values()
        ),
    }


def measure_propagation(size):
    """Return the seconds until all members have applied a change.

    Members learn of the change from their peers alone, not from a watch.

    :param size: number of members.
    """
    fleet = Fleet(size)
    fleet.run(WARM_UP_SECONDS)
    durations = []
    for _ in range(CHANGES):
        fleet.run(fleet._rng.random())  # noqa: SLF001
        started = fleet.now
        revision = fleet.apply()
        while fleet.count_applied(revision) < size:
            fleet.run(0.01)
        durations.append(fleet.now - started)
        fleet.run(1)
    return {
        'members': size,
        'changes': CHANGES,
        'median_seconds': round(statistics.median(durations), 2),
        'worst_seconds': round(max(durations), 2),
    }


def main():
    """Measure and write the results."""
    results = {
        'bounded_peers': [measure_cost(size, mesh=False) for size in SIZES],
        'full_mesh': [measure_cost(size, mesh=True) for size in SIZES],
        'store_calls_idle': [measure_calls(size) for size in SIZES],
        'spread_without_watches': [measure_propagation(size) for size in SIZES],
    }
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=1) + '\n')
    print(json.dumps(results, indent=1))


if __name__ == '__main__':
    main()
