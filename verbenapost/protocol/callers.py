"""Messages between a caller and an entry."""

import dataclasses
from collections.abc import Mapping, Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAnswer:
    """What a caller gets, whole.

    :param status: HTTP status code.
    :param headers: names and values as bytes.
    :param content: whole body.
    """

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as it came, before it is checked.

    :param method: HTTP method.
    :param path: raw path with the query.
    :param headers: lower-case names; the last of several values.
    :param pairs: all end-to-end headers to pass on.
    :param content: whole body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    pairs: Sequence[tuple[str, str]]
    content: bytes
