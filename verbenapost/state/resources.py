"""Resources that tasks need and workers have."""

import dataclasses
from typing import final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Resources that a task needs or that a worker has.

    >>> Resources(500, 256, 0).fits(Resources(1000, 256, 0))
    True

    :param cpu: processors, in thousandths of a core.
    :param memory: memory in MB.
    :param gpus: accelerators.
    """

    cpu: int = 0
    memory: int = 0
    gpus: int = 0

    def fits(self, capacity: 'Resources') -> bool:
        """Return whether no resource exceeds a capacity."""
        return (
            self.cpu <= capacity.cpu
            and self.memory <= capacity.memory
            and self.gpus <= capacity.gpus
        )

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of the resources."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.gpus + other.gpus,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference of the resources, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.gpus - other.gpus,
        )
