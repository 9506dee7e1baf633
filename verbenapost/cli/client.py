"""Client of the administration of a daemon."""

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

#: Seconds until a connection has to stand.
CONNECT_SECONDS = 5.0

#: Seconds until the answer has to be there, beside a wait asked for.
ANSWER_SECONDS = 30.0

#: Bytes of an answer that are read.
MAX_ANSWER_BYTES = 67_108_864


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdminRequest:
    """A call to a daemon.

    :param path: path below ``/-/``.
    :param method: HTTP method; all but ``GET`` change something.
    :param query: query of the URL.
    :param headers: headers beside the token.
    :param content: value for a JSON body, or ``None``.
    :param wait: seconds that the daemon was asked to wait.
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
    """A good answer of a daemon."""

    status: int
    content: Any


async def send_request(
    options: Options,
    request: AdminRequest,
) -> AdminAnswer:
    """Send a call and return the answer.

    :raises CommandError: when it was refused, the daemon could not be
        reached, or the outcome is not known.
    """
    limit = aiohttp.ClientTimeout(
        total=ANSWER_SECONDS + request.wait,
        sock_connect=CONNECT_SECONDS,
    )
    try:
        async with aiohttp.ClientSession(timeout=limit) as session:
            return await _exchange(session, options, request)
    except aiohttp.ClientConnectorError as fault:
        raise _explain_unreachable(options, str(fault)) from fault
    except aiohttp.ConnectionTimeoutError as fault:
        raise _explain_unreachable(options, 'no connection') from fault
    except (aiohttp.ClientError, TimeoutError) as fault:
        detail = str(fault) or 'no answer in time'
        raise _explain_broken(options, request, detail) from fault


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
        content = _parse(body)
        if response.status < HTTPStatus.MULTIPLE_CHOICES:
            if content is not None:
                return AdminAnswer(response.status, content)
            raise _explain_broken(options, request, 'the answer is not JSON')
        raise _explain_problem(response.status, content, request)


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError('the answer is too large')
    return bytes(body)


def _parse(body: bytes) -> Any:
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        return None


def _explain_problem(
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
        unknown = content.get('outcome') != Outcome.NOT_RUN
        changes = request.method != 'GET'
        code = (
            ExitCode.UNKNOWN if unknown and changes else (ExitCode.UNREACHABLE)
        )
    return CommandError(code, message, advice)


def _explain_unreachable(options: Options, detail: str) -> CommandError:
    return CommandError(
        ExitCode.UNREACHABLE,
        f'{options.daemon} can not be reached: {detail}',
        'check the URL, or name another daemon with --daemon',
    )


def _explain_broken(
    options: Options,
    request: AdminRequest,
    detail: str,
) -> CommandError:
    """Explain an exchange that broke off after the request was sent."""
    message = f'{options.daemon} gave no whole answer: {detail}'
    if request.method == 'GET':
        advice = 'repeat, or name another daemon with --daemon'
        return CommandError(ExitCode.UNREACHABLE, message, advice)
    advice = 'look with get, list or history whether it took effect'
    return CommandError(ExitCode.UNKNOWN, message, advice)
