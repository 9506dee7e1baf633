"""Messages between entries and the owner of the claims."""

import dataclasses
from typing import final

from verbenapost.protocol.codec import register_message
from verbenapost.protocol.errors import ErrorKind, Failure, Outcome

_CLAIM_KEY = 50
_CLAIM_GRANTED = 51
_CLAIM_REPEATED = 52
_CLAIM_REFUSED = 53
_RECORD_OUTCOME = 54


@final
@register_message(_CLAIM_KEY)
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Asks the owner to claim a key for one attempt to run a request.

    :param key: idempotency key, a UUIDv7 in text form.
    :param attempt: number of 64 bits that no other attempt has.
    :param fingerprint: digest of method, service, path and body.
    :param wait: seconds that the caller still waits.
    """

    key: str
    attempt: int
    fingerprint: bytes
    wait: float


@final
@register_message(_CLAIM_GRANTED)
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The attempt, and no other, may run the request."""

    key: str
    attempt: int


@final
@register_message(_CLAIM_REPEATED)
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRepeated:
    """An earlier attempt ran the request.

    :param key: idempotency key.
    :param attempt: attempt that asked.
    :param status: HTTP status of the first answer.
    :param content_type: media type of the first answer.
    :param body: body of the first answer, ``None`` when it is not held.
    """

    key: str
    attempt: int
    status: int
    content_type: str = ''
    body: bytes | None = None


@final
@register_message(_CLAIM_REFUSED)
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The attempt must not run the request.

    :param key: idempotency key.
    :param attempt: attempt that asked.
    :param kind: error kind.
    :param outcome: what is known of the request.
    :param detail: what happened, for people.
    """

    key: str
    attempt: int
    kind: str
    outcome: str
    detail: str = ''

    @property
    def failure(self) -> Failure:
        """Return the refusal as a failure."""
        return Failure(
            ErrorKind(self.kind),
            self.detail,
            known_outcome=Outcome(self.outcome),
        )


@final
@register_message(_RECORD_OUTCOME)
@dataclasses.dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Tells the owner how a granted attempt ended.

    :param key: idempotency key.
    :param attempt: attempt that held the claim.
    :param released: the request did not run and never will under this
        attempt; another attempt may claim the key.
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
