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
_ASK_SLOT = 30
_GRANT_SLOT = 31
_REFUSE_SLOT = 32
_CANCEL_ASK = 33
_RELEASE_SLOT = 34
_REPORT_SLOTS = 35
_REQUEST_REPORT = 36
_BORROW_SLOTS = 37
_LEND_SLOTS = 38
_RETURN_SLOTS = 39
_QUEUE_READY = 40


@enum.unique
class Verdict(enum.StrEnum):
    """How the use of a granted slot ended.

    ``OK`` is any whole answer, ``FAILED`` a broken or missing answer,
    ``REFUSED`` a connection that the target did not accept, ``CANCELLED``
    an end for which the target gets neither praise nor blame.
    """

    OK = 'ok'
    FAILED = 'failed'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'


@register_message(_ASK_SLOT)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class AskSlot:
    """An entry asks the queue owner for a slot of a service.

    Examples
    ========

    >>> AskSlot('a-1', 'booking', 'portal', 'visit').urgency
    3

    :param ask_id: identity of the ask, unique over all entries.
    :param service: service that the request is for.
    :param team: team of the caller.
    :param kind: kind of work.
    :param urgency: 0 for the most urgent to 7 for the least urgent.
    :param deadline_in: seconds that are left to the caller.
    :param idempotent: whether a repeat has the effect of a single run.
    :param expected: run time that the caller declares, in seconds, or 0.
    :param avoid: names of targets on which the request failed before.
    :param entry: name of the asking daemon.
    :param job: identity that the asks of one request share, or empty.
    """

    ask_id: str
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


@register_message(_GRANT_SLOT)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class GrantSlot:
    """The owner gives a slot of one target to an ask.

    :param ask_id: ask that is answered.
    :param grant: number of the grant, unique for the owner's epoch.
    :param target: name of the target.
    :param address: ``IP:port`` of the target.
    :param expires_in: seconds after which the owner may use the slot
        again, unless the entry reports that the grant still runs.
    :param service: service of the ask.
    :param owner_epoch: identity of the owner's start.
    """

    ask_id: str
    grant: int
    target: str
    address: str
    expires_in: float
    service: str = ''
    owner_epoch: int = 0


@register_message(_REFUSE_SLOT)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class RefuseSlot:
    """The owner gives no slot; no target has seen the request.

    :param ask_id: ask that is answered.
    :param kind: value of an ``ErrorKind``.
    :param retry_after: seconds after which a repeat may help.
    :param detail: what happened, for people.
    :param service: service of the ask.
    """

    ask_id: str
    kind: str
    retry_after: float
    detail: str = ''
    service: str = ''


@register_message(_CANCEL_ASK)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class CancelAsk:
    """The caller went away before the ask was answered.

    A grant that crosses this message is released as ``CANCELLED`` by the
    owner, and by the entry when it sees the grant.
    """

    ask_id: str
    service: str = ''


@register_message(_RELEASE_SLOT)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """The entry is done with a granted slot.

    :param grant: number of the grant.
    :param ask_id: ask that was granted.
    :param verdict: value of a ``Verdict``.
    :param run_time: seconds from the first byte sent to the end.
    :param service: service of the ask.
    """

    grant: int
    ask_id: str
    verdict: str
    run_time: float
    service: str = ''


class RunningGrant(NamedTuple):
    """Row of a report: a grant that an entry uses now.

    Examples
    ========

    >>> RunningGrant(*(7, 'a-1', 'vm-3', 'portal', 'visit', 0.5)).target
    'vm-3'

    :param grant: number of the grant, from the owner that gave it; 0 for a
        slot of the entry's static share.
    :param ask_id: ask that was granted.
    :param target: name of the target.
    :param team: team of the caller.
    :param kind: kind of work.
    :param age: seconds since the grant.
    """

    grant: int
    ask_id: str
    target: str
    team: str
    kind: str
    age: float


@register_message(_REPORT_SLOTS)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReportSlots:
    """Everything that one entry holds or waits for at one service.

    Sent to a new owner, in answer to ``RequestReport``, and from time to
    time to keep the grants of long requests from expiring.

    :param entry: name of the reporting daemon.
    :param owner_epoch: epoch of the owner that the report is for.
    :param running: rows as of ``RunningGrant``.
    :param waiting: rows as of ``pack_ask``.
    :param service: service of the queue.
    """

    entry: str
    owner_epoch: int
    running: tuple[tuple[Any, ...], ...] = ()
    waiting: tuple[tuple[Any, ...], ...] = ()
    service: str = ''


@register_message(_REQUEST_REPORT)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestReport:
    """A new owner asks an entry for its report."""

    service: str
    owner_epoch: int


@register_message(_QUEUE_READY)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class QueueReady:
    """The owner knows all running grants and gives slots again."""

    service: str
    owner_epoch: int


@register_message(_BORROW_SLOTS)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class BorrowSlots:
    """An owner asks the owner of a spare pool's service for idle slots.

    :param borrower: service that is full.
    :param wanted: slots that the borrower could use now, in all.
    :param lender: service of the spare pool.
    """

    borrower: str
    wanted: int
    lender: str


@register_message(_LEND_SLOTS)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class LendSlots:
    """The spare pool lends slots of one target until the expiry.

    The message replaces what was lent of that target before.

    :param lender: service that lends.
    :param borrower: service that borrows.
    :param target: name of the target.
    :param address: ``IP:port`` of the target.
    :param slots: slots lent of that target; 0 recalls all of them.
    :param expires_in: seconds until the loan ends by itself.
    """

    lender: str
    borrower: str
    target: str
    address: str
    slots: int
    expires_in: float


@register_message(_RETURN_SLOTS)
@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReturnSlots:
    """The borrower says how many lent slots of a target it still uses.

    :param borrower: service that borrowed.
    :param lender: service that lent.
    :param target: name of the target.
    :param kept: slots that the borrower keeps.
    """

    borrower: str
    lender: str
    target: str
    kept: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """An outgoing message of a queue and its receiver.

    :param to: name of an entry, or of a service when ``to_owner`` is set.
    :param message: registered message.
    :param to_owner: the receiver is the owner of the queue of ``to``.
    """

    to: str
    message: Any
    to_owner: bool = False


def pack_ask(ask: AskSlot) -> tuple[Any, ...]:
    """Return the row of an ask in a report.

    Examples
    ========

    >>> ask = AskSlot('a-1', 'booking', 'portal', 'visit')
    >>> AskSlot(*pack_ask(ask)) == ask
    True
    """
    return dataclasses.astuple(ask)
