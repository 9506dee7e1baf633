"""HTTP form of failures as problem details (RFC 9457)."""

import json
import math
from http import HTTPStatus
from typing import NamedTuple

from verbenapost.protocol.errors import Failure

#: Media type of a problem document.
PROBLEM_TYPE = 'application/problem+json'

#: Value of ``WWW-Authenticate``, sent with status 401.
CHALLENGE = 'Bearer realm="verbenapost"'


class Problem(NamedTuple):
    """HTTP answer with a problem document.

    :param status: HTTP status code.
    :param headers: lower-case names with their values.
    :param body: problem document in JSON.
    """

    status: int
    headers: dict[str, str]
    body: bytes


def make_problem(failure: Failure, request_id: str = '') -> Problem:
    """Return the HTTP answer that describes a failure.

    Examples
    ========

    >>> from verbenapost.protocol.errors import ErrorKind
    >>> problem = make_problem(Failure(ErrorKind.NO_TARGET), 'r-1')
    >>> problem.status, problem.headers['retry-after']
    (503, '2')
    >>> json.loads(problem.body)['outcome']
    'not_run'

    :param failure: refusal or failure to describe.
    :param request_id: identity of the request; omitted when empty.
    :returns: status, headers and body.
    """
    answer = failure.answer
    status = int(answer.status)
    members = {
        'type': 'about:blank',
        'title': answer.title,
        'status': status,
        'detail': failure.detail or answer.title,
        'kind': failure.kind.value,
        'outcome': failure.outcome.value,
    }
    headers = {'content-type': PROBLEM_TYPE}
    if request_id:
        members['request_id'] = request_id
        headers['x-request-id'] = request_id
    if failure.wait is not None:
        headers['retry-after'] = str(max(1, math.ceil(failure.wait)))
    if status == HTTPStatus.UNAUTHORIZED:
        headers['www-authenticate'] = CHALLENGE
    return Problem(status, headers, json.dumps(members).encode())
