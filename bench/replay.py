"""Replay of a trace against the decision objects in virtual time."""

import dataclasses
import heapq
import itertools
import random
from collections import deque

from bench.traces import ENTRIES, SLOTS, TARGETS
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.staticshares import StaticShares
from verbenapost.coordination.targets import Target
from verbenapost.protocol.slots import AskSlot, GrantSlot, ReleaseSlot

#: Seconds that a message takes one way.
HOP = 0.0005

#: Seconds between two ticks of a queue.
TICK = 0.05

#: Requests that one batched grant may run.
BATCH = 4

#: Connections that one target accepts.
CONNECTIONS = 64

NAMES = [f'vm-{index}' for index in range(TARGETS)]
ENTRY_NAMES = [f'e-{index}' for index in range(ENTRIES)]


@dataclasses.dataclass(slots=True)
class Ends:
    """How each request of a replay ended.

    :param latency: seconds by request, for whole answers in time.
    :param refused: requests that got a refusal.
    :param free: spans in which one slot was free, by queue and class.
    """

    latency: dict = dataclasses.field(default_factory=dict)
    refused: list = dataclasses.field(default_factory=list)
    free: dict = dataclasses.field(default_factory=dict)


class Replay:
    """Event heap that the policies share."""

    def __init__(self, trace):
        self.trace = trace
        self.now = 0.0
        self.ends = Ends()
        self._heap = []
        self._order = itertools.count()
        self._free_since = {}

    def at(self, when, action, *arguments):
        """Call an action at a later time."""
        row = (when, next(self._order), action, arguments)
        heapq.heappush(self._heap, row)

    def run(self):
        """Replay the trace and return how its requests ended."""
        for request in self.trace:
            self.at(request.at, self.arrive, request)
        while self._heap:
            self.now, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        for key in tuple(self._free_since):
            self.note_free(key, 0)
        return self.ends

    def arrive(self, request):
        """Take a request in at its entry."""
        raise NotImplementedError

    def answer(self, request):
        """Count a whole answer unless the caller has gone."""
        if self.now <= request.deadline:
            self.ends.latency[request.number] = self.now - request.at

    def refuse(self, request):
        """Count a refusal."""
        self.ends.refused.append(request)

    def note_free(self, key, count):
        """Keep the spans of time in which a slot was free.

        :param key: queue, and whether the slots are free for long work.
        :param count: slots that are free from now on.
        """
        since = self._free_since.setdefault(key, [])
        while len(since) < count:
            since.append(self.now)
        while len(since) > count:
            span = (since.pop(), self.now)
            self.ends.free.setdefault(key, []).append(span)


def count_free(pool, now, long):
    """Return the free slots that a long or short run may take."""
    total = 0
    for slots, limit in pool.list_usable(now):
        free = limit - slots.busy
        allowed = limit - slots.reserve - slots.long_used
        total += max(min(free, allowed) if long else free, 0)
    return total


class AskGrant(Replay):
    """One queue owner; a grant runs one request."""

    hop = HOP
    batch = 1

    def __init__(self, trace):
        super().__init__(trace)
        self.requests = {}
        self.waiting = [{} for _ in range(ENTRIES)]
        self.queues = self.make_queues()
        self.last = trace[-1].at + 20
        self.tick()

    def make_queues(self):
        """Return the queue that each entry asks."""
        queue = ServiceQueue('booking')
        queue.set_targets(0, [Target(name, name, SLOTS) for name in NAMES])
        return [queue] * ENTRIES

    def tick(self):
        """Let time pass at every queue."""
        for queue in dict.fromkeys(self.queues):
            self.send(queue, queue.tick(self.now))
        if self.now < self.last:
            self.at(self.now + TICK, self.tick)

    def arrive(self, request):
        """Send an ask to the queue."""
        ask_id = str(request.number)
        self.requests[ask_id] = request
        self.waiting[request.entry][ask_id] = request
        self.at(self.now + self.hop, self.ask, request)

    def ask(self, request):
        """Deliver an ask to the queue."""
        queue = self.queues[request.entry]
        message = AskSlot(
            str(request.number),
            'booking',
            request.team,
            request.kind,
            request.urgency,
            request.deadline - self.now,
            entry=ENTRY_NAMES[request.entry],
        )
        self.send(queue, queue.ask(self.now, message))

    def send(self, queue, envelopes):
        """Send answers of a queue and note its free slots."""
        for envelope in envelopes:
            self.at(self.now + self.hop, self.receive, envelope.message)
        for long in (True, False):
            count = count_free(queue.pool, self.now, long)
            self.note_free((id(queue), long), count)

    def receive(self, message):
        """Use a grant or pass a refusal on."""
        request = self.requests[message.ask_id]
        waiting = self.waiting[request.entry]
        known = waiting.pop(message.ask_id, None) is not None
        if not isinstance(message, GrantSlot):
            if known:
                self.refuse(request)
        elif known:
            self.begin(message, request, self.now, self.batch - 1)
        else:
            self.release(message, request, 'cancelled', 0)

    def begin(self, grant, request, granted_at, left):
        """Send a request to the granted target."""
        end = self.now + 2 * HOP + request.run
        self.at(end, self.end, grant, request, granted_at, left)

    def end(self, grant, request, granted_at, left):
        """Answer a request and free or reuse its slot."""
        self.answer(request)
        expires_at = granted_at + grant.expires_in
        following = self.find_alike(request) if left else None
        if following is not None and self.now + 2 * request.run < expires_at:
            self.waiting[request.entry].pop(str(following.number))
            self.at(self.now + self.hop, self.cancel, following)
            self.begin(grant, following, granted_at, left - 1)
            return
        on_time = self.now <= request.deadline
        verdict = 'ok' if on_time else 'cancelled'
        self.release(grant, request, verdict, request.run)

    def find_alike(self, request):
        """Return a waiting request of the same share and urgency."""
        for other in self.waiting[request.entry].values():
            same = other.team == request.team and other.kind == request.kind
            if same and other.urgency <= request.urgency:
                return other
        return None

    def cancel(self, request):
        """Deliver the cancellation of an ask."""
        queue = self.queues[request.entry]
        self.send(queue, queue.cancel(self.now, str(request.number)))

    def release(self, grant, request, verdict, run_time):
        """Send a release to the queue."""
        message = ReleaseSlot(grant.grant, grant.ask_id, verdict, run_time)
        self.at(self.now + self.hop, self.free, message, request.entry)

    def free(self, message, entry):
        """Deliver a release to the queue."""
        queue = self.queues[entry]
        self.send(queue, queue.release(self.now, message))


class Batched(AskGrant):
    """A grant runs up to ``BATCH`` requests of its entry and share."""

    batch = BATCH


class Static(AskGrant):
    """Each entry queues for its own part of the slots."""

    hop = 0

    def make_queues(self):
        """Return a queue for each entry."""
        return [self.make_queue(name) for name in ENTRY_NAMES]

    def make_queue(self, entry):
        """Return a queue over an entry's part of the slots."""
        queue = ServiceQueue('booking')
        shares = StaticShares(entry)
        shares.set_members(ENTRY_NAMES)
        parts = []
        for name in NAMES:
            shares.set_targets([Target(name, name, SLOTS)])
            parts.append(Target(name, name, shares.count_slots()))
        queue.set_targets(0, [part for part in parts if part.slots])
        return queue


class PowerOfTwo(Replay):
    """Each entry sends to the less used of two random targets."""

    def __init__(self, trace):
        super().__init__(trace)
        self.choices = random.Random(len(trace))
        self.sent = [[0] * TARGETS for _ in range(ENTRIES)]
        self.running = [0] * TARGETS
        self.queues = [deque() for _ in range(TARGETS)]

    def arrive(self, request):
        """Send a request to the less used of two targets."""
        sent = self.sent[request.entry]
        pair = self.choices.sample(range(TARGETS), 2)
        target = min(pair, key=sent.__getitem__)
        sent[target] += 1
        self.at(self.now + HOP, self.accept, request, target)

    def accept(self, request, target):
        """Queue a request at its target."""
        held = self.running[target] + len(self.queues[target])
        if held >= CONNECTIONS:
            self.sent[request.entry][target] -= 1
            self.refuse(request)
            return
        self.queues[target].append(request)
        self.begin(target)

    def begin(self, target):
        """Start what fits at a target."""
        queue = self.queues[target]
        while queue and self.running[target] < SLOTS:
            request = queue.popleft()
            if self.now > request.deadline:
                self.sent[request.entry][target] -= 1
                self.refuse(request)
            else:
                self.running[target] += 1
                self.at(self.now + request.run, self.end, request, target)
        for long in (True, False):
            count = sum(SLOTS - used for used in self.running)
            self.note_free((0, long), count)

    def end(self, request, target):
        """Free a slot of a target."""
        self.running[target] -= 1
        self.at(self.now + HOP, self.finish, request, target)
        self.begin(target)

    def finish(self, request, target):
        """Deliver an answer to its entry."""
        self.sent[request.entry][target] -= 1
        self.answer(request)


POLICIES = {
    'power_of_two': PowerOfTwo,
    'static_shares': Static,
    'ask_grant': AskGrant,
    'batched_grants': Batched,
}
