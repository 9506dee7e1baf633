"""HTTP client of a daemon's administration interface."""

import dataclasses
import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, final

import aiohttp

from verbenapost.cli.exits import (
    ADVICE,
    DEFAULT_ADVICE,
    CommandError,
    ExitCode,
)
from verbenapost.cli.options import Options
from verbenapost.protocol.errors import Outcome

#: Timeout of connecting, in seconds.
CONNECT_TIMEOUT = 5.0

#: Timeout of a request in seconds, in addition to the wait that it asks for.
ANSWER_TIMEOUT = 30.0

#: Largest body of an answer, in bytes.
MAX_ANSWER_BYTES = 67_108_864


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdminRequest:
    """A request to a daemon.

    :param path: path below ``/-/``.
    :param method: HTTP method; every method but ``GET`` makes a change.
    :param query: query of the URL.
    :param headers: headers other than the one with the token.
    :param content: content of a JSON body, or ``None``.
    :param wait: seconds that the daemon is asked to wait.
    """

    path: str
    method: str = 'GET'
    query: Mapping[str, str] = dataclasses.field(default_factory=dict)
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    content: Any = None
    wait: float = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdminAnswer:
    """A successful answer of a daemon.

    :param status: HTTP status code.
    :param content: decoded JSON body.
    """

    status: int
    content: Any


async def send_request(
    options: Options,
    request: AdminRequest,
) -> AdminAnswer:
    """Send a request and return the answer.

    :param options: URL of the daemon, and the token.
    :param request: the request.
    :raises CommandError: when the request was refused, the daemon could not
        be reached, or the outcome is not known.
    """
    timeouts = aiohttp.ClientTimeout(
        total=ANSWER_TIMEOUT + request.wait,
        sock_connect=CONNECT_TIMEOUT,
    )
    try:
        async with aiohttp.ClientSession(timeout=timeouts) as session:
            return await _exchange(session, options, request)
    except aiohttp.ClientConnectorError as fault:
        raise _make_unreachable_error(options, str(fault)) from fault
    except aiohttp.ConnectionTimeoutError as fault:
        raise _make_unreachable_error(options, 'no connection') from fault
    except (aiohttp.ClientError, TimeoutError) as fault:
        detail = str(fault) or 'no answer in time'
        raise _make_exchange_error(options, request, detail) from fault


async def _exchange(
    session: aiohttp.ClientSession,
    options: Options,
    request: AdminRequest,
) -> AdminAnswer:
    headers = dict(request.headers)
    if options.token:
        headers['authorization'] = f'Bearer {options.token}'
    base = options.daemon.rstrip('/')
    async with session.request(
        request.method,
        f'{base}/-/{request.path}',
        params=request.query,
        headers=headers,
        json=request.content,
        allow_redirects=False,
    ) as response:
        body = await _read_body(response)
        content = _parse_json(body)
        if response.status < HTTPStatus.MULTIPLE_CHOICES:
            if content is not None:
                return AdminAnswer(response.status, content)
            raise _make_exchange_error(
                options, request, 'the answer is not JSON'
            )
        raise _make_problem_error(response.status, content, request)


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError('the answer is too large')
    return bytes(body)


def _parse_json(body: bytes) -> Any:
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        return None


def _make_problem_error(
    status: int,
    content: Any,
    request: AdminRequest,
) -> CommandError:
    if not isinstance(content, dict) or 'kind' not in content:
        return CommandError(
            ExitCode.REFUSED,
            f'status {status}, which is no answer of verbenapost',
            'check that --daemon names a daemon',
        )
    detail = str(content.get('detail', ''))
    message = f'{content["kind"]}: {detail}'
    advice = ADVICE.get(content['kind'], DEFAULT_ADVICE)
    code = ExitCode.REFUSED
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        may_have_run = content.get('outcome') != Outcome.NOT_RUN
        is_change = request.method != 'GET'
        code = (
            ExitCode.UNKNOWN
            if may_have_run and is_change
            else (ExitCode.UNREACHABLE)
        )
    return CommandError(code, message, advice)


def _make_unreachable_error(options: Options, detail: str) -> CommandError:
    return CommandError(
        ExitCode.UNREACHABLE,
        f'{options.daemon} can not be reached: {detail}',
        'check the URL, or name another daemon with --daemon',
    )


def _make_exchange_error(
    options: Options,
    request: AdminRequest,
    detail: str,
) -> CommandError:
    """Return the error of an exchange that failed after it was connected."""
    message = f'{options.daemon} gave no whole answer: {detail}'
    if request.method == 'GET':
        advice = 'repeat, or name another daemon with --daemon'
        return CommandError(ExitCode.UNREACHABLE, message, advice)
    advice = 'look with get, list or history whether it took effect'
    return CommandError(ExitCode.UNKNOWN, message, advice)
