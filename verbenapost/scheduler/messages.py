"""Messages between the leader and the other daemons.

The messages are packed positionally, so the order of their fields is fixed.
"""

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

# A call to a worker is sent to a relay unchanged.
register_message(_RELAY_CALL)(EncodedCall)


@final
@register_message(_ADMISSION_REQUEST)
@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Request whether a job may be accepted.

    :param job: identity of the job.
    :param route: name of its route.
    :param service: service that runs the job.
    :param task_cores: total cores of the tasks, without long-running ones.
    :param steps: steps of the longest dependency chain.
    :param due_in: seconds until the first occurrence is due.
    :param tenant: name of the tenant, empty for a job of no tenant.
    """

    job: str
    route: str
    service: str
    task_cores: float
    steps: int
    due_in: float = 0
    tenant: str = ''


@final
@register_message(_ADMISSION_RESPONSE)
@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionResponse:
    """Answer to :class:`AdmissionRequest`.

    :param accepted: whether the job may be accepted.
    :param known: whether the job was already accepted.
    :param retry_after: seconds after which the job may be accepted.
    :param wait: expected wait of the job in seconds.
    :param store_suspect: whether the store may be unavailable.
    """

    accepted: bool
    known: bool = False
    retry_after: float = 0
    wait: float = 0
    store_suspect: bool = False


@final
@register_message(_STATE_REQUEST)
@dataclasses.dataclass(frozen=True, slots=True)
class StateRequest:
    """Request for the state of a job."""

    job: str


@final
@register_message(_STATE_RESPONSE)
@dataclasses.dataclass(frozen=True, slots=True)
class StateResponse:
    """Answer to :class:`StateRequest`.

    :param state: state of the job, empty for an unknown job.
    :param tenant: name of the job's tenant, empty for a job of no tenant.
    """

    state: str
    tenant: str = ''


@final
@register_message(_PENDING_REQUEST)
@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """Request for the number of pending jobs of a route."""

    route: str


@final
@register_message(_PENDING_RESPONSE)
@dataclasses.dataclass(frozen=True, slots=True)
class PendingResponse:
    """Answer to :class:`PendingRequest`.

    :param pending: number of pending jobs.
    :param known: whether the leader knows the jobs of the last seconds.
    """

    pending: int
    known: bool = True


@final
@register_message(_REQUEST)
@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Envelope of a message that expects a reply.

    :param number: sequence number among one side's requests.
    :param body: packed message.
    """

    number: int
    body: bytes


@final
@register_message(_REPLY)
@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Envelope of the reply to a request.

    :param number: sequence number of the request.
    :param body: packed answer; empty when there is none.
    """

    number: int
    body: bytes


@final
@register_message(_HEARTBEAT)
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat on a connection.

    :param relays: whether the sender relays calls for the leader.
    """

    relays: bool


@final
@register_message(_RELAY_ANSWER)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayAnswer:
    """A worker's answer to a relayed call.

    :param status: HTTP status; 0 without an answer.
    :param payload: body of the answer, which may hold secrets of the store.
    :param fault: fault of a call without an answer; empty otherwise.
    :param detail: description of the fault for the log.
    """

    status: int
    payload: bytes = dataclasses.field(repr=False)
    fault: str = ''
    detail: str = ''
