"""Closed set of error kinds and the HTTP answer to each of them."""

import dataclasses
import enum
from http import HTTPStatus
from typing import final

#: Status for a caller that closed the connection; no standard code exists.
CLIENT_CLOSED_REQUEST = 499


@enum.unique
class Outcome(enum.StrEnum):
    """Whether a request without an ordinary answer has run."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


@enum.unique
class ErrorKind(enum.StrEnum):
    """Kinds of refusals and failures reported to callers and operators."""

    BAD_REQUEST = 'bad_request'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    TOO_LARGE = 'too_large'
    KEY_REUSED = 'key_reused'
    KEY_EXPIRED = 'key_expired'
    ALREADY_CLAIMED = 'already_claimed'
    OVERLOADED = 'overloaded'
    QUOTA_EXCEEDED = 'quota_exceeded'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    NO_TARGET = 'no_target'
    TARGET_FAILED = 'target_failed'
    TARGET_REFUSED = 'target_refused'
    UNABLE_TO_RUN = 'unable_to_run'
    CANCELLED = 'cancelled'
    NOT_READY = 'not_ready'
    STORE_UNAVAILABLE = 'store_unavailable'
    STORE_UNKNOWN = 'store_unknown'
    INTERNAL = 'internal'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """HTTP answer to an error kind.

    :param status: HTTP status code.
    :param outcome: outcome of the request, unless the failure overrides it.
    :param title: one sentence for the caller.
    :param retry_after: seconds after which a retry may succeed, or ``None``.
    """

    status: int
    outcome: Outcome
    title: str
    retry_after: float | None = None


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(
        HTTPStatus.BAD_REQUEST, _NOT_RUN, 'The request is malformed.'
    ),
    ErrorKind.UNAUTHENTICATED: ErrorAnswer(
        HTTPStatus.UNAUTHORIZED,
        _NOT_RUN,
        'No valid token came with the request.',
    ),
    ErrorKind.FORBIDDEN: ErrorAnswer(
        HTTPStatus.FORBIDDEN,
        _NOT_RUN,
        'The token does not allow this.',
    ),
    ErrorKind.NOT_FOUND: ErrorAnswer(
        HTTPStatus.NOT_FOUND, _NOT_RUN, 'There is no such resource.'
    ),
    ErrorKind.CONFLICT: ErrorAnswer(
        HTTPStatus.CONFLICT,
        _NOT_RUN,
        'The resource has changed meanwhile.',
    ),
    ErrorKind.INVALID: ErrorAnswer(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        _NOT_RUN,
        'The document breaks a validation rule.',
    ),
    ErrorKind.TOO_LARGE: ErrorAnswer(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        _NOT_RUN,
        'The request is too large.',
    ),
    ErrorKind.KEY_REUSED: ErrorAnswer(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        _NOT_RUN,
        'The key was used with another request.',
    ),
    ErrorKind.KEY_EXPIRED: ErrorAnswer(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        _NOT_RUN,
        'The time in the key is outside the window.',
    ),
    ErrorKind.ALREADY_CLAIMED: ErrorAnswer(
        HTTPStatus.CONFLICT,
        _UNKNOWN,
        'The key was claimed before and its outcome is not known.',
    ),
    ErrorKind.OVERLOADED: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'The service has no capacity in time.',
        retry_after=1,
    ),
    ErrorKind.QUOTA_EXCEEDED: ErrorAnswer(
        HTTPStatus.TOO_MANY_REQUESTS,
        _NOT_RUN,
        'The quota of the team is used up.',
        retry_after=1,
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(
        HTTPStatus.GATEWAY_TIMEOUT,
        _NOT_RUN,
        'The time limit passed before the request could run.',
    ),
    ErrorKind.NO_TARGET: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'The service has no target in service.',
        retry_after=2,
    ),
    ErrorKind.TARGET_FAILED: ErrorAnswer(
        HTTPStatus.BAD_GATEWAY,
        _UNKNOWN,
        'The target broke off or gave no whole answer.',
    ),
    ErrorKind.TARGET_REFUSED: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'No target accepted a connection.',
        retry_after=1,
    ),
    ErrorKind.UNABLE_TO_RUN: ErrorAnswer(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        Outcome.RAN,
        'The request failed on several targets and is set aside.',
    ),
    ErrorKind.CANCELLED: ErrorAnswer(
        CLIENT_CLOSED_REQUEST, _NOT_RUN, 'The caller cancelled it.'
    ),
    ErrorKind.NOT_READY: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'The daemon takes no new work now.',
        retry_after=1,
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        "The platform's store does not answer.",
        retry_after=2,
    ),
    ErrorKind.STORE_UNKNOWN: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _UNKNOWN,
        'The store may or may not have applied the change.',
        retry_after=2,
    ),
    ErrorKind.INTERNAL: ErrorAnswer(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        _UNKNOWN,
        'An internal error occurred.',
    ),
}


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Refusal or failure, used as the error value of a ``Result``.

    Examples
    ========

    >>> int(Failure(ErrorKind.NO_TARGET).answer.status)
    503
    >>> str(Failure(ErrorKind.NOT_FOUND, 'no service x').outcome)
    'not_run'

    :param kind: error kind.
    :param detail: human-readable explanation; empty for the kind's title.
    :param known_outcome: overrides the outcome of the kind's answer.
    :param retry_after: seconds after which a retry may succeed; overrides
        the value of the kind's answer.
    """

    kind: ErrorKind
    detail: str = ''
    known_outcome: Outcome | None = None
    retry_after: float | None = None

    @property
    def answer(self) -> ErrorAnswer:
        """Return the HTTP answer to the kind."""
        return ANSWERS[self.kind]

    @property
    def outcome(self) -> Outcome:
        """Return the known outcome, or the default of the kind."""
        return self.known_outcome or self.answer.outcome

    @property
    def wait(self) -> float | None:
        """Return the seconds to wait before a retry, or ``None``."""
        if self.retry_after is None:
            return self.answer.retry_after
        return self.retry_after
