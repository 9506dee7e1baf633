"""Caller requests and their answers, independent of the HTTP server."""

import dataclasses
import enum
from typing import final

from verbenapost.platform.submissions import encode_refusal


@enum.unique
class Status(enum.IntEnum):
    """HTTP status codes of answers."""

    OK = 200
    INVALID = 400
    NO_ROUTE = 404
    NOT_ALLOWED = 405
    NO_JOB = 410
    TOO_LARGE = 413
    REFUSED = 429
    UNAVAILABLE = 503
    TIMEOUT = 504


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EntryRequest:
    """A caller's HTTP request.

    :param method: HTTP method.
    :param host: value of the ``Host`` header, without the port.
    :param path: path without the query.
    :param body: complete body.
    :param deadline: local clock in seconds until which the caller waits.
    """

    method: str
    host: str
    path: str
    body: bytes
    deadline: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EntryAnswer:
    """The answer to a caller.

    :param status: HTTP status.
    :param body: JSON body.
    :param retry_after: seconds for the ``Retry-After`` header, or ``None`` to
        omit the header.
    """

    status: Status
    body: bytes = b'{}'
    retry_after: float | None = None


def refuse(
    status: Status,
    reason: str,
    retry_after: float | None = None,
) -> EntryAnswer:
    """Return an error answer with its reason."""
    return EntryAnswer(status, encode_refusal(reason), retry_after)
