"""Records of accepted jobs."""

import dataclasses
import enum
from typing import Any, final

import msgpack

#: Prefix of the store keys that hold jobs.
JOBS_PREFIX = 'jobs/'

#: Characters of a result that are kept.
MAX_RESULT = 4096

_FORMAT = 1


@enum.unique
class JobState(enum.StrEnum):
    """Where a job is on its way."""

    QUEUED = 'queued'
    RUNNING = 'running'
    CHECKPOINTED = 'checkpointed'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNABLE = 'unable'

    @property
    def waiting(self) -> bool:
        """Whether the job waits for a worker."""
        return self in {JobState.QUEUED, JobState.CHECKPOINTED}

    @property
    def ended(self) -> bool:
        """Whether the job changes no more."""
        return not self.waiting and self is not JobState.RUNNING


class JobRecordError(ValueError):
    """Bytes that are no batch of jobs."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class JobRecord:
    """One accepted job.

    :param job: identity, which tells the batch that holds the record.
    :param team: team that submitted it.
    :param service: service that it was submitted to.
    :param pool: pool whose workers run it.
    :param path: path below the service and ``/jobs``.
    :param kind: kind of work, the unit of learned sizes.
    :param urgency: 0, the most urgent, to 7.
    :param cpu: declared processors.
    :param memory: declared memory in GB.
    :param seconds: declared run time in seconds.
    :param submitted_at: Unix time in seconds.
    :param key: idempotency key of the submission, empty for none.
    :param content: body for the worker; dropped at the end.
    :param state: where it is on its way.
    :param attempt: number of the latest attempt, the fencing token.
    :param vm: VM of the latest attempt, empty while it waits.
    :param holder: process that started the latest attempt.
    :param progress: seconds of work that a checkpoint holds.
    :param failed_vms: VMs on which it failed.
    :param failures: attempts that failed.
    :param finished_at: Unix time of the end in seconds, 0 before.
    :param detail: why it waits or failed, for people.
    :param result: what the task left, at most ``MAX_RESULT`` characters.
    """

    job: str
    team: str
    service: str
    pool: str
    path: str = '/'
    kind: str = 'default'
    urgency: int = 3
    cpu: float = 1
    memory: float = 1
    seconds: float = 60
    submitted_at: float = 0
    key: str = ''
    content: bytes = b''
    state: JobState = JobState.QUEUED
    attempt: int = 0
    vm: str = ''
    holder: str = ''
    progress: float = 0
    failed_vms: tuple[str, ...] = ()
    failures: int = 0
    finished_at: float = 0
    detail: str = ''
    result: str = ''


@final
@dataclasses.dataclass(frozen=True, slots=True)
class JobBatch:
    """Value of one store key: jobs that were accepted together.

    :param writer: ``instance:sequence`` of the last write.
    """

    writer: str
    records: tuple[JobRecord, ...]


_STATE_FIELD = 'state'
_NAMES = tuple(field.name for field in dataclasses.fields(JobRecord))


def name_job(batch: str, index: int) -> str:
    """Return the identity of a job of a batch.

    Examples
    ========

    >>> name_job('ja1-7', 2)
    'ja1-7-2'
    """
    return f'{batch}-{index}'


def locate_job(pool: str, job: str) -> str:
    """Return the store key that holds a job of a pool.

    Examples
    ========

    >>> locate_job('booking', 'ja1-7-2')
    'jobs/booking/ja1-7'
    """
    batch = job.rpartition('-')[0]
    return f'{JOBS_PREFIX}{pool}/{batch}'


def pack_batch(batch: JobBatch) -> bytes:
    """Return the batch as bytes for the store."""
    rows = [
        [getattr(record, name) for name in _NAMES] for record in batch.records
    ]
    packed: bytes = msgpack.packb((_FORMAT, batch.writer, rows))
    return packed


def unpack_batch(value: bytes) -> JobBatch:
    """Return the batch from its bytes.

    :raises JobRecordError: when the value is no batch.
    """
    try:
        version, writer, rows = msgpack.unpackb(value, use_list=False)
    except (ValueError, TypeError, msgpack.UnpackException) as fault:
        raise JobRecordError('a batch has a wrong shape') from fault
    if version != _FORMAT:
        raise JobRecordError(f'batch format {version!r} is unknown')
    try:
        return JobBatch(writer, tuple(_build_record(row) for row in rows))
    except (TypeError, ValueError) as mismatch:
        raise JobRecordError('a job has wrong fields') from mismatch


def _build_record(row: tuple[Any, ...]) -> JobRecord:
    fields = dict(zip(_NAMES, row, strict=False))
    fields[_STATE_FIELD] = JobState(fields[_STATE_FIELD])
    return JobRecord(**fields)
