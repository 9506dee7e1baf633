"""Replay of the policies that grant slots from queues."""

from bench.replay import MESSAGE_LATENCY, Replay
from bench.traces import ENTRIES, SLOTS, TARGETS
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.staticshares import StaticShares
from verbenapost.coordination.targets import Target
from verbenapost.protocol.slots import GrantSlot, ReleaseSlot, SlotRequest

#: Seconds between two ticks of a queue.
TICK_SECONDS = 0.05

#: Maximum number of requests that one batched grant may run.
BATCH_SIZE = 4

TARGET_NAMES = [f'vm-{index}' for index in range(TARGETS)]
ENTRY_NAMES = [f'e-{index}' for index in range(ENTRIES)]


def count_free(pool, now, long):
    """Return the number of free slots that a long or short run may use.

    :param pool: targets of a queue.
    :param now: virtual time in seconds.
    :param long: whether the run is long.
    """
    total = 0
    for slots, limit in pool.list_usable(now):
        free = limit - slots.busy
        allowed = limit - slots.reserve - slots.long_used
        total += max(min(free, allowed) if long else free, 0)
    return total


class SingleGrants(Replay):
    """All entries request slots from one queue; a grant runs one request.

    :param trace: requests in order of arrival.
    """

    message_latency = MESSAGE_LATENCY
    batch_size = 1

    def __init__(self, trace):
        super().__init__(trace)
        self.requests = {}
        self.waiting = [{} for _ in range(ENTRIES)]
        self.queues = self.make_queues()
        self.last_tick = trace[-1].arrived_at + 20
        self.tick()

    def make_queues(self):
        """Return the queue of each entry; all entries share one."""
        queue = ServiceQueue('booking')
        queue.set_targets(
            0, [Target(name, name, SLOTS) for name in TARGET_NAMES]
        )
        return [queue] * ENTRIES

    def tick(self):
        """Run a tick of every queue and schedule the next."""
        for queue in dict.fromkeys(self.queues):
            self.send(queue, queue.tick(self.now))
        if self.now < self.last_tick:
            self.schedule(self.now + TICK_SECONDS, self.tick)

    def arrive(self, request):
        """Send a slot request to the queue."""
        slot_request_id = str(request.number)
        self.requests[slot_request_id] = request
        self.waiting[request.entry][slot_request_id] = request
        self.schedule(
            self.now + self.message_latency, self.deliver_request, request
        )

    def deliver_request(self, request):
        """Deliver a slot request to the queue."""
        queue = self.queues[request.entry]
        message = SlotRequest(
            str(request.number),
            'booking',
            request.team,
            request.kind,
            request.urgency,
            request.deadline - self.now,
            entry=ENTRY_NAMES[request.entry],
        )
        self.send(queue, queue.request_slot(self.now, message))

    def send(self, queue, queue_messages):
        """Send the answers of a queue and record its free slots."""
        for queue_message in queue_messages:
            self.schedule(
                self.now + self.message_latency,
                self.receive,
                queue_message.message,
            )
        for long in (True, False):
            count = count_free(queue.pool, self.now, long)
            self.record_free((id(queue), long), count)

    def receive(self, message):
        """Start the run of a grant, or record a refusal."""
        request = self.requests[message.slot_request_id]
        waiting = self.waiting[request.entry]
        was_waiting = waiting.pop(message.slot_request_id, None) is not None
        if not isinstance(message, GrantSlot):
            if was_waiting:
                self.record_refusal(request)
        elif was_waiting:
            self.start_run(message, request, self.now, self.batch_size - 1)
        else:
            self.send_release(message, request, 'cancelled', 0)

    def start_run(self, grant, request, granted_at, remaining):
        """Send a request to the granted target.

        :param grant: grant that the request uses.
        :param request: request that starts.
        :param granted_at: time at which the grant arrived.
        :param remaining: requests that the grant may run after this one.
        """
        end = self.now + 2 * MESSAGE_LATENCY + request.run_time
        self.schedule(
            end, self.finish_run, grant, request, granted_at, remaining
        )

    def finish_run(self, grant, request, granted_at, remaining):
        """Answer a request and release or reuse its slot."""
        self.record_answer(request)
        expires_at = granted_at + grant.expires_in
        next_request = self.find_same_share(request) if remaining else None
        if (
            next_request is not None
            and self.now + 2 * request.run_time < expires_at
        ):
            self.waiting[request.entry].pop(str(next_request.number))
            self.schedule(
                self.now + self.message_latency,
                self.deliver_cancellation,
                next_request,
            )
            self.start_run(grant, next_request, granted_at, remaining - 1)
            return
        on_time = self.now <= request.deadline
        run_outcome = 'ok' if on_time else 'cancelled'
        self.send_release(grant, request, run_outcome, request.run_time)

    def find_same_share(self, request):
        """Return a waiting request of the same share, at least as urgent."""
        for other in self.waiting[request.entry].values():
            same_share = (
                other.team == request.team and other.kind == request.kind
            )
            if same_share and other.urgency <= request.urgency:
                return other
        return None

    def deliver_cancellation(self, request):
        """Deliver the cancellation of a slot request to the queue."""
        queue = self.queues[request.entry]
        self.send(queue, queue.cancel(self.now, str(request.number)))

    def send_release(self, grant, request, run_outcome, duration):
        """Send a release to the queue."""
        message = ReleaseSlot(
            grant.grant, grant.slot_request_id, run_outcome, duration
        )
        self.schedule(
            self.now + self.message_latency,
            self.deliver_release,
            message,
            request.entry,
        )

    def deliver_release(self, message, entry):
        """Deliver a release to the queue."""
        queue = self.queues[entry]
        self.send(queue, queue.release(self.now, message))


class BatchedGrants(SingleGrants):
    """A grant runs up to ``BATCH_SIZE`` requests of its entry and share."""

    batch_size = BATCH_SIZE


class StaticShareQueues(SingleGrants):
    """Each entry has a queue for its own share of the slots."""

    message_latency = 0

    def make_queues(self):
        """Return a separate queue for each entry."""
        return [self.make_queue(name) for name in ENTRY_NAMES]

    def make_queue(self, entry):
        """Return a queue for an entry's share of the slots."""
        queue = ServiceQueue('booking')
        shares = StaticShares(entry)
        shares.set_members(ENTRY_NAMES)
        parts = []
        for name in TARGET_NAMES:
            shares.set_targets([Target(name, name, SLOTS)])
            parts.append(Target(name, name, shares.count_slots()))
        queue.set_targets(0, [part for part in parts if part.slots])
        return queue
