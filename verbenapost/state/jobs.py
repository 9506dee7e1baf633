"""Records of accepted jobs."""

import dataclasses
import enum
from typing import Any, final

import msgpack

#: Prefix of the store keys that hold jobs.
JOBS_PREFIX = 'jobs/'

#: Maximum length of a stored result, in characters.
MAX_RESULT_CHARACTERS = 4096

_FORMAT = 1


@enum.unique
class JobState(enum.StrEnum):
    """State of an accepted job.

    ``UNABLE`` is the final state of a job that failed on too many VMs or too
    often, or that is larger than every VM of its pool.
    """

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
        """Whether the state is final."""
        return not self.waiting and self is not JobState.RUNNING


class JobRecordError(ValueError):
    """Raised for bytes that are not a batch of jobs."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class JobRecord:
    """Record of one accepted job.

    :param job: identity of the job, which contains that of its batch.
    :param team: team that submitted the job.
    :param service: service to which the job was submitted.
    :param pool: pool whose workers run the job.
    :param path: path below the service and ``/jobs``.
    :param kind: kind of work; estimated sizes are kept for each kind.
    :param urgency: urgency from 0, the most urgent, to 7.
    :param cpu: declared number of processors.
    :param memory: declared memory in GB.
    :param seconds: declared run time in seconds.
    :param submitted_at: Unix time of the submission in seconds.
    :param key: idempotency key of the submission, empty for none.
    :param content: body for the worker; dropped when the job ends.
    :param state: state of the job.
    :param attempt: number of the latest attempt, used as the fencing token.
    :param vm: VM of the latest attempt; empty while the job waits.
    :param holder: process that started the latest attempt.
    :param progress: seconds of work that a checkpoint holds.
    :param failed_vms: VMs on which the job failed.
    :param failures: number of failed attempts.
    :param finished_at: Unix time of the end in seconds, 0 before.
    :param detail: human-readable reason why the job waits or failed.
    :param result: result of the task, at most ``MAX_RESULT_CHARACTERS``
        characters.
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
_FIELD_NAMES = tuple(field.name for field in dataclasses.fields(JobRecord))


def make_job_id(batch: str, index: int) -> str:
    """Return the identity of the job at an index of a batch.

    Examples
    ========

    >>> make_job_id('ja1-7', 2)
    'ja1-7-2'
    """
    return f'{batch}-{index}'


def make_batch_key(pool: str, job: str) -> str:
    """Return the store key that holds a job of a pool.

    Examples
    ========

    >>> make_batch_key('booking', 'ja1-7-2')
    'jobs/booking/ja1-7'
    """
    batch = job.rpartition('-')[0]
    return f'{JOBS_PREFIX}{pool}/{batch}'


def pack_batch(batch: JobBatch) -> bytes:
    """Return the batch as bytes for the store."""
    rows = [
        [getattr(record, name) for name in _FIELD_NAMES]
        for record in batch.records
    ]
    packed: bytes = msgpack.packb((_FORMAT, batch.writer, rows))
    return packed


def unpack_batch(value: bytes) -> JobBatch:
    """Return the batch from its bytes.

    :raises JobRecordError: when the value is not a batch.
    """
    try:
        version, writer, rows = msgpack.unpackb(value, use_list=False)
    except (ValueError, TypeError, msgpack.UnpackException) as fault:
        raise JobRecordError('the batch is malformed') from fault
    if version != _FORMAT:
        raise JobRecordError(f'batch format {version!r} is unknown')
    try:
        return JobBatch(writer, tuple(_build_record(row) for row in rows))
    except (TypeError, ValueError) as mismatch:
        raise JobRecordError('a job has invalid fields') from mismatch


def _build_record(row: tuple[Any, ...]) -> JobRecord:
    fields = dict(zip(_FIELD_NAMES, row, strict=False))
    fields[_STATE_FIELD] = JobState(fields[_STATE_FIELD])
    return JobRecord(**fields)
