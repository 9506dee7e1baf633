"""Messages between a caller and an entry, the daemon that it calls."""

import dataclasses
from collections.abc import Sequence

RawHeaders = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Complete HTTP answer to a caller.

    :param status: HTTP status code.
    :param headers: names and values as bytes.
    :param content: complete body.
    """

    status: int
    headers: RawHeaders
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Request as received, before its validation.

    :param method: HTTP method.
    :param path: path and query as sent, percent-encoded.
    :param headers: lower-case names with their values.
    :param content: complete body.
    """

    method: str
    path: str
    headers: Sequence[tuple[str, str]]
    content: bytes
