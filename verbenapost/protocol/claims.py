"""Messages between entries and the owner of the idempotency claims."""

import dataclasses
from typing import final

from verbenapost.protocol.codec import register_message
from verbenapost.protocol.errors import ErrorKind, Failure, Outcome

# Codes on the wire; a code never changes its meaning.
_CLAIM_KEY_CODE = 50
_CLAIM_GRANTED_CODE = 51
_CLAIM_REPEATED_CODE = 52
_CLAIM_REFUSED_CODE = 53
_RECORD_OUTCOME_CODE = 54


@final
@register_message(_CLAIM_KEY_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Asks the owner to claim a key for one attempt to run a request.

    :param key: idempotency key, a UUIDv7 in text form.
    :param attempt: unique 64-bit number of the attempt.
    :param fingerprint: digest of method, service, path and body.
    :param wait: seconds left until the caller's deadline.
    """

    key: str
    attempt: int
    fingerprint: bytes
    wait: float


@final
@register_message(_CLAIM_GRANTED_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted:
    """Allows this attempt, and no other, to run the request."""

    key: str
    attempt: int


@final
@register_message(_CLAIM_REPEATED_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRepeated:
    """Reports that an earlier attempt ran the request.

    :param key: idempotency key.
    :param attempt: attempt that requested the claim.
    :param status: HTTP status of the first answer.
    :param content_type: media type of the first answer.
    :param body: body of the first answer, ``None`` when it was not kept.
    """

    key: str
    attempt: int
    status: int
    content_type: str = ''
    body: bytes | None = None


@final
@register_message(_CLAIM_REFUSED_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefused:
    """Forbids the attempt to run the request.

    :param key: idempotency key.
    :param attempt: attempt that requested the claim.
    :param kind: value of an ``ErrorKind``.
    :param outcome: value of an ``Outcome``.
    :param detail: human-readable explanation.
    """

    key: str
    attempt: int
    kind: str
    outcome: str
    detail: str = ''

    @property
    def failure(self) -> Failure:
        """Return the refusal as a ``Failure``."""
        return Failure(
            ErrorKind(self.kind),
            self.detail,
            known_outcome=Outcome(self.outcome),
        )


@final
@register_message(_RECORD_OUTCOME_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Reports to the owner how an attempt with a granted claim ended.

    :param key: idempotency key.
    :param attempt: attempt that held the claim.
    :param released: whether the request did not run and never will under
        this attempt, so that another attempt may claim the key.
    :param status: HTTP status of the answer.
    :param content_type: media type of the answer.
    :param body: body of the answer, ``None`` when it is too long to keep.
    """

    key: str
    attempt: int
    released: bool = False
    status: int = 0
    content_type: str = ''
    body: bytes | None = None


ClaimAnswer = ClaimGranted | ClaimRepeated | ClaimRefused
