"""Messages between an entry and a target."""

import dataclasses
from collections.abc import Sequence

#: Header that carries the identifier of a request to the target and back.
REQUEST_ID_HEADER = 'X-Request-Id'

#: Hop-by-hop headers, which are never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

Headers = Sequence[tuple[str, str]]

# The caller's token and the caller's request identifier are not forwarded.
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {'authorization', 'x-request-id'}


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequest:
    """One attempt to run a request on a target.

    :param address: ``IP:port`` of the target.
    :param request_id: identifier that the target may echo.
    :param headers: end-to-end headers.
    :param timeout: time limit of the attempt, in seconds.
    """

    address: str
    method: str
    path: str
    request_id: str
    headers: Headers
    content: bytes
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """Complete answer that matches its request."""

    status: int
    headers: Headers
    content: bytes


def select_headers(headers: Headers) -> Headers:
    """Return the end-to-end headers of a caller's request.

    Examples
    ========

    >>> select_headers([('connection', 'x-hop'), ('x-hop', '1'),
    ...                 ('x-kept', '2')])
    [('x-kept', '2')]

    :param headers: lower-case names with their values.
    """
    dropped = _DROPPED_HEADERS
    for name, text in headers:
        if name == 'connection':
            options = (part.strip() for part in text.lower().split(','))
            dropped = dropped.union(options)
    return [row for row in headers if row[0] not in dropped]
