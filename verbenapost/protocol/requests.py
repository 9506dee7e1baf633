"""Checks and parses what a caller sends with a request."""

import dataclasses
import functools
import re
from collections.abc import Iterable
from typing import Final, final
from urllib.parse import unquote

from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure

#: Urgency of a request without the header ``Priority``; 0 is most urgent.
DEFAULT_URGENCY = 3

#: Seconds that a request without ``X-Request-Timeout`` may take.
DEFAULT_TIMEOUT_SECONDS = 30.0

#: Shortest time limit that a caller may ask for, in seconds.
MIN_TIMEOUT_SECONDS = 0.01

#: Longest time limit that a caller may ask for, in seconds.
MAX_TIMEOUT_SECONDS = 3600.0

#: Characters that a path may have.
MAX_PATH_LENGTH = 4096

#: Parsed paths and priorities that are kept.
CACHE_SIZE = 512

METHODS: Final = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'),
)

_MILLISECONDS: Final = 1000
_HEXADECIMAL: Final = 16
_TIME_DIGITS: Final = 12

_KEY = 'idempotency-key'
_PRIORITY = 'priority'
_TIMEOUT = 'x-request-timeout'
_TEAM = 'x-team'
_AUTHORIZATION = 'authorization'
_READ = frozenset((_KEY, _PRIORITY, _TIMEOUT, _TEAM, _AUTHORIZATION))

_UUID7 = re.compile(
    '[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}',
)
_SECONDS = re.compile(r'[0-9]{1,7}(?:\.[0-9]{1,6})?')
_NAME = re.compile('[a-z][a-z0-9_-]{0,62}')
_TOKEN = re.compile('(?i:bearer) +([A-Za-z0-9._~+/-]+=*)')
_TARGET = re.compile('/([^/?#]+)(/[^?#]*)?')
_VISIBLE = re.compile('[!-~]+')

# A member of a structured field dictionary (RFC 9651): a key, then an
# integer, decimal, string, token, byte sequence or boolean, and parameters.
_ITEM = r'-?[0-9]+(?:\.[0-9]+)?|"[^"\\]*"|[A-Za-z*][\w!#$%&\'*+.^`|~:/-]*'
_MEMBER = re.compile(
    rf'([a-z*][a-z0-9_.*-]*)(?:=({_ITEM}|:[A-Za-z0-9+/=]*:|\?[01]))?'
    rf'(?:; *[a-z*][a-z0-9_.*-]*(?:=(?:{_ITEM}|\?[01]))?)*'
    r'[ \t]*(?:,[ \t]*(?=.)|$)',
)

Headers = Iterable[tuple[str, str]]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Priority:
    """What a caller says of its haste (RFC 9218).

    :param urgency: 0, the most urgent, to 7.
    :param incremental: parts of the answer are of use alone.
    """

    urgency: int = DEFAULT_URGENCY
    incremental: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request whose form has been checked.

    :param method: HTTP method.
    :param service: first segment of the path.
    :param path: rest of the path as it was sent, percent-encoded, with the
        query.
    :param route_path: rest of the path decoded, without the query, to match
        rules against.
    :param key: idempotency key in lower case, empty for none.
    :param key_time: Unix time in the key, in seconds.
    :param priority: urgency and whether incremental.
    :param timeout: seconds that the caller waits.
    :param team: text of ``X-Team``, empty for none.
    :param token: bearer token, empty for none.
    """

    method: str
    service: str
    path: str
    route_path: str
    key: str = ''
    key_time: float = 0
    priority: Priority = Priority()
    timeout: float = DEFAULT_TIMEOUT_SECONDS
    team: str = ''
    token: str = dataclasses.field(default='', repr=False)


class _RefusedError(Exception):
    """Carries what is wrong out of the parsing functions."""


def parse_caller_request(
    method: str,
    path: str,
    headers: Headers,
) -> Result[CallerRequest, Failure]:
    """Check the method, the path and the headers that steer the request.

    Explanation
    ===========

    A malformed header is refused and not ignored, also where the header's
    standard lets a server ignore it: work of the wrong urgency, or run
    without the key that was meant, would be found out too late.

    Examples
    ========

    >>> request = parse_caller_request(
    ...     'POST', '/booking/visits', [('priority', 'u=1')]
    ... ).unwrap()
    >>> request.service, request.path, request.priority.urgency
    ('booking', '/visits', 1)

    :param method: HTTP method, upper case.
    :param path: path as it was sent, percent-encoded, with the query.
    :param headers: lower-case names with their values.
    :returns: the request, or a failure of kind ``BAD_REQUEST``.
    """
    try:
        return Ok(_parse(method, path, headers))
    except _RefusedError as refusal:
        return Err(Failure(ErrorKind.BAD_REQUEST, str(refusal)))


def _parse(method: str, path: str, headers: Headers) -> CallerRequest:
    if method not in METHODS:
        raise _RefusedError('The method is not supported.')
    location, mark, query = path.partition('?')
    if query and not _VISIBLE.fullmatch(query):
        raise _RefusedError('The query in the path must be visible ASCII.')
    service, rest, route_path = _split_path(location)
    found = _collect(headers)
    key = _parse_key(found.get(_KEY))
    return CallerRequest(
        method,
        service,
        f'{rest}{mark}{query}',
        route_path,
        key,
        _read_key_time(key) if key else 0,
        parse_priority(found.get(_PRIORITY, '')),
        _parse_timeout(found.get(_TIMEOUT)),
        _parse_team(found.get(_TEAM)),
        _parse_token(found.get(_AUTHORIZATION)),
    )


def _collect(headers: Headers) -> dict[str, str]:
    found: dict[str, str] = {}
    for name, raw in headers:
        if name not in _READ:
            continue
        text = raw.strip(' \t')
        earlier = found.get(name)
        if earlier is not None:
            if name != _PRIORITY:
                raise _RefusedError(f'{name} is given twice.')
            text = f'{earlier}, {text}'
        found[name] = text
    return found


@functools.lru_cache(maxsize=CACHE_SIZE)
def _split_path(path: str) -> tuple[str, str, str]:
    if len(path) > MAX_PATH_LENGTH:
        raise _RefusedError(f'The path is over {MAX_PATH_LENGTH} characters.')
    parts = _TARGET.fullmatch(path)
    if parts is None or not _VISIBLE.fullmatch(path):
        raise _RefusedError('The path must have the form /<service>/<path>.')
    service, rest = parts[1], parts[2] or '/'
    if not _NAME.fullmatch(service):
        raise _RefusedError('The first segment of the path names no service.')
    route_path = unquote(rest)
    segments = route_path.replace('\\', '/').split('/')[1:]
    if '' in segments[:-1] or not {'.', '..'}.isdisjoint(segments):
        raise _RefusedError('The path has an empty or relative segment.')
    return service, rest, route_path


def _parse_key(text: str | None) -> str:
    if text is None:
        return ''
    if len(text) > 1 and text[0] == text[-1] == '"':
        text = text[1:-1]
    key = text.lower()
    if not _UUID7.fullmatch(key):
        raise _RefusedError('Idempotency-Key must be a UUID of version 7.')
    return key


def _read_key_time(key: str) -> float:
    digits = key.replace('-', '', 1)[:_TIME_DIGITS]
    return int(digits, _HEXADECIMAL) / _MILLISECONDS


@functools.lru_cache(maxsize=CACHE_SIZE)
def parse_priority(text: str) -> Priority:
    """Parse the header ``Priority``; unknown members are ignored.

    :raises _RefusedError: when it is malformed or the urgency is not 0 to 7.
    """
    members: dict[str, str | None] = {}
    position = 0
    while position < len(text):
        member = _MEMBER.match(text, position)
        if member is None:
            raise _RefusedError('Priority must have a form such as u=3, i.')
        members[member[1]] = member[2]
        position = member.end()
    urgency = members.get('u', str(DEFAULT_URGENCY))
    if urgency is None or not re.fullmatch('[0-7]', urgency):
        raise _RefusedError('The urgency u in Priority must be 0 to 7.')
    incremental = members.get('i', '?0')
    if incremental not in {None, '?0', '?1'}:
        raise _RefusedError('The member i in Priority must be a boolean.')
    return Priority(int(urgency), incremental != '?0')


def _parse_timeout(text: str | None) -> float:
    if text is None:
        return DEFAULT_TIMEOUT_SECONDS
    if not _SECONDS.fullmatch(text):
        raise _RefusedError('X-Request-Timeout must be a number of seconds.')
    timeout = float(text)
    if MIN_TIMEOUT_SECONDS <= timeout <= MAX_TIMEOUT_SECONDS:
        return timeout
    raise _RefusedError(
        f'X-Request-Timeout must be {MIN_TIMEOUT_SECONDS} to '
        f'{MAX_TIMEOUT_SECONDS:.0f} seconds.',
    )


def _parse_team(text: str | None) -> str:
    if text is None:
        return ''
    if not _NAME.fullmatch(text):
        raise _RefusedError('X-Team must be the name of a team.')
    return text


def _parse_token(text: str | None) -> str:
    if text is None:
        return ''
    parts = _TOKEN.fullmatch(text)
    if parts is None:
        raise _RefusedError('Authorization must be a bearer token.')
    return parts[1]
