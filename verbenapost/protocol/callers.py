"""Messages between a caller and an entry."""

import dataclasses
from collections.abc import Sequence

RawHeaders = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAnswer:
    """What a caller gets, whole.

    :param status: HTTP status code.
    :param headers: names and values as bytes.
    :param content: whole body.
    """

    status: int
    headers: RawHeaders
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as it came, before it is checked.

    :param method: HTTP method.
    :param path: path and query as they were sent, percent-encoded.
    :param headers: lower-case names with their values.
    :param content: whole body.
    """

    method: str
    path: str
    headers: Sequence[tuple[str, str]]
    content: bytes
