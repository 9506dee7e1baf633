"""Asks that wait in the share of one team and kind of work."""

import dataclasses
import itertools
from collections import deque
from collections.abc import Iterator
from typing import final

from verbenapost.protocol.slots import LEAST_URGENT, MOST_URGENT, AskSlot

#: Asks of one share that are looked at for one free slot.
LOOK_AHEAD = 8

#: Dead entries that a level may hold beyond its live ones.
DEAD_MARGIN = 16

#: Slices into which the asks of one time limit are counted.
SLICES = 64

_LEVELS = LEAST_URGENT + 1

ShareKey = tuple[str, str]


@final
@dataclasses.dataclass(slots=True, eq=False)
class Slice:
    """Asks of one level that came within a short time.

    :param begin: arrival of the first, monotonic seconds.
    :param deadline: latest deadline, monotonic seconds.
    :param live: asks that still wait.
    """

    begin: float
    deadline: float
    live: int = 0


@final
@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """An ask in the queue.

    :param ask: the ask.
    :param share: share that it waits in.
    :param arrived: time of arrival, monotonic seconds.
    :param deadline: time at which the caller gives up, monotonic seconds.
    :param live: cleared when the ask is answered or cancelled.
    :param slice: slice that counts it, once it waits.
    """

    ask: AskSlot
    share: 'Share'
    arrived: float
    deadline: float
    live: bool = True
    slice: Slice | None = None

    @property
    def level(self) -> int:
        """Return the urgency within the range of RFC 9218."""
        return min(max(self.ask.urgency, MOST_URGENT), LEAST_URGENT)


@final
class _Level:
    """First-in first-out queue with constant-time deletion."""

    def __init__(self) -> None:
        self.live = 0
        self._rows: deque[Waiting] = deque()
        self._slices: deque[Slice] = deque()

    def __len__(self) -> int:
        return len(self._rows)

    def push(self, waiting: Waiting) -> None:
        self.live += 1
        self._rows.append(waiting)
        waiting.slice = self._find_slice(waiting)
        waiting.slice.deadline = max(waiting.slice.deadline, waiting.deadline)
        waiting.slice.live += 1

    def discard(self, waiting: Waiting) -> None:
        """Count one entry as dead; drop the dead when they prevail."""
        self.live -= 1
        if waiting.slice is not None:
            waiting.slice.live -= 1
        if len(self._rows) > 2 * self.live + DEAD_MARGIN:
            self._rows = deque(row for row in self._rows if row.live)

    def estimate_wait(self, now: float, pace: float, wait: float) -> float:
        """Return the wait behind all asks that can still be served.

        Of a slice no more are counted than fit before its deadline; the
        rest will be refused without the use of a slot.
        """
        while self._slices and not self._slices[0].live:
            self._slices.popleft()
        for part in self._slices:
            served = min(wait + part.live * pace, part.deadline - now)
            wait = max(wait, served)
        return wait

    def walk(self) -> Iterator[Waiting]:
        """Yield live entries, oldest first."""
        while self._rows and not self._rows[0].live:
            self._rows.popleft()
        for row in self._rows:
            if row.live:
                yield row

    def newest(self) -> Waiting | None:
        """Return the live entry that came last."""
        while self._rows and not self._rows[-1].live:
            self._rows.pop()
        return self._rows[-1] if self._rows else None

    def _find_slice(self, waiting: Waiting) -> Slice:
        width = (waiting.deadline - waiting.arrived) / SLICES
        last = self._slices[-1] if self._slices else None
        full = len(self._slices) >= 2 * SLICES
        if last and (full or waiting.arrived - last.begin < width):
            return last
        self._slices.append(Slice(waiting.arrived, waiting.deadline))
        return self._slices[-1]


@final
class Share:
    """Queue of one team and kind, most urgent first."""

    def __init__(self, key: ShareKey, weight: float) -> None:
        self.key = key
        self.weight = weight
        self.tag: float = 0
        self.stamp = 0
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
        """Return the entries held, dead ones included."""
        return sum(len(level) for level in self._levels)

    def push(self, waiting: Waiting) -> None:
        """Add an ask behind those of the same urgency."""
        self.waiting += 1
        self._levels[waiting.level].push(waiting)

    def discard(self, waiting: Waiting) -> None:
        """Take an ask out in constant time."""
        if waiting.live:
            waiting.live = False
            self.waiting -= 1
            self._levels[waiting.level].discard(waiting)

    def estimate_wait(self, now: float, level: int, pace: float) -> float:
        """Return the shortest wait of a new ask, in seconds.

        :param level: urgency of the ask.
        :param pace: seconds between two grants at the best.
        """
        wait: float = 0
        for ahead in self._levels[: level + 1]:
            wait = ahead.estimate_wait(now, pace, wait)
        return wait

    def peek(self) -> Iterator[Waiting]:
        """Yield the first live asks in order of service."""
        rows = itertools.chain.from_iterable(
            level.walk() for level in self._levels if level.live
        )
        return itertools.islice(rows, LOOK_AHEAD)

    def find_newest(self, level: int) -> Waiting | None:
        """Return the ask of a level that came last."""
        return self._levels[level].newest()

    def find_least_urgent(self) -> Waiting | None:
        """Return the newest of the least urgent asks."""
        for level in reversed(self._levels):
            if level.live:
                return level.newest()
        return None
