"""Slot requests that wait in the share of one team and kind of work."""

import dataclasses
import itertools
from collections import deque
from collections.abc import Iterator
from typing import final

from verbenapost.protocol.slots import LEAST_URGENT, MOST_URGENT, SlotRequest

#: Slot requests of one share that are considered for one free slot.
LOOK_AHEAD = 8

#: Dead (cancelled or answered) entries that a queue or heap may hold beyond
#: the number of its live entries before it is compacted.
COMPACTION_MARGIN = 16

#: Arrival buckets into which the time limit of a request is divided.
BUCKETS_PER_TIMEOUT = 64

_LEVELS = LEAST_URGENT + 1

ShareKey = tuple[str, str]


@final
@dataclasses.dataclass(slots=True, eq=False)
class ArrivalBucket:
    """Count of the requests of one level that arrived close together.

    :param first_arrival: arrival of the first request, monotonic seconds.
    :param deadline: latest deadline of the requests, monotonic seconds.
    :param live: requests that still wait.
    """

    first_arrival: float
    deadline: float
    live: int = 0


@final
@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A slot request in the queue.

    :param slot_request: message of the slot request.
    :param share: share in which the request waits.
    :param arrived: time of arrival, monotonic seconds.
    :param deadline: time at which the caller gives up, monotonic seconds.
    :param live: cleared when the request is answered or cancelled.
    :param arrival_bucket: bucket that counts the request, set when the
        request is queued.
    """

    slot_request: SlotRequest
    share: 'Share'
    arrived: float
    deadline: float
    live: bool = True
    arrival_bucket: ArrivalBucket | None = None

    @property
    def level(self) -> int:
        """Return the urgency, limited to the range of RFC 9218."""
        return min(max(self.slot_request.urgency, MOST_URGENT), LEAST_URGENT)


@final
class _Level:
    """First-in first-out queue of one urgency with lazy deletion."""

    def __init__(self) -> None:
        self.live = 0
        self._entries: deque[QueuedRequest] = deque()
        self._buckets: deque[ArrivalBucket] = deque()

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, queued: QueuedRequest) -> None:
        self.live += 1
        self._entries.append(queued)
        queued.arrival_bucket = self._find_bucket(queued)
        queued.arrival_bucket.deadline = max(
            queued.arrival_bucket.deadline, queued.deadline
        )
        queued.arrival_bucket.live += 1

    def discard(self, queued: QueuedRequest) -> None:
        """Count one entry as dead; compact when most entries are dead."""
        self.live -= 1
        if queued.arrival_bucket is not None:
            queued.arrival_bucket.live -= 1
        if len(self._entries) > 2 * self.live + COMPACTION_MARGIN:
            self._entries = deque(
                entry for entry in self._entries if entry.live
            )

    def estimate_wait(
        self, now: float, grant_interval: float, wait: float
    ) -> float:
        """Return the wait behind all requests that can still be served.

        Requests of a bucket count only as far as they can start before the
        deadline of the bucket; the rest are refused without using a slot.
        """
        while self._buckets and not self._buckets[0].live:
            self._buckets.popleft()
        for bucket in self._buckets:
            served = min(
                wait + bucket.live * grant_interval, bucket.deadline - now
            )
            wait = max(wait, served)
        return wait

    def walk(self) -> Iterator[QueuedRequest]:
        """Yield live entries, oldest first."""
        while self._entries and not self._entries[0].live:
            self._entries.popleft()
        for entry in self._entries:
            if entry.live:
                yield entry

    def get_newest(self) -> QueuedRequest | None:
        """Return the live entry that arrived last."""
        while self._entries and not self._entries[-1].live:
            self._entries.pop()
        return self._entries[-1] if self._entries else None

    def _find_bucket(self, queued: QueuedRequest) -> ArrivalBucket:
        width = (queued.deadline - queued.arrived) / BUCKETS_PER_TIMEOUT
        last = self._buckets[-1] if self._buckets else None
        full = len(self._buckets) >= 2 * BUCKETS_PER_TIMEOUT
        if last and (full or queued.arrived - last.first_arrival < width):
            return last
        self._buckets.append(ArrivalBucket(queued.arrived, queued.deadline))
        return self._buckets[-1]


@final
class Share:
    """Queue of one team and kind of work, most urgent requests first.

    :param key: team and kind.
    :param weight: weight in fair queueing.
    """

    def __init__(self, key: ShareKey, weight: float) -> None:
        self.key = key
        self.weight = weight
        self.start_tag: float = 0
        self.heap_version = 0
        self.running = 0
        self.waiting = 0
        self._levels = [_Level() for _ in range(_LEVELS)]

    @property
    def team(self) -> str:
        """Return the team of the share."""
        return self.key[0]

    @property
    def kind(self) -> str:
        """Return the kind of work of the share."""
        return self.key[1]

    @property
    def entries(self) -> int:
        """Return the number of stored entries, dead ones included."""
        return sum(len(level) for level in self._levels)

    def push(self, queued: QueuedRequest) -> None:
        """Append a request to the level of its urgency."""
        self.waiting += 1
        self._levels[queued.level].push(queued)

    def discard(self, queued: QueuedRequest) -> None:
        """Remove a request in amortised constant time."""
        if queued.live:
            queued.live = False
            self.waiting -= 1
            self._levels[queued.level].discard(queued)

    def estimate_wait(
        self, now: float, level: int, grant_interval: float
    ) -> float:
        """Return the shortest possible wait of a new request, in seconds.

        :param level: urgency of the request.
        :param grant_interval: shortest seconds between two grants.
        """
        wait: float = 0
        for ahead in self._levels[: level + 1]:
            wait = ahead.estimate_wait(now, grant_interval, wait)
        return wait

    def peek(self) -> Iterator[QueuedRequest]:
        """Yield the first live requests in the order of service."""
        live_entries = itertools.chain.from_iterable(
            level.walk() for level in self._levels if level.live
        )
        return itertools.islice(live_entries, LOOK_AHEAD)

    def find_newest(self, level: int) -> QueuedRequest | None:
        """Return the request of a level that arrived last."""
        return self._levels[level].get_newest()

    def find_least_urgent(self) -> QueuedRequest | None:
        """Return the newest of the least urgent requests."""
        for level in reversed(self._levels):
            if level.live:
                return level.get_newest()
        return None
