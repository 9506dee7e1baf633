"""Messages of membership, freshness and the relay of views to peers."""

import dataclasses
from typing import final

from verbenapost.protocol.codec import register_message

#: Age that means "never" in messages.
NO_AGE = -1

# Codes on the wire; a code never changes its meaning.
HEARTBEAT_CODE = 70
VIEW_REQUEST_CODE = 71
VIEW_OFFER_CODE = 72
REVISION_QUERY_CODE = 73
REVISION_REPORT_CODE = 74
VM_RECORDS_REQUEST_CODE = 75
VM_RECORDS_OFFER_CODE = 76


@final
@register_message(HEARTBEAT_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of a member, in ages instead of clock times.

    Explanation
    ===========

    ``echo`` repeats the newest counter that the sender has received from the
    receiver of the message. The receiver knows when it sent that counter, so
    whatever the message says held after that moment, however long the
    delivery took.

    :param name: name of the sender.
    :param identity: identity of the sender's process.
    :param address: ``IP:port`` of the sender's peer stream.
    :param counter: number of the message, increasing within the process.
    :param echo: newest counter from the receiver, or 0.
    :param reply: whether the message answers a heartbeat.
    :param revision: newest configuration revision of the sender.
    :param set_revision: revision of the sender's member set.
    :param confirmation_age_ms: milliseconds since the sender's views were
        confirmed, or ``NO_AGE``.
    :param ready: whether the sender accepts new work.
    :param load: always 0; the place of the field in the message is kept.
    :param first_index: index of the first member of ``contact_ages`` in the
        sorted names.
    :param contact_ages: ages of the last contact with members, one byte each;
        only in replies, since other messages cannot be dated closely.
    :param confirmed: bit set of the members that have confirmed the pending
        change of the member set.
    """

    name: str
    identity: str
    address: str
    counter: int
    echo: int = 0
    reply: bool = False
    revision: int = 0
    set_revision: int = 0
    confirmation_age_ms: int = NO_AGE
    ready: bool = False
    load: int = 0
    first_index: int = 0
    contact_ages: bytes = b''
    confirmed: bytes = b''


@final
@register_message(VIEW_REQUEST_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class ViewRequest:
    """Requests what is newer than the sender's views.

    :param address: ``IP:port`` to which the answer is sent.
    :param revision: newest configuration revision of the sender.
    :param set_revision: revision of the sender's member set.
    """

    address: str
    revision: int = 0
    set_revision: int = 0


@final
@register_message(VIEW_OFFER_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class ViewOffer:
    """Documents and member set that are newer than the receiver's.

    :param position: store revision up to which the documents are complete.
    :param entries: rows of key, value and revision, in order of revision.
    :param set_revision: revision of the member set, or 0 for none.
    :param set_value: member set in its stored form, or empty.
    """

    position: int
    entries: tuple[tuple[str, bytes, int], ...] = ()
    set_revision: int = 0
    set_value: bytes = b''


@final
@register_message(REVISION_QUERY_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class RevisionQuery:
    """Requests the configuration revision in force on a member.

    :param address: ``IP:port`` to which the answer is sent.
    """

    address: str


@final
@register_message(REVISION_REPORT_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class RevisionReport:
    """Reports the configuration revision in force on a member.

    :param name: name of the member.
    :param revision: revision up to which the configuration is in force.
    """

    name: str
    revision: int


@final
@register_message(VM_RECORDS_REQUEST_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class VmRecordsRequest:
    """Requests VM records that are newer than the sender's.

    :param position: store revision up to which the sender's records are
        complete.
    """

    position: int


@final
@register_message(VM_RECORDS_OFFER_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class VmRecordsOffer:
    """All VM records of a peer.

    :param position: store revision up to which the records are complete.
    :param entries: rows of key, value and revision.
    """

    position: int
    entries: tuple[tuple[str, bytes, int], ...] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """Outgoing message and the address of its receiver.

    :param address: ``IP:port`` of the receiver's peer stream.
    :param message: registered message.
    """

    address: str
    message: object
