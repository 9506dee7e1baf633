"""Membership, liveness and freshness as seen by one daemon."""

from collections.abc import Sequence
from typing import Protocol, final

from verbenapost.coordination.contactages import NEVER
from verbenapost.coordination.contacts import Contacts, Timing
from verbenapost.coordination.ownership import rank_members
from verbenapost.coordination.quorum import Status
from verbenapost.coordination.register import MemberRegister
from verbenapost.coordination.topology import PeerRing
from verbenapost.protocol.membership import (
    NO_AGE,
    Envelope,
    Heartbeat,
    RevisionQuery,
    RevisionReport,
    ViewOffer,
    ViewRequest,
)
from verbenapost.state.members import MemberRecord, pack_set, unpack_set

#: Members whose contact ages one heartbeat reply reports, at most.
MAX_AGES_PER_REPLY = 256

#: Members that check their views against the store on behalf of all.
STORE_CHECKERS = 5

#: Time between two checks by one member, as a share of the view timeout.
CHECK_PERIOD_SHARE = 0.25

#: Age of the last confirmation, as a share of the view timeout, after which
#: any member checks with the store itself.
OVERDUE_SHARE = 0.6

#: Milliseconds in one second.
MILLISECONDS_PER_SECOND = 1000


class RelayedConfiguration(Protocol):
    """Configuration documents that members relay to each other."""

    @property
    def newest(self) -> int:
        """Return the newest revision of any document."""

    @property
    def applied(self) -> int:
        """Return the newest revision up to which all documents are in force."""

    def offer_after(self, revision: int) -> ViewOffer:
        """Return the documents newer than a revision."""

    def adopt_offer(self, offer: ViewOffer) -> bool:
        """Adopt the documents that a peer has sent."""


@final
class Membership:
    """Tracks members and freshness; decides whether to accept work.

    Explanation
    ===========

    A daemon is fresh if the store, or a fresh peer, has confirmed its views
    within the view timeout. A daemon that is not fresh continues to accept
    work if it is in contact with a majority of the members and none of them
    is fresh: the store is then down and nothing can change. Otherwise the
    daemon is isolated and accepts no new work.

    All times are read from the local clock. Information in a peer's message
    is dated by the newest local heartbeat that the peer had received when it
    sent the message, so clocks need not be synchronized.

    :param own_record: record of this process.
    :param views: configuration of this daemon.
    :param timing: membership timeouts and intervals.
    :param seeds: addresses to request views from, ``IP:port``.
    """

    def __init__(
        self,
        own_record: MemberRecord,
        views: RelayedConfiguration,
        timing: Timing,
        seeds: Sequence[str] = (),
    ) -> None:
        self.contacts = Contacts(
            own_record.name, own_record.identity, timing.view_timeout
        )
        self.register = MemberRegister(own_record, timing, self.contacts)
        self.ready = True
        self._own_record = own_record
        self._views = views
        self._timing = timing
        self._seeds = tuple(seeds)
        self._ring = PeerRing(())
        self._ring_revision = 0
        self._round = 0
        self._contact_ages_start = 0
        self._next_round = NEVER
        self._last_check = NEVER
        self._requested: set[str] = set()

    def note_store_confirmation(self, sent_at: float) -> None:
        """Record that the store has confirmed the views.

        :param sent_at: time at which the request to the store was sent; the
            views contain everything that was in the store at that time.
        """
        self.contacts.note_freshness(sent_at, current=True)

    def begin_store_check(self, now: float) -> bool:
        """Return whether to check the views against the store now.

        A positive answer is recorded as the time of the last check.
        """
        live = rank_members(self._own_record.region, self.list_live(now))
        timeout = self._timing.view_timeout
        elapsed = now - self._last_check
        is_checker = self._own_record.name in live[:STORE_CHECKERS]
        is_overdue = now - self.contacts.confirmed_at > OVERDUE_SHARE * timeout
        if elapsed < CHECK_PERIOD_SHARE * timeout or not (
            is_checker or is_overdue
        ):
            return False
        self._last_check = now
        return True

    def find_status(self, now: float) -> Status:
        """Return the freshness status of this daemon."""
        if self.register.revision == 0:
            return Status.STARTING
        earliest = now - self._timing.view_timeout
        if self.contacts.confirmed_at > earliest:
            return Status.FRESH
        if self.contacts.newest_confirmation > earliest:
            return Status.ISOLATED
        if self.register.holds_majority(now):
            return Status.OUTAGE
        return Status.ISOLATED

    def accepts_work(self, now: float) -> bool:
        """Return whether the daemon accepts new work, that is, is ready."""
        return self.find_status(now) in {Status.FRESH, Status.OUTAGE}

    def list_live(self, now: float) -> tuple[str, ...]:
        """Return the reachable members, among which owners are chosen."""
        return tuple(sorted(self.register.list_reachable(now)))

    def tick(self, now: float) -> list[Envelope]:
        """Return the messages of a heartbeat round if one is due."""
        if now < self._next_round:
            return []
        self._next_round = now + self._timing.interval
        self._round += 1
        self._requested.clear()
        self._rebuild_ring()
        peers = self._ring.pick_peers(self._own_record.name, self._round)
        heartbeats = [
            Envelope(address, self._compose(now, name))
            for name in peers
            if (address := self._find_address(name))
        ]
        return [*heartbeats, *self._request_from_seeds(now)]

    def receive(self, now: float, message: object) -> list[Envelope]:
        """Process a peer's message and return the answers."""
        match message:
            case Heartbeat():
                return self._handle_heartbeat(now, message)
            case ViewRequest():
                return self._handle_request(message)
            case ViewOffer():
                return self._handle_offer(now, message)
            case RevisionQuery():
                report = RevisionReport(
                    self._own_record.name, self._views.applied
                )
                return [Envelope(message.address, report)]
        return []

    def _handle_heartbeat(
        self, now: float, heartbeat: Heartbeat
    ) -> list[Envelope]:
        if heartbeat.name == self._own_record.name:
            return []
        valid_from = self.contacts.record_heartbeat(heartbeat)
        newer = (
            heartbeat.revision > self._views.newest
            or heartbeat.set_revision > self.register.revision
        )
        if valid_from > NEVER:
            self._merge_ages(heartbeat, valid_from, newer=newer)
        self._merge_confirmations(heartbeat, now)
        answers = self._request_views(heartbeat.address) if newer else []
        if not heartbeat.reply:
            reply = self._compose(now, heartbeat.name, reply=True)
            answers.append(Envelope(heartbeat.address, reply))
        return answers

    def _merge_ages(
        self,
        heartbeat: Heartbeat,
        valid_from: float,
        *,
        newer: bool,
    ) -> None:
        last_contact = self.contacts.last_contact
        if 0 < heartbeat.set_revision <= self.register.revision:
            last_contact.record(heartbeat.name, valid_from)
        if heartbeat.set_revision == self.register.revision:
            order = self.register.member_set.order[heartbeat.first_index :]
            last_contact.merge(order, heartbeat.contact_ages, valid_from)
        if heartbeat.confirmation_age_ms != NO_AGE:
            confirmation_time = (
                valid_from
                - heartbeat.confirmation_age_ms / MILLISECONDS_PER_SECOND
            )
            self.contacts.note_freshness(confirmation_time, current=not newer)

    def _merge_confirmations(self, heartbeat: Heartbeat, now: float) -> None:
        change = self.register.transition
        if change is None or heartbeat.set_revision != self.register.revision:
            return
        change.merge(heartbeat.confirmed, now)

    def _handle_request(self, request: ViewRequest) -> list[Envelope]:
        offer = self._views.offer_after(request.revision)
        if self.register.revision > request.set_revision:
            offer = ViewOffer(
                offer.position,
                offer.entries,
                self.register.revision,
                pack_set(self.register.member_set),
            )
        if not offer.entries and not offer.set_revision:
            return []
        return [Envelope(request.address, offer)]

    def _handle_offer(self, now: float, offer: ViewOffer) -> list[Envelope]:
        self._views.adopt_offer(offer)
        if offer.set_revision > self.register.revision:
            member_set = unpack_set(offer.set_value)
            self.register.adopt(offer.set_revision, member_set, now)
        return []

    def _request_views(self, address: str) -> list[Envelope]:
        if address in self._requested:
            return []
        self._requested.add(address)
        request = ViewRequest(
            self._own_record.address,
            self._views.newest,
            self.register.revision,
        )
        return [Envelope(address, request)]

    def _request_from_seeds(self, now: float) -> list[Envelope]:
        if not self._seeds or self.find_status(now) is Status.FRESH:
            return []
        seed = self._seeds[self._round % len(self._seeds)]
        return (
            []
            if seed == self._own_record.address
            else self._request_views(seed)
        )

    def _compose(
        self,
        now: float,
        receiver: str,
        *,
        reply: bool = False,
    ) -> Heartbeat:
        order = self.register.member_set.order
        first = self._contact_ages_start % max(1, len(order)) if reply else 0
        included = order[first : first + MAX_AGES_PER_REPLY] if reply else ()
        self._contact_ages_start += len(included)
        self.contacts.last_contact.record(self._own_record.name, now)
        change = self.register.transition
        return Heartbeat(
            name=self._own_record.name,
            identity=self._own_record.identity,
            address=self._own_record.address,
            counter=self.contacts.sent.issue(now),
            echo=self.contacts.find_echo(receiver),
            reply=reply,
            revision=self._views.newest,
            set_revision=self.register.revision,
            confirmation_age_ms=self.contacts.encode_freshness(now),
            ready=self.ready,
            first_index=first,
            contact_ages=self.contacts.last_contact.encode(included, now),
            confirmed=change.encode() if change else b'',
        )

    def _rebuild_ring(self) -> None:
        if self._ring_revision == self.register.revision:
            return
        self._ring_revision = self.register.revision
        member_set = self.register.member_set
        joining = member_set.intent.target if member_set.intent else {}
        self._ring = PeerRing({*member_set.members, *joining})

    def _find_address(self, name: str) -> str:
        member_set = self.register.member_set
        joining = member_set.intent.target if member_set.intent else {}
        record = joining.get(name) or member_set.members.get(name)
        return record.address if record else ''
