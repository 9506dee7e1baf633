"""Messages between entries and the owner of a service's queue."""

import dataclasses
import enum
from typing import Any, NamedTuple, final

from verbenapost.protocol.codec import register_message

#: Most urgent value of the ``Priority`` field of RFC 9218.
MOST_URGENT = 0

#: Least urgent value of the ``Priority`` field of RFC 9218.
LEAST_URGENT = 7

# Codes on the wire; a code never changes its meaning.
_SLOT_REQUEST_CODE = 30
_GRANT_SLOT_CODE = 31
_REFUSE_SLOT_CODE = 32
_CANCEL_SLOT_REQUEST_CODE = 33
_RELEASE_SLOT_CODE = 34
_REPORT_SLOTS_CODE = 35
_REQUEST_REPORT_CODE = 36
_BORROW_SLOTS_CODE = 37
_LEND_SLOTS_CODE = 38
_RETURN_SLOTS_CODE = 39
_QUEUE_READY_CODE = 40


@enum.unique
class RunOutcome(enum.StrEnum):
    """How the use of a granted slot ended.

    ``OK`` is any complete answer, ``FAILED`` a broken or missing answer,
    ``REFUSED`` a connection that the target did not accept. ``CANCELLED`` is
    an end that says nothing about the health of the target.
    """

    OK = 'ok'
    FAILED = 'failed'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'


@register_message(_SLOT_REQUEST_CODE)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """Requests a slot of a service from the queue owner.

    Examples
    ========

    >>> SlotRequest('a-1', 'booking', 'portal', 'visit').urgency
    3

    :param slot_request_id: identity of the slot request, unique over all
        entries.
    :param service: service to which the caller's request is addressed.
    :param team: team of the caller.
    :param kind: kind of work.
    :param urgency: urgency from 0, the most urgent, to 7.
    :param deadline_in: seconds left until the caller's deadline.
    :param idempotent: whether a repeated run has the effect of a single run.
    :param expected: run time that the caller declares, in seconds, or 0.
    :param avoid: names of targets on which the request failed before.
    :param entry: name of the requesting daemon.
    :param job: identity that all slot requests of one caller's request share,
        or empty.
    """

    slot_request_id: str
    service: str
    team: str
    kind: str
    urgency: int = 3
    deadline_in: float = 30.0
    idempotent: bool = True
    expected: float = 0
    avoid: tuple[str, ...] = ()
    entry: str = ''
    job: str = ''


@register_message(_GRANT_SLOT_CODE)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class GrantSlot:
    """Grants a slot of one target to a slot request.

    :param slot_request_id: slot request that is answered.
    :param grant: number of the grant, unique for the owner's epoch.
    :param target: name of the target.
    :param address: ``IP:port`` of the target.
    :param expires_in: seconds after which the owner may grant the slot
        again, unless the entry reports that the grant is still in use.
    :param service: service of the slot request.
    :param owner_epoch: number that identifies this start of the owner.
    """

    slot_request_id: str
    grant: int
    target: str
    address: str
    expires_in: float
    service: str = ''
    owner_epoch: int = 0


@register_message(_REFUSE_SLOT_CODE)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class RefuseSlot:
    """Refuses a slot request; the caller's request reached no target.

    :param slot_request_id: slot request that is answered.
    :param kind: value of an ``ErrorKind``.
    :param retry_after: seconds after which a retry may succeed.
    :param detail: human-readable explanation.
    :param service: service of the slot request.
    """

    slot_request_id: str
    kind: str
    retry_after: float
    detail: str = ''
    service: str = ''


@register_message(_CANCEL_SLOT_REQUEST_CODE)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class CancelSlotRequest:
    """Cancels a slot request whose caller left before the answer.

    A grant that crosses this message is released as ``CANCELLED`` by the
    owner, and by the entry when the grant arrives there.
    """

    slot_request_id: str
    service: str = ''


@register_message(_RELEASE_SLOT_CODE)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Returns a granted slot to the owner after its use.

    :param grant: number of the grant.
    :param slot_request_id: slot request that was granted.
    :param outcome: value of a ``RunOutcome``.
    :param run_time: seconds from the first byte sent to the end.
    :param service: service of the slot request.
    """

    grant: int
    slot_request_id: str
    outcome: str
    run_time: float
    service: str = ''


class RunningGrant(NamedTuple):
    """Row of a report: a grant that the entry is using.

    Examples
    ========

    >>> RunningGrant(*(7, 'a-1', 'vm-3', 'portal', 'visit', 0.5)).target
    'vm-3'

    :param grant: number that the granting owner gave the grant; 0 for a slot
        of the entry's static share.
    :param slot_request_id: slot request that was granted.
    :param target: name of the target.
    :param team: team of the caller.
    :param kind: kind of work.
    :param age: seconds since the grant.
    """

    grant: int
    slot_request_id: str
    target: str
    team: str
    kind: str
    age: float


@register_message(_REPORT_SLOTS_CODE)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReportSlots:
    """Reports all grants and waiting slot requests of an entry at a service.

    Sent to a new owner in answer to ``RequestReport``, and at intervals so
    that the grants of long requests do not expire.

    :param entry: name of the reporting daemon.
    :param owner_epoch: epoch of the owner that receives the report.
    :param running: rows with the fields of ``RunningGrant``.
    :param waiting: rows made by ``pack_slot_request``.
    :param service: service of the queue.
    """

    entry: str
    owner_epoch: int
    running: tuple[tuple[Any, ...], ...] = ()
    waiting: tuple[tuple[Any, ...], ...] = ()
    service: str = ''


@register_message(_REQUEST_REPORT_CODE)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestReport:
    """Requests the report of an entry on behalf of a new owner."""

    service: str
    owner_epoch: int


@register_message(_QUEUE_READY_CODE)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class QueueReady:
    """Announces that a new owner grants slots.

    Sent as soon as the owner knows all running grants.
    """

    service: str
    owner_epoch: int


@register_message(_BORROW_SLOTS_CODE)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class BorrowSlots:
    """Requests idle slots from the owner of a spare pool's service.

    :param borrower: service without free slots.
    :param wanted: total number of lent slots that the borrower could use now.
    :param lender: service of the spare pool.
    """

    borrower: str
    wanted: int
    lender: str


@register_message(_LEND_SLOTS_CODE)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class LendSlots:
    """Lends slots of one target of the spare pool until an expiry.

    The message replaces the earlier loan of slots of that target.

    :param lender: service that lends.
    :param borrower: service that borrows.
    :param target: name of the target.
    :param address: ``IP:port`` of the target.
    :param slots: number of lent slots of that target; 0 recalls all of them.
    :param expires_in: seconds until the loan expires.
    """

    lender: str
    borrower: str
    target: str
    address: str
    slots: int
    expires_in: float


@register_message(_RETURN_SLOTS_CODE)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReturnSlots:
    """Reports how many lent slots of a target the borrower still uses.

    :param borrower: service that borrowed.
    :param lender: service that lent.
    :param target: name of the target.
    :param kept: number of slots that the borrower keeps.
    """

    borrower: str
    lender: str
    target: str
    kept: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class QueueMessage:
    """Outgoing message of a queue and its receiver.

    :param to: name of an entry, or of a service when ``to_owner`` is set.
    :param message: registered message.
    :param to_owner: whether the receiver is the owner of the queue of ``to``.
    """

    to: str
    message: Any
    to_owner: bool = False


def pack_slot_request(slot_request: SlotRequest) -> tuple[Any, ...]:
    """Return the row of a slot request in a report.

    Examples
    ========

    >>> slot_request = SlotRequest('a-1', 'booking', 'portal', 'visit')
    >>> SlotRequest(*pack_slot_request(slot_request)) == slot_request
    True
    """
    return dataclasses.astuple(slot_request)
