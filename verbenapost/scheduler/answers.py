"""Caller requests and their answers, independent of the HTTP server."""

import dataclasses
import enum
from typing import Final, final

from verbenapost.platform.authorization import AuthenticationFault
from verbenapost.platform.submissions import encode_refusal
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.transport.disconnects import Watch, never_abandoned

#: Seconds after which a caller may retry when no better estimate exists.
UNAVAILABLE_RETRY_SECONDS: Final = 1.0


@enum.unique
class Status(enum.IntEnum):
    """HTTP status codes of answers."""

    OK = 200
    INVALID = 400
    UNAUTHENTICATED = 401
    FORBIDDEN = 403
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
    :param body: complete body, or ``None`` for one that is too large.
    :param deadline: local clock in seconds until which the caller waits.
    :param authorization: value of the ``Authorization`` header, or ``None``.
    :param is_abandoned: returns whether the caller has left.
    """

    method: str
    host: str
    path: str
    body: bytes | None
    deadline: float
    authorization: bytes | None = dataclasses.field(default=None, repr=False)
    is_abandoned: Watch = never_abandoned


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EntryAnswer:
    """The answer to a caller.

    :param status: HTTP status.
    :param body: JSON body.
    :param retry_after: seconds for the ``Retry-After`` header, or ``None`` to
        omit the header.
    :param authentication_fault: reason of a refusal for the caller's API key.
    """

    status: Status
    body: bytes = b'{}'
    retry_after: float | None = None
    authentication_fault: AuthenticationFault | None = None


def refuse(
    status: Status,
    reason: str,
    retry_after: float | None = None,
) -> EntryAnswer:
    """Return an error answer with its reason."""
    return EntryAnswer(status, encode_refusal(reason), retry_after)


def refuse_fault(fault: CallFault) -> EntryAnswer:
    """Return the answer to a caller whose call to the store has failed."""
    if fault.kind is not CallFaultKind.UNKNOWN:
        return refuse(
            Status.UNAVAILABLE,
            'the store is away; not run',
            UNAVAILABLE_RETRY_SECONDS,
        )
    return refuse(Status.TIMEOUT, 'not known whether it was stored')
