"""Conversion between callers' HTTP messages and job records."""

import json
from http import HTTPStatus

from result import Err, Ok, Result

from verbenapost.coordination.routes import find_route_policy
from verbenapost.daemon.requestcontext import RequestContext
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.targets import TargetAnswer
from verbenapost.state.configuration import OwnedService
from verbenapost.state.jobs import JobRecord

#: First path segment of job requests, below the service.
JOBS_SEGMENT = '/jobs/'

#: Largest body of a submission, in bytes.
MAX_CONTENT_BYTES = 65_536

#: Default sizes of a job: processors, GB of memory and seconds of run time.
DEFAULT_SIZES = (('cpu', 1.0), ('memory', 1.0), ('seconds', 60.0))

#: Largest value of a size that a job may declare.
MAX_SIZE = 1_000_000.0

_SIZE_HEADER_PREFIX = 'x-job-'


def is_job_path(path: str) -> bool:
    """Return whether a decoded path below a service is a job path.

    Examples
    ========

    >>> is_job_path('/jobs/reports'), is_job_path('/jobsheet')
    (True, False)
    """
    return f'{path}/'.startswith(JOBS_SEGMENT)


def parse_submission(
    context: RequestContext,
    owned: OwnedService,
    unix_time: float,
) -> Result[JobRecord, Failure]:
    """Return the record of a submission, still without a job identity.

    :param unix_time: Unix time in seconds.
    """
    if len(context.received.content) > MAX_CONTENT_BYTES:
        detail = f'The body of a job may have {MAX_CONTENT_BYTES} bytes.'
        return Err(Failure(ErrorKind.TOO_LARGE, detail))
    sizes = _read_sizes(context)
    if isinstance(sizes, Err):
        return sizes
    request = context.request
    path = request.path.removeprefix('/jobs') or '/'
    route = request.route_path.removeprefix('/jobs') or '/'
    return Ok(
        JobRecord(
            job='',
            team=context.team,
            service=request.service,
            pool=owned.spec.pool,
            path=path,
            kind=find_route_policy(owned.spec, 'POST', route).kind,
            urgency=request.priority.urgency,
            cpu=sizes.ok_value['cpu'],
            memory=sizes.ok_value['memory'],
            seconds=sizes.ok_value['seconds'],
            submitted_at=unix_time,
            key=request.key,
            content=context.received.content,
        ),
    )


def make_accepted_answer(record: JobRecord) -> TargetAnswer:
    """Return the answer to a stored submission."""
    return _make_answer(record, HTTPStatus.ACCEPTED)


def make_job_answer(record: JobRecord) -> TargetAnswer:
    """Return the answer that shows the state of a job."""
    return _make_answer(record, HTTPStatus.OK)


def add_location(service: str, answer: TargetAnswer) -> TargetAnswer:
    """Return the answer to an accepted submission with its ``Location``.

    The stored answer of a claimed key lacks this header, so it is added again
    to a repeated answer. Other answers are returned unchanged.
    """
    if answer.status != HTTPStatus.ACCEPTED:
        return answer
    job = json.loads(answer.content)['job']
    headers = [('content-type', 'application/json')]
    headers.append(('location', f'/{service}{JOBS_SEGMENT}{job}'))
    return TargetAnswer(answer.status, headers, answer.content)


def _make_answer(record: JobRecord, status: HTTPStatus) -> TargetAnswer:
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


def _read_sizes(context: RequestContext) -> Result[dict[str, float], Failure]:
    sizes = dict(DEFAULT_SIZES)
    for name, text in context.received.headers:
        field = name.removeprefix(_SIZE_HEADER_PREFIX)
        if not name.startswith(_SIZE_HEADER_PREFIX) or field not in sizes:
            continue
        try:
            sizes[field] = float(text)
        except ValueError:
            sizes[field] = 0
        if not 0 < sizes[field] <= MAX_SIZE:
            detail = f'{name} must be a number above 0.'
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
    return Ok(sizes)
