"""Changes of one job record, each refused when the record has moved on."""

import dataclasses
from collections.abc import Callable

from verbenapost.state.jobs import MAX_RESULT, JobRecord, JobState

#: Distinct VMs on which a job must fail to be set aside.
MAX_FAILED_VMS = 3

#: Failed attempts after which a job is set aside on any number of VMs.
MAX_FAILURES = 6

#: Returns the changed record, the same one when nothing is left to change,
#: or ``None`` when the change is refused.
Step = Callable[[JobRecord], JobRecord | None]


def is_current(record: JobRecord, attempt: int) -> bool:
    """Tell whether an attempt may still change the record."""
    return record.state is JobState.RUNNING and record.attempt == attempt


def make_start(attempt: int, vm: str, holder: str) -> Step:
    """Return the step that gives a waiting job to a VM.

    :param attempt: number of the new attempt.
    :param holder: process that starts it.
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


def make_finish(attempt: int, outcome: str, wall: float) -> Step:
    """Return the step that takes the result of an attempt.

    :param wall: Unix time in seconds.
    """

    def finish(record: JobRecord) -> JobRecord | None:
        if not is_current(record, attempt):
            return None
        kept = dataclasses.replace(record, result=outcome[:MAX_RESULT])
        return _end(kept, JobState.DONE, '', wall)

    return finish


def make_failure(attempt: int, vm: str, detail: str, wall: float) -> Step:
    """Return the step that counts a failed attempt.

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
        if _is_hopeless(counted):
            text = f'It failed on {", ".join(failed)}: {detail}'
            return _end(counted, JobState.UNABLE, text, wall)
        return counted

    return fail


def make_rejection(attempt: int, detail: str, wall: float) -> Step:
    """Return the step that ends a job that its worker has rejected."""

    def reject(record: JobRecord) -> JobRecord | None:
        if not is_current(record, attempt):
            return None
        return _end(record, JobState.FAILED, detail, wall)

    return reject


def make_requeue(attempt: int, detail: str) -> Step:
    """Return the step that lets a job wait again without blame."""

    def requeue(record: JobRecord) -> JobRecord | None:
        if not is_current(record, attempt):
            return None
        state = JobState.CHECKPOINTED if record.progress else JobState.QUEUED
        return dataclasses.replace(record, state=state, vm='', detail=detail)

    return requeue


def make_checkpoint(attempt: int, progress: float) -> Step:
    """Return the step that keeps the progress of an attempt.

    :param progress: seconds of work done.
    """

    def keep(record: JobRecord) -> JobRecord | None:
        if not is_current(record, attempt):
            return None
        return dataclasses.replace(
            record,
            state=JobState.CHECKPOINTED,
            vm='',
            progress=max(record.progress, progress),
            detail='It made room for more urgent work.',
        )

    return keep


def make_oversize(wall: float) -> Step:
    """Return the step that sets a job aside that no VM can hold."""

    def set_aside(record: JobRecord) -> JobRecord | None:
        if not record.state.waiting:
            return None
        text = 'It is larger than every VM of the pool.'
        return _end(record, JobState.UNABLE, text, wall)

    return set_aside


def make_cancel(who: str, wall: float) -> Step:
    """Return the step that cancels a job; one that has ended stays."""

    def cancel(record: JobRecord) -> JobRecord | None:
        if record.state.ended:
            return record
        return _end(record, JobState.CANCELLED, f'Cancelled by {who}.', wall)

    return cancel


def _is_hopeless(record: JobRecord) -> bool:
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
