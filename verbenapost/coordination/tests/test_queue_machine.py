"""Stateful property test of the service queue in virtual time."""

import dataclasses
from collections import Counter, defaultdict

from hypothesis import settings, strategies
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.targets import Target
from verbenapost.protocol.slots import (
    GrantSlot,
    ReleaseSlot,
    ReportSlots,
    RunningGrant,
    SlotRequest,
    pack_slot_request,
)

MEMBERS = ('e-1', 'e-2', 'e-3')
KINDS = {'counter': 0.02, 'visit': 0.1, 'ledger': 2.0}
NAMES = tuple(f'vm-{index}' for index in range(4))


@dataclasses.dataclass
class Held:
    """A grant in the state of the entry that holds the slot."""

    entry: str
    slot_request: SlotRequest
    message: GrantSlot
    granted_at: float
    reported: bool = False


class QueueMachine(RuleBasedStateMachine):
    """Entries that request, cancel, release, repeat and report slots.

    The messages may come in any order, also while targets leave and return
    and the queue owner is replaced.
    """

    slot_requests = Bundle('slot_requests')
    releases = Bundle('releases')

    @initialize(slots=strategies.integers(1, 4))
    def start(self, slots):
        self.now = 0.0
        self.sequence = 0
        self.slots = slots
        self.epoch = 1
        self.in_service = set(NAMES)
        self.leaving = set()
        self.generations = Counter()
        self.requests = {}
        self.epochs = {}
        self.answers = defaultdict(set)
        self.cancelled = set()
        self.held = {}
        self.queue = ServiceQueue('booking', 1, max_waiting=30)
        self.deliver(self.queue.set_targets(self.now, self.list_targets()))

    def list_targets(self):
        return [
            Target(name, name, self.slots, self.generations[name])
            for name in sorted(self.in_service)
        ]

    def deliver(self, queue_messages):
        for queue_message in queue_messages:
            message = queue_message.message
            slot_request = self.requests.get(
                getattr(message, 'slot_request_id', None)
            )
            if slot_request is None:
                continue
            assert queue_message.to == slot_request.entry
            self.answers[slot_request.slot_request_id].add(message)
            if isinstance(message, GrantSlot):
                self.accept(slot_request, message)

    def accept(self, slot_request, message):
        held = self.held.get(slot_request.slot_request_id)
        if held is not None:
            assert held.message == message
            return
        assert message.target in self.in_service
        assert message.target not in self.leaving
        health = self.queue.pool.outliers._health[message.target]
        assert health.suspended_until <= self.now
        assert slot_request.slot_request_id not in self.cancelled
        self.held[slot_request.slot_request_id] = Held(
            slot_request.entry, slot_request, message, self.now
        )

    @rule(
        target=slot_requests,
        entry=strategies.sampled_from(MEMBERS),
        team=strategies.sampled_from(('portal', 'crews')),
        kind=strategies.sampled_from(tuple(KINDS)),
        urgency=strategies.integers(0, 7),
        deadline=strategies.sampled_from((0.05, 1.0, 5.0, 40.0)),
        avoid=strategies.sampled_from(((), ('vm-0',), NAMES)),
    )
    def send_request(self, entry, team, kind, urgency, deadline, avoid):
        self.sequence += 1
        slot_request = SlotRequest(
            f'a{self.sequence}',
            'booking',
            team,
            kind,
            urgency,
            deadline,
            avoid=avoid,
            entry=entry,
        )
        self.requests[slot_request.slot_request_id] = slot_request
        self.epochs[slot_request.slot_request_id] = self.epoch
        self.deliver(self.queue.request_slot(self.now, slot_request))
        return slot_request

    @rule(
        count=strategies.integers(4, 24),
        kind=strategies.sampled_from(tuple(KINDS)),
    )
    def flood(self, count, kind):
        for number in range(count):
            entry = MEMBERS[number % len(MEMBERS)]
            self.send_request(entry, 'portal', kind, number % 8, 40.0, ())

    @rule(slot_request=slot_requests)
    def repeat_request(self, slot_request):
        if self.epochs[
            slot_request.slot_request_id
        ] == self.epoch or self.is_open(slot_request):
            self.deliver(self.queue.request_slot(self.now, slot_request))

    @rule(slot_request=slot_requests)
    def cancel(self, slot_request):
        self.cancelled.add(slot_request.slot_request_id)
        self.held.pop(slot_request.slot_request_id, None)
        self.deliver(self.queue.cancel(self.now, slot_request.slot_request_id))

    @rule()
    def cancel_before_the_request(self):
        slot_request_id = f'a{self.sequence + 1}'
        self.cancelled.add(slot_request_id)
        self.deliver(self.queue.cancel(self.now, slot_request_id))

    @rule(
        target=releases,
        index=strategies.integers(0, 30),
        outcome=strategies.sampled_from(
            ('ok', 'ok', 'ok', 'failed', 'refused', 'cancelled'),
        ),
    )
    def release(self, index, outcome):
        if not self.held:
            return None
        slot_request_id = sorted(self.held)[index % len(self.held)]
        held = self.held.pop(slot_request_id)
        message = ReleaseSlot(
            held.message.grant,
            slot_request_id,
            outcome,
            KINDS[held.slot_request.kind],
        )
        self.deliver(self.queue.release(self.now, message))
        return message

    @rule(message=releases)
    def repeat_release(self, message):
        if message is not None:
            self.deliver(self.queue.release(self.now, message))

    @rule(seconds=strategies.sampled_from((0.01, 0.3, 1.2, 6.0, 31.0)))
    def wait(self, seconds):
        self.now += seconds
        for slot_request_id, held in tuple(self.held.items()):
            if held.granted_at + held.message.expires_in <= self.now:
                self.expire(self.held.pop(slot_request_id))
        self.deliver(self.queue.tick(self.now))

    def expire(self, held):
        """End an expired run; release it if it was reported to the owner."""
        grant = held.message
        message = ReleaseSlot(
            grant.grant, grant.slot_request_id, 'cancelled', 1
        )
        if held.reported:
            self.deliver(self.queue.release(self.now, message))

    @rule(name=strategies.sampled_from(NAMES))
    def mark_leaving(self, name):
        self.leaving.add(name)
        self.deliver(self.queue.mark_leaving(self.now, name))

    @rule(name=strategies.sampled_from(NAMES))
    def lose_target(self, name):
        self.in_service.discard(name)
        self.leaving.discard(name)
        self.deliver(self.queue.set_targets(self.now, self.list_targets()))

    @rule(name=strategies.sampled_from(NAMES))
    def bring_back(self, name):
        self.in_service.add(name)
        self.leaving.discard(name)
        self.generations[name] += 1
        self.deliver(self.queue.set_targets(self.now, self.list_targets()))

    @rule()
    def replace_owner(self):
        """Replace the queue owner; each entry reports to the new one.

        The next identity is skipped: it may have been cancelled before its
        request, which the new owner does not know.
        """
        self.epoch += 1
        self.sequence += 1
        self.queue = ServiceQueue('booking', self.epoch, max_waiting=30)
        self.queue.start(self.now, MEMBERS)
        self.deliver(self.queue.set_targets(self.now, self.list_targets()))
        for name in sorted(self.leaving):
            self.deliver(self.queue.mark_leaving(self.now, name))
        for entry in MEMBERS:
            self.report_again(entry)

    @rule(entry=strategies.sampled_from(MEMBERS))
    def report_again(self, entry):
        self.deliver(self.queue.report(self.now, self.make_report(entry)))
        for held in self.held.values():
            if held.entry == entry:
                held.reported = True

    def make_report(self, entry):
        running = tuple(
            RunningGrant(
                held.message.grant,
                slot_request_id,
                held.message.target,
                held.slot_request.team,
                held.slot_request.kind,
                self.now - held.granted_at,
            )
            for slot_request_id, held in self.held.items()
            if held.entry == entry
        )
        waiting = tuple(
            pack_slot_request(slot_request)
            for slot_request in self.requests.values()
            if slot_request.entry == entry and self.is_open(slot_request)
        )
        return ReportSlots(entry, self.epoch, running, waiting)

    def is_open(self, slot_request):
        answered = bool(self.answers[slot_request.slot_request_id])
        return (
            not answered and slot_request.slot_request_id not in self.cancelled
        )

    @invariant()
    def no_target_has_more_grants_than_slots(self):
        used = Counter(row.message.target for row in self.held.values())
        assert all(count <= self.slots for count in used.values())

    @invariant()
    def the_owner_and_the_entries_agree_on_grants(self):
        counted = {grant.message.slot_request_id for grant in self.queue.grants}
        assert counted == set(self.held)
        busy = sum(slots.used for slots in self.queue.pool)
        assert busy == len(self.held)

    @invariant()
    def each_request_has_at_most_one_answer(self):
        assert all(len(rows) <= 1 for rows in self.answers.values())

    @invariant()
    def each_unanswered_request_waits(self):
        waiting = {
            slot_request.slot_request_id
            for slot_request in self.requests.values()
            if self.is_open(slot_request)
        }
        assert len(waiting) == self.queue.waiting

    @invariant()
    def no_slot_is_idle_while_a_request_fits(self):
        usable = self.queue.pool.list_usable(self.now)
        reserve = self.queue._runs.reserve
        for slot_request in self.requests.values():
            if self.is_open(slot_request) and not slot_request.avoid:
                long = reserve.is_long(self.now, slot_request.kind)
                assert not any(
                    slots.can_start(limit, long=long) for slots, limit in usable
                ), slot_request

    def teardown(self):
        if not hasattr(self, 'queue'):
            return
        for _ in range(3):
            self.wait(50)
        assert not self.queue.waiting
        assert not any(
            self.is_open(slot_request)
            for slot_request in self.requests.values()
        )


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)
