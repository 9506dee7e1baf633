"""Requests of callers and the answers to them, apart from HTTP."""

import dataclasses
import enum
from typing import final

from verbenapost.platform.submissions import encode_refusal


@enum.unique
class Status(enum.IntEnum):
    """HTTP status of an answer."""

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
class CallerRequest:
    """A request of a caller.

    :param method: HTTP method.
    :param host: host that it names.
    :param path: path without a query.
    :param body: whole body.
    :param deadline: local seconds until which the caller waits.
    """

    method: str
    host: str
    path: str
    body: bytes
    deadline: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EntryAnswer:
    """An answer to a caller.

    :param status: HTTP status.
    :param body: JSON.
    :param retry_after: seconds, or ``None`` to leave it out.
    """

    status: Status
    body: bytes = b'{}'
    retry_after: float | None = None


def refuse(
    status: Status,
    reason: str,
    retry_after: float | None = None,
) -> EntryAnswer:
    """Return an answer that says why there is no result."""
    return EntryAnswer(status, encode_refusal(reason), retry_after)
