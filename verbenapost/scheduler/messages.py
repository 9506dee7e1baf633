"""Messages between the leader and the other daemons."""

import dataclasses
from typing import Final, final

from verbenapost.platform.http import EncodedCall
from verbenapost.protocol.codec import register_message

_ADMISSION_REQUEST: Final = 601
_ADMISSION_RESPONSE: Final = 602
_STATE_REQUEST: Final = 603
_STATE_RESPONSE: Final = 604
_PENDING_REQUEST: Final = 605
_PENDING_RESPONSE: Final = 606
_REQUEST: Final = 607
_REPLY: Final = 608
_HEARTBEAT: Final = 609
_RELAY_CALL: Final = 610
_RELAY_ANSWER: Final = 611

# A call to a worker goes to a relay as it is.
register_message(_RELAY_CALL)(EncodedCall)


@final
@register_message(_ADMISSION_REQUEST)
@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Asks whether a job may be accepted.

    :param job: identity of the job.
    :param route: name of its route.
    :param service: service that runs it.
    :param task_cores: cores of all its tasks together.
    :param steps: steps of its longest chain.
    """

    job: str
    route: str
    service: str
    task_cores: float
    steps: int


@final
@register_message(_ADMISSION_RESPONSE)
@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionResponse:
    """Answer to :class:`AdmissionRequest`.

    :param accepted: whether there is room.
    :param known: whether the job was accepted before.
    :param retry_after: seconds after which there may be room.
    :param wait: seconds that the job is expected to wait.
    """

    accepted: bool
    known: bool = False
    retry_after: float = 0
    wait: float = 0


@final
@register_message(_STATE_REQUEST)
@dataclasses.dataclass(frozen=True, slots=True)
class StateRequest:
    """Asks for the state of a job."""

    job: str


@final
@register_message(_STATE_RESPONSE)
@dataclasses.dataclass(frozen=True, slots=True)
class StateResponse:
    """Answer to :class:`StateRequest`; empty when the job is not known."""

    state: str


@final
@register_message(_PENDING_REQUEST)
@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """Asks how many jobs of a route wait."""

    route: str


@final
@register_message(_PENDING_RESPONSE)
@dataclasses.dataclass(frozen=True, slots=True)
class PendingResponse:
    """Answer to :class:`PendingRequest`."""

    pending: int


@final
@register_message(_REQUEST)
@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A message that wants a reply.

    :param number: counts the requests of one side of a connection.
    :param body: the message, packed.
    """

    number: int
    body: bytes


@final
@register_message(_REPLY)
@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a request.

    :param number: number of the request.
    :param body: the message, packed; empty when there is no answer.
    """

    number: int
    body: bytes


@final
@register_message(_HEARTBEAT)
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat on a connection.

    :param relays: whether the sender carries calls for the leader.
    """

    relays: bool


@final
@register_message(_RELAY_ANSWER)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayAnswer:
    """What a worker has answered to a relayed call.

    :param status: HTTP status; 0 without an answer.
    :param payload: body.
    :param fault: what is known of the call's effect without an answer.
    :param detail: what was seen, for the log.
    """

    status: int
    payload: bytes
    fault: str = ''
    detail: str = ''
