"""Reads what a caller says of a job, and shows jobs to callers."""

import json
from http import HTTPStatus

from result import Err, Ok, Result

from verbenapost.coordination.routes import find_treatment
from verbenapost.daemon.serving import JOBS_SEGMENT, Job
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.targets import TargetAnswer
from verbenapost.state.configuration import OwnedService
from verbenapost.state.jobs import JobRecord

#: Bytes that the body of a submission may have.
MAX_CONTENT = 65_536

#: Sizes of a job that declares none.
DEFAULT_SIZES = (('cpu', 1.0), ('memory', 1.0), ('seconds', 60.0))

#: Largest number that a job may declare.
MAX_SIZE = 1_000_000.0

_HEADER = 'x-job-'


def read_submission(
    job: Job,
    owned: OwnedService,
    wall: float,
) -> Result[JobRecord, Failure]:
    """Return the record of a submission, without an identity.

    :param wall: Unix time in seconds.
    """
    if len(job.received.content) > MAX_CONTENT:
        detail = f'The body of a job may have {MAX_CONTENT} bytes.'
        return Err(Failure(ErrorKind.TOO_LARGE, detail))
    sizes = _read_sizes(job)
    if isinstance(sizes, Err):
        return sizes
    request = job.request
    path = request.path.removeprefix('/jobs') or '/'
    route = request.route_path.removeprefix('/jobs') or '/'
    return Ok(
        JobRecord(
            job='',
            team=job.team,
            service=request.service,
            pool=owned.spec.pool,
            path=path,
            kind=find_treatment(owned.spec, 'POST', route).kind,
            urgency=request.priority.urgency,
            cpu=sizes.ok_value['cpu'],
            memory=sizes.ok_value['memory'],
            seconds=sizes.ok_value['seconds'],
            submitted_at=wall,
            key=request.key,
            content=job.received.content,
        ),
    )


def show_accepted(record: JobRecord) -> TargetAnswer:
    """Return the answer to a submission that the store holds."""
    return _show(record, HTTPStatus.ACCEPTED)


def show_job(record: JobRecord) -> TargetAnswer:
    """Return the answer that tells where a job is on its way."""
    return _show(record, HTTPStatus.OK)


def add_location(service: str, answer: TargetAnswer) -> TargetAnswer:
    """Return an answer to a repeat with the header that it first had."""
    if answer.status != HTTPStatus.ACCEPTED:
        return answer
    job = json.loads(answer.content)['job']
    headers = [('content-type', 'application/json')]
    headers.append(('location', f'/{service}{JOBS_SEGMENT}{job}'))
    return TargetAnswer(answer.status, headers, answer.content)


def _show(record: JobRecord, status: HTTPStatus) -> TargetAnswer:
    shown = {
        'job': record.job,
        'state': record.state.value,
        'service': record.service,
        'path': record.path,
        'urgency': record.urgency,
        'attempt': record.attempt,
        'vm': record.vm,
        'submitted_at': record.submitted_at,
        'detail': record.detail,
        'result': record.result,
    }
    headers = [('content-type', 'application/json')]
    content = json.dumps(shown).encode()
    answer = TargetAnswer(int(status), headers, content)
    return add_location(record.service, answer)


def _read_sizes(job: Job) -> Result[dict[str, float], Failure]:
    sizes = dict(DEFAULT_SIZES)
    for name, text in job.received.headers:
        field = name.removeprefix(_HEADER)
        if not name.startswith(_HEADER) or field not in sizes:
            continue
        try:
            sizes[field] = float(text)
        except ValueError:
            sizes[field] = 0
        if not 0 < sizes[field] <= MAX_SIZE:
            detail = f'{name} must be a number above 0.'
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
    return Ok(sizes)
