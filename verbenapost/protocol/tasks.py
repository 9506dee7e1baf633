"""Port to the tasks that workers run for accepted jobs."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Protocol, final

from result import Result

from verbenapost.protocol.errors import Failure


@enum.unique
class TaskState(enum.StrEnum):
    """State of a task at its worker."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    REJECTED = 'rejected'
    CHECKPOINTED = 'checkpointed'
    STOPPED = 'stopped'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TaskOrder:
    """Order to start a task.

    :param task: identity of the job.
    :param attempt: fencing token; a worker refuses a token below the highest
        that it has seen for the job.
    :param seconds: declared run time in seconds.
    :param cpu: number of processors.
    :param memory: memory in GB.
    :param progress: seconds of work that a checkpoint holds.
    :param lease: seconds after which the task ends unless its lease is
        renewed.
    :param path: path of the submission.
    :param content: body of the submission.
    """

    task: str
    attempt: int
    seconds: float
    cpu: float
    memory: float
    progress: float
    lease: float
    path: str = '/'
    content: bytes = b''


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TaskReport:
    """State of a task as its worker reports it.

    :param used_cpu: processors in use some seconds ago, or ``None``.
    :param used_memory: memory in GB in use some seconds ago, or ``None``.
    :param share: fraction of its processors that the task may use.
    :param progress: seconds of work done.
    """

    task: str
    attempt: int
    state: TaskState
    used_cpu: float | None = None
    used_memory: float | None = None
    share: float = 1
    progress: float = 0
    result: str = ''


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TaskReports:
    """State of all tasks of a worker.

    :param cpu: processors of the VM for tasks.
    :param memory: memory of the VM for tasks, in GB.
    """

    cpu: float
    memory: float
    tasks: tuple[TaskReport, ...]


class TaskPort(Protocol):
    """Task interface of the workers.

    Explanation
    ===========

    Each call carries the attempt to which it applies. A worker refuses with
    ``CONFLICT`` a call for an attempt below the highest that it has seen for
    the job. All calls are idempotent.
    """

    async def start(
        self,
        address: str,
        order: TaskOrder,
    ) -> Result[None, Failure]:
        """Start a task."""

    async def renew(
        self,
        address: str,
        attempts: Mapping[str, int],
        lease: float,
    ) -> Result[TaskReports, Failure]:
        """Renew the leases of tasks and read the state of all tasks.

        :param attempts: attempt by identity of the task.
        :param lease: length of the leases, in seconds from now.
        """

    async def checkpoint(
        self,
        address: str,
        task: str,
        attempt: int,
    ) -> Result[None, Failure]:
        """Let a task save its progress and end."""

    async def throttle(
        self,
        address: str,
        task: str,
        attempt: int,
        share: float,
    ) -> Result[None, Failure]:
        """Limit a task to a fraction of its processors."""

    async def stop(
        self,
        address: str,
        task: str,
        attempt: int,
    ) -> Result[None, Failure]:
        """End and delete a task; its attempt is refused from then on."""
