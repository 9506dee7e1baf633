"""Job records with the revisions of their store keys."""

import dataclasses
from collections.abc import Sequence
from typing import final

from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import Entry
from verbenapost.state.jobs import JobRecord, JobRecordError, unpack_batch


@final
@dataclasses.dataclass(frozen=True, slots=True)
class JobEntry:
    """A job record with the revision of its store key."""

    record: JobRecord
    revision: int


EntryResult = Result[JobEntry, Failure]


def read_records(value: bytes) -> Sequence[JobRecord]:
    """Return the records of a batch; none if it can't be decoded."""
    try:
        return unpack_batch(value).records
    except JobRecordError:
        return ()


def read_writer(value: bytes) -> str:
    """Return the writer of a batch; empty if it can't be decoded."""
    try:
        return unpack_batch(value).writer
    except JobRecordError:
        return ''


def find_job(entry: Entry | None, job: str) -> EntryResult:
    """Return a job of a batch, or the failure that it doesn't exist."""
    if entry is not None:
        for record in read_records(entry.value):
            if record.job == job:
                return Ok(JobEntry(record, entry.revision))
    return Err(make_not_found(job))


def make_not_found(job: str) -> Failure:
    """Return the failure for a job that doesn't exist."""
    return Failure(ErrorKind.NOT_FOUND, f'There is no job {job}.')
