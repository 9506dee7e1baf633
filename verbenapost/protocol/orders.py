"""Calls of the scheduler to workers, cloud and store, and their results."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Final, final

from verbenapost.state.workloads import TaskKey

#: Ended runs that a worker lists at a time.
MAX_LISTED_ENDS: Final = 500


@enum.unique
class CallFaultKind(enum.StrEnum):
    """Why a call to the platform did not succeed.

    After ``NOT_DONE`` the call certainly had no effect; after ``UNKNOWN`` it
    may have had its effect or may still have it later. ``LIMITED`` reports a
    rate limit, ``FENCED`` a newer fencing token, ``OTHER_INCARNATION`` another
    incarnation of the worker, ``OLD_RUN`` a run number that the worker no
    longer accepts, ``LATE`` an order after its deadline, ``NO_CAPACITY`` a
    worker without capacity for the run, ``NO_TICKET`` a ticket that the worker
    does not accept and ``REFUSED`` any other refusal.
    """

    NOT_DONE = 'not_done'
    UNKNOWN = 'unknown'
    CONFLICT = 'conflict'
    NOT_FOUND = 'not_found'
    LIMITED = 'limited'
    FENCED = 'fenced'
    OTHER_INCARNATION = 'other_life'
    OLD_RUN = 'old_run'
    LATE = 'late'
    NO_CAPACITY = 'no_room'
    NO_TICKET = 'no_ticket'
    BUSY = 'busy'
    REFUSED = 'refused'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CallFault:
    """Result of a call to the platform that did not succeed.

    :param kind: reason, which also tells the effect of the call.
    :param detail: observed failure, for the log.
    :param clock: worker's clock in milliseconds, or ``None`` when the answer
        holds none.
    """

    kind: CallFaultKind
    detail: str = ''
    clock: int | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """Key of the store with its value.

    :param key: the key.
    :param value: its value, which may hold secrets.
    :param revision: revision of its last change.
    :param lease: lease with which the key ends, or 0.
    """

    key: str
    value: bytes = dataclasses.field(repr=False)
    revision: int
    lease: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KeyChange:
    """Change of a key.

    :param key: the key.
    :param value: its new value, which may hold secrets; ``None`` after a
        deletion.
    :param revision: revision of the change.
    """

    key: str
    value: bytes | None = dataclasses.field(repr=False)
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ItemPage:
    """One page of a key range.

    :param items: items in order of their keys.
    :param truncated: whether more items follow.
    :param revision: revision of the store.
    """

    items: Sequence[KeyValue]
    truncated: bool
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes after a known revision, up to ``revision``."""

    changes: Sequence[KeyChange]
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedRevision:
    """Revision of a key that a transaction requires; 0 for an absent key."""

    key: str
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Key and value that a transaction writes; lease 0 for none."""

    key: str
    value: bytes
    lease: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that the store applies atomically.

    :param expected: revisions that the keys must have.
    :param writes: keys to write.
    :param removed: keys to delete.
    """

    expected: Sequence[ExpectedRevision]
    writes: Sequence[Write]
    removed: Sequence[str] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TransactionConflict:
    """Result of a transaction whose expected revisions did not hold.

    :param items: current items of those expected keys that exist.
    """

    items: Sequence[KeyValue]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RunStart:
    """Order to start a run of a task.

    :param task: the task.
    :param run: number of the run; increases with each start of the task.
    :param payload: text of the job.
    :param deadline: time on the worker's clock, in milliseconds, after which
        the worker refuses the order and until which the run is leased.
    :param token: fencing token of the sender.
    :param checkpoint: checkpoint from which the run resumes, or empty.
    :param ticket: ticket of the queue's policy service, or empty.
    """

    task: TaskKey
    run: int
    payload: str
    deadline: int
    token: int
    checkpoint: str = ''
    ticket: str = ''


@enum.unique
class RunEndKind(enum.StrEnum):
    """How a run ended; a run with an expired lease is ``LAPSED``.

    After an end other than ``DONE`` and ``FAILED`` the task waits for another
    run, and no failure is counted.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ListedRun:
    """Run that a worker lists as running.

    :param task: the task.
    :param run: number of the run.
    :param checkpoint: last checkpoint, or empty.
    :param progress: percent of the run's work that is done; for a long-running
        task, percent of its startup, so that it is at work from 100 on.
    :param load: tail of the response times in milliseconds for a serving
        task, else the processors in use in thousandths of a core.
    """

    task: TaskKey
    run: int
    checkpoint: str
    progress: int
    load: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """Entry of a worker's log of ended runs.

    :param number: position in the log of this incarnation of the worker.
    :param task: the task.
    :param run: number of the run.
    :param kind: how the run ended.
    :param checkpoint: last checkpoint, or empty.
    """

    number: int
    task: TaskKey
    run: int
    kind: RunEndKind
    checkpoint: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """Lists of a worker's running and ended runs.

    :param clock: worker's clock in milliseconds.
    :param running: running runs.
    :param ends: ended runs that are not acknowledged yet, oldest first.
    :param started_at_ms: Unix time in milliseconds at which this incarnation of
        the worker began, or ``None`` when the answer does not say.
    """

    clock: int
    running: Sequence[ListedRun]
    ends: Sequence[RunEnd]
    started_at_ms: int | None = None

    @property
    def complete(self) -> bool:
        """Whether the report lists all ended runs, not only the oldest."""
        return len(self.ends) < MAX_LISTED_ENDS
