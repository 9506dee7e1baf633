"""Estimates of job sizes from the usage of earlier tasks."""

import dataclasses
from typing import final

from verbenapost.state.jobs import JobRecord

#: Weight of one report in the moving average of a ratio.
LEARNING_RATE = 0.1

#: Bounds of an observed ratio of used to declared size.
MIN_RATIO = 0.1
MAX_RATIO = 4.0

#: Ratio of booked to used size.
HEADROOM = 1.1

#: Smallest size to book, in processors or GB.
MIN_SIZE = 0.05


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Processors and memory in GB."""

    cpu: float
    memory: float

    def fits(self, capacity: 'Size') -> bool:
        """Return whether this size fits into a capacity."""
        return self.cpu <= capacity.cpu and self.memory <= capacity.memory


@final
class SizeEstimator:
    """Learns the ratio of used to declared size for each kind of work.

    Examples
    ========

    >>> sizes = SizeEstimator()
    >>> record = JobRecord('j-1-0', 'shop', 'booking', 'booking', cpu=2)
    >>> sizes.estimate(record).cpu
    2.0
    >>> for _ in range(100):
    ...     sizes.observe(record, 1, 1)
    >>> round(sizes.estimate(record).cpu, 1)
    1.1
    """

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, str], tuple[float, float]] = {}

    def estimate(self, record: JobRecord) -> Size:
        """Return the size to book for a job that has not run yet."""
        cpu_ratio, memory_ratio = self._ratios.get(_get_group(record), (1, 1))
        return Size(
            _limit_size(record.cpu * cpu_ratio),
            _limit_size(record.memory * memory_ratio),
        )

    def observe(
        self,
        record: JobRecord,
        used_cpu: float,
        used_memory: float,
    ) -> None:
        """Update the ratios from the usage of a task without throttling."""
        group = _get_group(record)
        cpu_ratio, memory_ratio = self._ratios.get(group, (1, 1))
        self._ratios[group] = (
            _update_ratio(cpu_ratio, used_cpu, record.cpu),
            _update_ratio(memory_ratio, used_memory, record.memory),
        )


def estimate_used(used_cpu: float, used_memory: float) -> Size:
    """Return the size to book for a task whose usage is known."""
    return Size(
        _limit_size(used_cpu * HEADROOM), _limit_size(used_memory * HEADROOM)
    )


def _get_group(record: JobRecord) -> tuple[str, str]:
    return record.service, record.kind


def _limit_size(amount: float) -> float:
    return max(MIN_SIZE, float(amount))


def _update_ratio(ratio: float, used: float, declared: float) -> float:
    observed = min(
        MAX_RATIO, max(MIN_RATIO, used * HEADROOM / _limit_size(declared))
    )
    return ratio + LEARNING_RATE * (observed - ratio)
