"""Messages between an entry and a target."""

import dataclasses
from collections.abc import Sequence

#: Header that carries the request's own identifier to the target and back.
REQUEST_ID_HEADER = 'X-Request-Id'

#: Headers that hold for one connection only and are never passed on.
HOP_HEADERS = frozenset(
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

# A caller's token and its own request identifier stop at the entry.
_DROPPED = HOP_HEADERS | {'authorization', 'x-request-id'}


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequest:
    """One attempt of a request.

    :param address: ``IP:port`` of the target.
    :param request_id: identifier that the target may echo.
    :param headers: end-to-end headers.
    :param timeout: seconds left for the attempt.
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
    """A whole answer that belongs to its request."""

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
    dropped = _DROPPED
    for name, text in headers:
        if name == 'connection':
            named = (part.strip() for part in text.lower().split(','))
            dropped = dropped.union(named)
    return [row for row in headers if row[0] not in dropped]
