"""The closed list of error kinds and the answer that each one gets."""

import dataclasses
import enum
from http import HTTPStatus
from typing import final

#: Status for a caller that went away; no standard code stands for it.
CLIENT_CLOSED_REQUEST = 499


@enum.unique
class Outcome(enum.StrEnum):
    """What is known of a request that got no ordinary answer."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


@enum.unique
class ErrorKind(enum.StrEnum):
    """Every kind of refusal or failure that leaves the system."""

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
class Answer:
    """The HTTP form of an error kind.

    :param status: HTTP status code.
    :param outcome: what is known of the request unless the failure says
        otherwise.
    :param sentence: one sentence for the caller.
    :param retry_after: seconds after which a repeat may help, or ``None``.
    """

    status: int
    outcome: Outcome
    sentence: str
    retry_after: float | None = None


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(
        HTTPStatus.BAD_REQUEST, _NOT_RUN, 'The request is malformed.'
    ),
    ErrorKind.UNAUTHENTICATED: Answer(
        HTTPStatus.UNAUTHORIZED,
        _NOT_RUN,
        'No valid token came with the request.',
    ),
    ErrorKind.FORBIDDEN: Answer(
        HTTPStatus.FORBIDDEN,
        _NOT_RUN,
        'The token does not allow this.',
    ),
    ErrorKind.NOT_FOUND: Answer(
        HTTPStatus.NOT_FOUND, _NOT_RUN, 'There is no such resource.'
    ),
    ErrorKind.CONFLICT: Answer(
        HTTPStatus.CONFLICT,
        _NOT_RUN,
        'The resource has changed meanwhile.',
    ),
    ErrorKind.INVALID: Answer(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        _NOT_RUN,
        'The document breaks a validation rule.',
    ),
    ErrorKind.TOO_LARGE: Answer(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        _NOT_RUN,
        'The request is too large.',
    ),
    ErrorKind.KEY_REUSED: Answer(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        _NOT_RUN,
        'The key was used with another request.',
    ),
    ErrorKind.KEY_EXPIRED: Answer(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        _NOT_RUN,
        'The time in the key is outside the window.',
    ),
    ErrorKind.ALREADY_CLAIMED: Answer(
        HTTPStatus.CONFLICT,
        _UNKNOWN,
        'The key was claimed before and its outcome is not known.',
    ),
    ErrorKind.OVERLOADED: Answer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'The service has no capacity in time.',
        retry_after=1,
    ),
    ErrorKind.QUOTA_EXCEEDED: Answer(
        HTTPStatus.TOO_MANY_REQUESTS,
        _NOT_RUN,
        'The quota of the team is used up.',
        retry_after=1,
    ),
    ErrorKind.DEADLINE_EXCEEDED: Answer(
        HTTPStatus.GATEWAY_TIMEOUT,
        _NOT_RUN,
        'The time limit passed before the request could run.',
    ),
    ErrorKind.NO_TARGET: Answer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'The service has no target in service.',
        retry_after=2,
    ),
    ErrorKind.TARGET_FAILED: Answer(
        HTTPStatus.BAD_GATEWAY,
        _UNKNOWN,
        'The target broke off or gave no whole answer.',
    ),
    ErrorKind.TARGET_REFUSED: Answer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'No target accepted a connection.',
        retry_after=1,
    ),
    ErrorKind.UNABLE_TO_RUN: Answer(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        Outcome.RAN,
        'The request failed on several targets and is set aside.',
    ),
    ErrorKind.CANCELLED: Answer(
        CLIENT_CLOSED_REQUEST, _NOT_RUN, 'The caller cancelled it.'
    ),
    ErrorKind.NOT_READY: Answer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'The daemon takes no new work now.',
        retry_after=1,
    ),
    ErrorKind.STORE_UNAVAILABLE: Answer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        "The platform's store does not answer.",
        retry_after=2,
    ),
    ErrorKind.STORE_UNKNOWN: Answer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _UNKNOWN,
        'The store may or may not have applied the change.',
        retry_after=2,
    ),
    ErrorKind.INTERNAL: Answer(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        _UNKNOWN,
        'An internal error occurred.',
    ),
}


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A refusal or failure, used as the error side of a ``Result``.

    Examples
    ========

    >>> int(Failure(ErrorKind.NO_TARGET).answer.status)
    503
    >>> str(Failure(ErrorKind.NOT_FOUND, 'no service x').outcome)
    'not_run'

    :param kind: error kind.
    :param detail: what happened, for people; empty for the kind's sentence.
    :param known_outcome: overrides the outcome of the kind's answer.
    :param retry_after: seconds; overrides the kind's value.
    """

    kind: ErrorKind
    detail: str = ''
    known_outcome: Outcome | None = None
    retry_after: float | None = None

    @property
    def answer(self) -> Answer:
        """Return the table row of the kind."""
        return ANSWERS[self.kind]

    @property
    def outcome(self) -> Outcome:
        """Return what is known of the request."""
        return self.known_outcome or self.answer.outcome

    @property
    def wait(self) -> float | None:
        """Return the seconds to wait before a repeat, if known."""
        if self.retry_after is None:
            return self.answer.retry_after
        return self.retry_after
