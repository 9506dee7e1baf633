"""What the placement of jobs asks to be done."""

import dataclasses
from typing import final

from verbenapost.coordination.jobs.steps import Step


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeJob:
    """Apply a step to the record of a job."""

    job: str
    step: Step


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
    """Let a task save its progress and end."""

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
    """End a task and let its worker forget it."""

    vm: str
    job: str
    attempt: int


Command = ChangeJob | StartTask | CheckpointTask | ThrottleTask | StopTask
