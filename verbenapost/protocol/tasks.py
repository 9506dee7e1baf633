"""The port to the tasks that a worker runs for accepted jobs."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Protocol, final

from result import Result

from verbenapost.protocol.errors import Failure


@enum.unique
class TaskState(enum.StrEnum):
    """Where a task is at its worker."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    REJECTED = 'rejected'
    CHECKPOINTED = 'checkpointed'
    STOPPED = 'stopped'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TaskOrder:
    """What a worker is told to run.

    :param task: identity of the job.
    :param attempt: fencing token; a worker refuses one below the highest
        that it has seen of the job.
    :param seconds: declared run time in seconds.
    :param cpu: processors.
    :param memory: memory in GB.
    :param progress: seconds of work that a checkpoint holds.
    :param lease: seconds after which the task ends unless renewed.
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
    """A task as its worker sees it.

    :param used_cpu: processors in use some seconds ago, or ``None``.
    :param used_memory: memory in GB in use some seconds ago, or ``None``.
    :param share: part of its processors that it may use.
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
class WorkerReport:
    """All tasks of a worker.

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

    Each call names the attempt that it means. A worker refuses with
    ``CONFLICT`` what is about an attempt below the highest that it has seen
    of the job. All calls are idempotent.
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
    ) -> Result[WorkerReport, Failure]:
        """Renew the leases of tasks and read the state of all.

        :param attempts: attempt by task.
        :param lease: seconds from now.
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
        """Limit a task to a share of its processors."""

    async def stop(
        self,
        address: str,
        task: str,
        attempt: int,
    ) -> Result[None, Failure]:
        """End a task, forget it and refuse its attempt from now on."""
