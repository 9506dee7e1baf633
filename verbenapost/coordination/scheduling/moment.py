"""The time of a decision."""

import dataclasses
from typing import final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """Time of a decision on both clocks.

    :param now: local seconds.
    :param wall: Unix seconds.
    """

    now: float
    wall: float
