"""State transitions of a job record.

Each transition is refused when the record has changed in the meantime.
"""

import dataclasses
from collections.abc import Callable

from verbenapost.state.jobs import MAX_RESULT_CHARACTERS, JobRecord, JobState

#: Distinct VMs with a failed attempt at which a job ends as unable.
MAX_FAILED_VMS = 3

#: Failed attempts at which a job ends as unable, on any number of VMs.
MAX_FAILURES = 6

#: Returns the changed record, the same record when there is nothing to change,
#: or ``None`` when the transition is refused.
Transition = Callable[[JobRecord], JobRecord | None]


def is_current(record: JobRecord, attempt: int) -> bool:
    """Return whether an attempt may still change the record."""
    return record.state is JobState.RUNNING and record.attempt == attempt


def make_start(attempt: int, vm: str, holder: str) -> Transition:
    """Return the transition that assigns a waiting job to a VM.

    :param attempt: number of the new attempt.
    :param vm: VM on which the attempt runs.
    :param holder: process that starts the attempt.
    """

    def start(record: JobRecord) -> JobRecord | None:
        if not record.state.waiting or record.attempt != attempt - 1:
            return None
        return dataclasses.replace(
            record,
            state=JobState.RUNNING,
            attempt=attempt,
            vm=vm,
            holder=holder,
            detail='',
        )

    return start


def make_finish(attempt: int, outcome: str, wall: float) -> Transition:
    """Return the transition that stores the result of an attempt.

    :param attempt: number of the attempt.
    :param outcome: result that the task returned.
    :param wall: Unix time in seconds.
    """

    def finish(record: JobRecord) -> JobRecord | None:
        if not is_current(record, attempt):
            return None
        updated = dataclasses.replace(
            record, result=outcome[:MAX_RESULT_CHARACTERS]
        )
        return _end(updated, JobState.DONE, '', wall)

    return finish


def make_failure(attempt: int, vm: str, detail: str, wall: float) -> Transition:
    """Return the transition that counts a failed attempt.

    :param attempt: number of the attempt.
    :param vm: VM on which the attempt failed.
    :param detail: reason of the failure.
    :param wall: Unix time in seconds.
    """

    def fail(record: JobRecord) -> JobRecord | None:
        if not is_current(record, attempt):
            return None
        failed = tuple(sorted({*record.failed_vms, vm}))
        counted = dataclasses.replace(
            record,
            state=JobState.QUEUED,
            vm='',
            failed_vms=failed,
            failures=record.failures + 1,
            detail=detail,
        )
        if _has_failed_too_often(counted):
            text = f'It failed on {", ".join(failed)}: {detail}'
            return _end(counted, JobState.UNABLE, text, wall)
        return counted

    return fail


def make_rejection(attempt: int, detail: str, wall: float) -> Transition:
    """Return the transition that ends a job that its worker has rejected."""

    def reject(record: JobRecord) -> JobRecord | None:
        if not is_current(record, attempt):
            return None
        return _end(record, JobState.FAILED, detail, wall)

    return reject


def make_requeue(attempt: int, detail: str) -> Transition:
    """Return the transition that requeues a job without a failure."""

    def requeue(record: JobRecord) -> JobRecord | None:
        if not is_current(record, attempt):
            return None
        state = JobState.CHECKPOINTED if record.progress else JobState.QUEUED
        return dataclasses.replace(record, state=state, vm='', detail=detail)

    return requeue


def make_checkpoint(attempt: int, progress: float) -> Transition:
    """Return the transition that stores the checkpoint of an attempt.

    :param attempt: number of the attempt.
    :param progress: seconds of work done.
    """

    def store_checkpoint(record: JobRecord) -> JobRecord | None:
        if not is_current(record, attempt):
            return None
        return dataclasses.replace(
            record,
            state=JobState.CHECKPOINTED,
            vm='',
            progress=max(record.progress, progress),
            detail='It made room for more urgent work.',
        )

    return store_checkpoint


def make_oversized(wall: float) -> Transition:
    """Return the transition that ends a job larger than every VM."""

    def mark_unable(record: JobRecord) -> JobRecord | None:
        if not record.state.waiting:
            return None
        text = 'It is larger than every VM of the pool.'
        return _end(record, JobState.UNABLE, text, wall)

    return mark_unable


def make_cancel(who: str, wall: float) -> Transition:
    """Return the transition that cancels a job unless it has ended."""

    def cancel(record: JobRecord) -> JobRecord | None:
        if record.state.ended:
            return record
        return _end(record, JobState.CANCELLED, f'Cancelled by {who}.', wall)

    return cancel


def _has_failed_too_often(record: JobRecord) -> bool:
    return (
        len(record.failed_vms) >= MAX_FAILED_VMS
        or record.failures >= MAX_FAILURES
    )


def _end(
    record: JobRecord,
    state: JobState,
    detail: str,
    wall: float,
) -> JobRecord:
    return dataclasses.replace(
        record,
        state=state,
        detail=detail,
        finished_at=wall,
        content=b'',
    )
