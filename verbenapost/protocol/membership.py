"""Messages of membership, freshness and the relay of views."""

import dataclasses
from typing import final

from verbenapost.protocol.codec import register_message

#: Age that stands for "never" in messages.
NO_AGE = -1

HEARTBEAT_CODE = 70
VIEW_REQUEST_CODE = 71
VIEW_OFFER_CODE = 72
REVISION_QUERY_CODE = 73
REVISION_REPORT_CODE = 74
VM_REQUEST_CODE = 75
VM_OFFER_CODE = 76


@final
@register_message(HEARTBEAT_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a member knows, in ages instead of clock times.

    Explanation
    ===========

    ``echo`` repeats the newest counter that the sender has from the receiver.
    The receiver knows when it sent that counter, so whatever the message
    says was true after that moment, however long it was on its way.

    :param name: name of the sender.
    :param identity: identity of the sender's process.
    :param address: ``IP:port`` of the sender's peer stream.
    :param counter: number of the message, growing within the process.
    :param echo: newest counter from the receiver, or 0.
    :param reply: whether it answers a heartbeat.
    :param revision: newest configuration revision of the sender.
    :param set_revision: revision of the sender's member set.
    :param fresh_age: milliseconds since the sender's views were confirmed.
    :param ready: whether the sender takes new work.
    :param load: load of the sender in thousandths.
    :param first: place of the first member in ``reach``.
    :param reach: ages of contact with members, one byte each; only in
        replies, since nothing else is dated closely.
    :param confirmed: bits of the members that know of the change of the set
        that is under way.
    """

    name: str
    identity: str
    address: str
    counter: int
    echo: int = 0
    reply: bool = False
    revision: int = 0
    set_revision: int = 0
    fresh_age: int = NO_AGE
    ready: bool = False
    load: int = 0
    first: int = 0
    reach: bytes = b''
    confirmed: bytes = b''


@final
@register_message(VIEW_REQUEST_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class ViewRequest:
    """Asks a peer for what is newer than the sender's views.

    :param address: ``IP:port`` to answer to.
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
    """Newer configuration documents and the member set.

    :param position: store revision up to which the documents are complete.
    :param entries: rows of key, value and revision, in order of revision.
    :param set_revision: revision of the member set, or 0 for none.
    :param set_value: member set as in the store, or empty.
    """

    position: int
    entries: tuple[tuple[str, bytes, int], ...] = ()
    set_revision: int = 0
    set_value: bytes = b''


@final
@register_message(REVISION_QUERY_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class RevisionQuery:
    """Asks a member which configuration is in force on it.

    :param address: ``IP:port`` to answer to.
    """

    address: str


@final
@register_message(REVISION_REPORT_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class RevisionReport:
    """Tells which configuration is in force on a member.

    :param name: name of the member.
    :param revision: revision up to which the configuration is in force.
    """

    name: str
    revision: int


@final
@register_message(VM_REQUEST_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class VmRecordsRequest:
    """Asks a peer for VM records that are newer than the sender's.

    :param position: store revision up to which the sender's are complete.
    """

    position: int


@final
@register_message(VM_OFFER_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class VmRecordsOffer:
    """All VM records of a peer.

    :param position: store revision up to which they are complete.
    :param entries: rows of key, value and revision.
    """

    position: int
    entries: tuple[tuple[str, bytes, int], ...] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message to be sent.

    :param address: ``IP:port`` of the receiver's peer stream.
    :param message: registered message.
    """

    address: str
    message: object
