"""Replay of the policy by which entries choose targets without a queue."""

import random
from collections import deque

from bench.replay import MESSAGE_LATENCY, Replay
from bench.traces import ENTRIES, SLOTS, TARGETS

#: Maximum number of connections that one target accepts.
MAX_CONNECTIONS = 64


class PowerOfTwo(Replay):
    """Each entry sends to the less used of two random targets.

    :param trace: requests in order of arrival.
    """

    def __init__(self, trace):
        super().__init__(trace)
        self.rng = random.Random(len(trace))
        self.in_flight = [[0] * TARGETS for _ in range(ENTRIES)]
        self.running = [0] * TARGETS
        self.queues = [deque() for _ in range(TARGETS)]

    def arrive(self, request):
        """Send a request to the target with fewer requests in flight."""
        in_flight = self.in_flight[request.entry]
        pair = self.rng.sample(range(TARGETS), 2)
        target = min(pair, key=in_flight.__getitem__)
        in_flight[target] += 1
        self.schedule(self.now + MESSAGE_LATENCY, self.enqueue, request, target)

    def enqueue(self, request, target):
        """Queue a request at its target; refuse it if the target is full."""
        connections = self.running[target] + len(self.queues[target])
        if connections >= MAX_CONNECTIONS:
            self.in_flight[request.entry][target] -= 1
            self.record_refusal(request)
            return
        self.queues[target].append(request)
        self.start_runs(target)

    def start_runs(self, target):
        """Start queued requests while the target has free slots."""
        queue = self.queues[target]
        while queue and self.running[target] < SLOTS:
            request = queue.popleft()
            if self.now > request.deadline:
                self.in_flight[request.entry][target] -= 1
                self.record_refusal(request)
            else:
                self.running[target] += 1
                self.schedule(
                    self.now + request.run_time,
                    self.finish_run,
                    request,
                    target,
                )
        for long in (True, False):
            count = sum(SLOTS - used for used in self.running)
            self.record_free((0, long), count)

    def finish_run(self, request, target):
        """Free a slot of a target."""
        self.running[target] -= 1
        self.schedule(
            self.now + MESSAGE_LATENCY, self.deliver_answer, request, target
        )
        self.start_runs(target)

    def deliver_answer(self, request, target):
        """Deliver an answer to its entry."""
        self.in_flight[request.entry][target] -= 1
        self.record_answer(request)
