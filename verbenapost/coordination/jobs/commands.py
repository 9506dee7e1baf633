"""Commands that the job scheduler issues."""

import dataclasses
from typing import final

from verbenapost.coordination.jobs.transitions import Transition


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeJob:
    """Apply a transition to the record of a job."""

    job: str
    transition: Transition


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Store the new attempt of a job, then start it on a VM."""

    job: str
    attempt: int
    vm: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Make a task save a checkpoint and end."""

    vm: str
    job: str
    attempt: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Limit a task to a share of its processors."""

    vm: str
    job: str
    attempt: int
    share: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """End a task and remove it from its worker."""

    vm: str
    job: str
    attempt: int


Command = ChangeJob | StartTask | CheckpointTask | ThrottleTask | StopTask
