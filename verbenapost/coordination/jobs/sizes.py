"""Sizes of jobs, corrected by what earlier ones used."""

import dataclasses
from typing import final

from verbenapost.state.jobs import JobRecord

#: Weight of one report in the learned ratio.
LEARNING_RATE = 0.1

#: Bounds of the learned ratio of used to declared size.
MIN_RATIO = 0.1
MAX_RATIO = 4.0

#: Part that is booked above what is used.
HEADROOM = 1.1

#: Smallest size that is booked, in processors or GB.
MIN_BOOKED = 0.05


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Processors and memory in GB."""

    cpu: float
    memory: float

    def fits(self, room: 'Size') -> bool:
        """Tell whether it fits into a room."""
        return self.cpu <= room.cpu and self.memory <= room.memory


@final
class SizeBook:
    """Learns for each kind of work how much of its size it uses.

    Examples
    ========

    >>> book = SizeBook()
    >>> record = JobRecord('j-1-0', 'shop', 'booking', 'booking', cpu=2)
    >>> book.estimate(record).cpu
    2.0
    >>> for _ in range(100):
    ...     book.observe(record, 1, 1)
    >>> round(book.estimate(record).cpu, 1)
    1.1
    """

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, str], tuple[float, float]] = {}

    def estimate(self, record: JobRecord) -> Size:
        """Return the size to book for a job that has not run yet."""
        cpu_ratio, memory_ratio = self._ratios.get(_get_group(record), (1, 1))
        return Size(
            _book(record.cpu * cpu_ratio),
            _book(record.memory * memory_ratio),
        )

    def observe(
        self,
        record: JobRecord,
        used_cpu: float,
        used_memory: float,
    ) -> None:
        """Learn from a report of a task that is not throttled."""
        group = _get_group(record)
        cpu_ratio, memory_ratio = self._ratios.get(group, (1, 1))
        self._ratios[group] = (
            _learn(cpu_ratio, used_cpu, record.cpu),
            _learn(memory_ratio, used_memory, record.memory),
        )


def book_used(used_cpu: float, used_memory: float) -> Size:
    """Return the size to book for a task whose use is known."""
    return Size(_book(used_cpu * HEADROOM), _book(used_memory * HEADROOM))


def _get_group(record: JobRecord) -> tuple[str, str]:
    return record.service, record.kind


def _book(amount: float) -> float:
    return max(MIN_BOOKED, float(amount))


def _learn(ratio: float, used: float, declared: float) -> float:
    seen = min(MAX_RATIO, max(MIN_RATIO, used * HEADROOM / _book(declared)))
    return ratio + LEARNING_RATE * (seen - ratio)
