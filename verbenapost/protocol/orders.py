"""Messages between the scheduler and the workers, the cloud and the store."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import final

from verbenapost.state.workloads import TaskKey


@enum.unique
class Fault(enum.StrEnum):
    """Why a call to the platform did not succeed.

    ``NOT_DONE`` is sure to have had no effect; ``UNKNOWN`` may have had it or
    may have it later.
    """

    NOT_DONE = 'not_done'
    UNKNOWN = 'unknown'
    CONFLICT = 'conflict'
    NOT_FOUND = 'not_found'
    LIMITED = 'limited'
    FENCED = 'fenced'
    OTHER_LIFE = 'other_life'
    OLD_RUN = 'old_run'
    LATE = 'late'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    BUSY = 'busy'
    REFUSED = 'refused'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CallFault:
    """A call to the platform that did not succeed.

    :param fault: what is known of its effect.
    :param detail: what was seen, for the log.
    :param clock: clock of the worker in milliseconds, where it answered.
    """

    fault: Fault
    detail: str = ''
    clock: int | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key of the store with its value."""

    key: str
    value: bytes
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of a key; ``value`` is ``None`` after a removal."""

    key: str
    value: bytes | None
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ItemPage:
    """One page of a range.

    :param items: the items, in order of key.
    :param truncated: whether more follow.
    :param revision: revision of the store.
    """

    items: Sequence[Item]
    truncated: bool
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes after a revision, up to ``revision``."""

    changes: Sequence[Change]
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """A key's revision that a transaction relies on; 0 for absent."""

    key: str
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A key that a transaction writes; lease 0 for none."""

    key: str
    value: bytes
    lease: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are made together or not at all.

    :param expected: revisions that have to hold.
    :param writes: keys to write.
    :param removed: keys to remove.
    """

    expected: Sequence[Expectation]
    writes: Sequence[Write]
    removed: Sequence[str] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction that found other revisions.

    :param items: the expected keys that exist, as they are.
    """

    items: Sequence[Item]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RunStart:
    """Order to start a run of a task.

    :param task: the task.
    :param run: number of the run; rises for each start of the task.
    :param payload: text of the job.
    :param deadline: time on the worker's clock, in milliseconds, after which
        the worker refuses the order and until which the run is leased.
    :param token: fencing token of the sender.
    :param checkpoint: where to go on from, or empty.
    :param ticket: ticket of the queue's policy, or empty.
    """

    task: TaskKey
    run: int
    payload: str
    deadline: int
    token: int
    checkpoint: str = ''
    ticket: str = ''


@enum.unique
class EndKind(enum.StrEnum):
    """How a run has ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run in a worker's list.

    :param task: the task.
    :param run: number of the run.
    :param checkpoint: last checkpoint, or empty.
    :param percent: share of its speed that it is allowed.
    :param load: tail of response times in milliseconds for a task that
        serves, else the processors in use in thousandths of a core.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """An end in a worker's log.

    :param number: position in the log of this life of the worker.
    :param task: the task.
    :param run: number of the run.
    :param kind: how it has ended.
    :param checkpoint: last checkpoint, or empty.
    """

    number: int
    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's lists.

    :param clock: its clock in milliseconds.
    :param running: what runs.
    :param ends: ends that were not acknowledged yet, oldest first.
    :param born: Unix millisecond at which this life of it began, if told.
    """

    clock: int
    running: Sequence[RunningTask]
    ends: Sequence[RunEnd]
    born: int | None = None
