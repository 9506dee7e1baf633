"""Replay of a trace in virtual time: the base of all policies."""

import dataclasses
import heapq
import itertools

#: One-way latency of a message, in seconds.
MESSAGE_LATENCY = 0.0005


@dataclasses.dataclass(slots=True)
class ReplayOutcome:
    """Outcome of the requests of a replay.

    :param latencies: seconds by request number, for complete answers before
        the deadline.
    :param refused: refused requests.
    :param free_spans: start and end of each span in which one slot was free,
        by queue and by whether the slot was free for long work.
    """

    latencies: dict = dataclasses.field(default_factory=dict)
    refused: list = dataclasses.field(default_factory=list)
    free_spans: dict = dataclasses.field(default_factory=dict)


class Replay:
    """Base of the policies: an event queue in virtual time.

    :param trace: requests in order of arrival.
    """

    def __init__(self, trace):
        self.trace = trace
        self.now = 0.0
        self.outcome = ReplayOutcome()
        self._heap = []
        self._sequence = itertools.count()
        self._free_since = {}

    def schedule(self, when, action, *arguments):
        """Call an action at a later time."""
        row = (when, next(self._sequence), action, arguments)
        heapq.heappush(self._heap, row)

    def run(self):
        """Replay the trace and return the outcome of its requests."""
        for request in self.trace:
            self.schedule(request.arrived_at, self.arrive, request)
        while self._heap:
            self.now, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        for key in tuple(self._free_since):
            self.record_free(key, 0)
        return self.outcome

    def arrive(self, request):
        """Handle the arrival of a request at its entry."""
        raise NotImplementedError

    def record_answer(self, request):
        """Record a complete answer unless the deadline has passed."""
        if self.now <= request.deadline:
            self.outcome.latencies[request.number] = (
                self.now - request.arrived_at
            )

    def record_refusal(self, request):
        """Record a refusal."""
        self.outcome.refused.append(request)

    def record_free(self, key, count):
        """Record the spans of time in which a slot was free.

        :param key: queue, and whether the slots are free for long work.
        :param count: slots that are free from now on.
        """
        since = self._free_since.setdefault(key, [])
        while len(since) < count:
            since.append(self.now)
        while len(since) > count:
            span = (since.pop(), self.now)
            self.outcome.free_spans.setdefault(key, []).append(span)
