"""Validation and parsing of callers' requests."""

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

#: Time limit of a request without ``X-Request-Timeout``, in seconds.
DEFAULT_TIMEOUT_SECONDS = 30.0

#: Shortest time limit that a caller may ask for, in seconds.
MIN_TIMEOUT_SECONDS = 0.01

#: Longest time limit that a caller may ask for, in seconds.
MAX_TIMEOUT_SECONDS = 3600.0

#: Maximum length of a path, in characters.
MAX_PATH_LENGTH = 4096

#: Entries in each of the caches of parsed paths and priorities.
CACHE_SIZE = 512

METHODS: Final = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'),
)

_MS_PER_SECOND: Final = 1000
_HEX_BASE: Final = 16
_KEY_TIME_DIGITS: Final = 12

_KEY_HEADER = 'idempotency-key'
_PRIORITY_HEADER = 'priority'
_TIMEOUT_HEADER = 'x-request-timeout'
_TEAM_HEADER = 'x-team'
_AUTHORIZATION_HEADER = 'authorization'
_PARSED_HEADERS = frozenset(
    (
        _KEY_HEADER,
        _PRIORITY_HEADER,
        _TIMEOUT_HEADER,
        _TEAM_HEADER,
        _AUTHORIZATION_HEADER,
    )
)

_UUID7_PATTERN = re.compile(
    '[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}',
)
_SECONDS_PATTERN = re.compile(r'[0-9]{1,7}(?:\.[0-9]{1,6})?')
_NAME_PATTERN = re.compile('[a-z][a-z0-9_-]{0,62}')
_TOKEN_PATTERN = re.compile('(?i:bearer) +([A-Za-z0-9._~+/-]+=*)')
_PATH_PATTERN = re.compile('/([^/?#]+)(/[^?#]*)?')
_VISIBLE_PATTERN = re.compile('[!-~]+')

# A member of a structured field dictionary (RFC 9651): a key, then an
# integer, decimal, string, token, byte sequence or boolean, and parameters.
_ITEM_REGEX = r'-?[0-9]+(?:\.[0-9]+)?|"[^"\\]*"|[A-Za-z*][\w!#$%&\'*+.^`|~:/-]*'
_MEMBER_PATTERN = re.compile(
    rf'([a-z*][a-z0-9_.*-]*)(?:=({_ITEM_REGEX}|:[A-Za-z0-9+/=]*:|\?[01]))?'
    rf'(?:; *[a-z*][a-z0-9_.*-]*(?:=(?:{_ITEM_REGEX}|\?[01]))?)*'
    r'[ \t]*(?:,[ \t]*(?=.)|$)',
)

Headers = Iterable[tuple[str, str]]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Priority:
    """Value of the header ``Priority`` (RFC 9218).

    :param urgency: urgency from 0, the most urgent, to 7.
    :param incremental: whether parts of the answer are useful on their own.
    """

    urgency: int = DEFAULT_URGENCY
    incremental: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """Request with validated path and headers.

    :param method: HTTP method.
    :param service: first segment of the path.
    :param path: rest of the path as sent, percent-encoded, with the query.
    :param route_path: rest of the path, decoded and without the query;
        matched against the route rules.
    :param key: idempotency key in lower case, empty for none.
    :param key_time: Unix time in the key, in seconds.
    :param priority: value of the header ``Priority``.
    :param timeout: time limit of the caller, in seconds.
    :param team: value of ``X-Team``, empty for none.
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


class _FormatError(Exception):
    """Raised by the parsers; its text becomes the failure's detail."""


def parse_caller_request(
    method: str,
    path: str,
    headers: Headers,
) -> Result[CallerRequest, Failure]:
    """Validate the method, the path and the headers that control a request.

    Explanation
    ===========

    A request with a malformed header is refused even where the header's
    standard lets a server ignore it: a run with the wrong urgency, or without
    the intended idempotency key, would be noticed too late.

    Examples
    ========

    >>> request = parse_caller_request(
    ...     'POST', '/booking/visits', [('priority', 'u=1')]
    ... ).unwrap()
    >>> request.service, request.path, request.priority.urgency
    ('booking', '/visits', 1)

    :param method: HTTP method, upper case.
    :param path: path as sent, percent-encoded, with the query.
    :param headers: lower-case names with their values.
    :returns: the request, or a failure of kind ``BAD_REQUEST``.
    """
    try:
        return Ok(_parse(method, path, headers))
    except _FormatError as refusal:
        return Err(Failure(ErrorKind.BAD_REQUEST, str(refusal)))


def _parse(method: str, path: str, headers: Headers) -> CallerRequest:
    if method not in METHODS:
        raise _FormatError('The method is not supported.')
    raw_path, separator, query = path.partition('?')
    if query and not _VISIBLE_PATTERN.fullmatch(query):
        raise _FormatError('The query in the path must be visible ASCII.')
    service, rest, route_path = _split_path(raw_path)
    fields = _collect_fields(headers)
    key = _parse_key(fields.get(_KEY_HEADER))
    return CallerRequest(
        method,
        service,
        f'{rest}{separator}{query}',
        route_path,
        key,
        _read_key_time(key) if key else 0,
        parse_priority(fields.get(_PRIORITY_HEADER, '')),
        _parse_timeout(fields.get(_TIMEOUT_HEADER)),
        _parse_team(fields.get(_TEAM_HEADER)),
        _parse_token(fields.get(_AUTHORIZATION_HEADER)),
    )


def _collect_fields(headers: Headers) -> dict[str, str]:
    fields: dict[str, str] = {}
    for name, raw in headers:
        if name not in _PARSED_HEADERS:
            continue
        text = raw.strip(' \t')
        earlier = fields.get(name)
        if earlier is not None:
            if name != _PRIORITY_HEADER:
                raise _FormatError(f'{name} is given twice.')
            text = f'{earlier}, {text}'
        fields[name] = text
    return fields


@functools.lru_cache(maxsize=CACHE_SIZE)
def _split_path(path: str) -> tuple[str, str, str]:
    if len(path) > MAX_PATH_LENGTH:
        raise _FormatError(f'The path is over {MAX_PATH_LENGTH} characters.')
    parts = _PATH_PATTERN.fullmatch(path)
    if parts is None or not _VISIBLE_PATTERN.fullmatch(path):
        raise _FormatError('The path must have the form /<service>/<path>.')
    service, rest = parts[1], parts[2] or '/'
    if not _NAME_PATTERN.fullmatch(service):
        raise _FormatError('The first segment of the path names no service.')
    route_path = unquote(rest)
    segments = route_path.replace('\\', '/').split('/')[1:]
    if '' in segments[:-1] or not {'.', '..'}.isdisjoint(segments):
        raise _FormatError('The path has an empty or relative segment.')
    return service, rest, route_path


def _parse_key(text: str | None) -> str:
    if text is None:
        return ''
    if len(text) > 1 and text[0] == text[-1] == '"':
        text = text[1:-1]
    key = text.lower()
    if not _UUID7_PATTERN.fullmatch(key):
        raise _FormatError('Idempotency-Key must be a UUID of version 7.')
    return key


def _read_key_time(key: str) -> float:
    digits = key.replace('-', '', 1)[:_KEY_TIME_DIGITS]
    return int(digits, _HEX_BASE) / _MS_PER_SECOND


@functools.lru_cache(maxsize=CACHE_SIZE)
def parse_priority(text: str) -> Priority:
    """Parse the header ``Priority``; unknown members are ignored.

    :raises _FormatError: when the value is malformed or the urgency is
        not 0 to 7.
    """
    members: dict[str, str | None] = {}
    position = 0
    while position < len(text):
        member = _MEMBER_PATTERN.match(text, position)
        if member is None:
            raise _FormatError('Priority must have a form such as u=3, i.')
        members[member[1]] = member[2]
        position = member.end()
    urgency = members.get('u', str(DEFAULT_URGENCY))
    if urgency is None or not re.fullmatch('[0-7]', urgency):
        raise _FormatError('The urgency u in Priority must be 0 to 7.')
    incremental = members.get('i', '?0')
    if incremental not in {None, '?0', '?1'}:
        raise _FormatError('The member i in Priority must be a boolean.')
    return Priority(int(urgency), incremental != '?0')


def _parse_timeout(text: str | None) -> float:
    if text is None:
        return DEFAULT_TIMEOUT_SECONDS
    if not _SECONDS_PATTERN.fullmatch(text):
        raise _FormatError('X-Request-Timeout must be a number of seconds.')
    timeout = float(text)
    if MIN_TIMEOUT_SECONDS <= timeout <= MAX_TIMEOUT_SECONDS:
        return timeout
    raise _FormatError(
        f'X-Request-Timeout must be {MIN_TIMEOUT_SECONDS} to '
        f'{MAX_TIMEOUT_SECONDS:.0f} seconds.',
    )


def _parse_team(text: str | None) -> str:
    if text is None:
        return ''
    if not _NAME_PATTERN.fullmatch(text):
        raise _FormatError('X-Team must be the name of a team.')
    return text


def _parse_token(text: str | None) -> str:
    if text is None:
        return ''
    parts = _TOKEN_PATTERN.fullmatch(text)
    if parts is None:
        raise _FormatError('Authorization must be a bearer token.')
    return parts[1]
