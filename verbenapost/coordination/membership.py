"""Membership and freshness of one daemon."""

from collections.abc import Sequence
from typing import Protocol, final

from verbenapost.coordination.ages import NEVER
from verbenapost.coordination.contacts import Contacts, Timing
from verbenapost.coordination.ownership import rank_members
from verbenapost.coordination.quorum import Status
from verbenapost.coordination.register import MemberRegister
from verbenapost.coordination.topology import Ring
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

#: Members whose contact one reply tells.
REACH_ROW = 256

#: Members that confirm their views with the store for the others.
STORE_CONTACTS = 5

#: Share of the view timeout between two confirmations of those members.
CONTACT_SHARE = 0.25

#: Share of the view timeout after which any member asks the store itself.
HURRY_SHARE = 0.6

#: Milliseconds of a second.
MILLISECONDS = 1000


class Views(Protocol):
    """The configuration that membership relays between members."""

    @property
    def newest(self) -> int:
        """Return the newest revision of any document."""

    @property
    def applied(self) -> int:
        """Return the newest revision that is in force as a whole."""

    def offer_after(self, revision: int) -> ViewOffer:
        """Return the documents that are newer than a revision."""

    def adopt_offer(self, offer: ViewOffer) -> bool:
        """Adopt the documents of a peer."""


@final
class Membership:
    """Decides who is a member, who is alive and whether to take work.

    Explanation
    ===========

    A daemon is fresh while the store, or a fresh peer, has confirmed its
    views less than the view timeout ago. A daemon that is not fresh goes on
    when it is in touch with a majority of the members and none of them is
    fresh, because then the store is down and nothing can change; otherwise
    it is isolated and takes no new work.

    Each moment is taken from the own clock. What a peer tells is dated by
    the newest own message that the peer had received when it wrote.

    :param me: record of the own process.
    :param views: configuration of the daemon.
    :param timing: times of membership.
    :param seeds: addresses to ask for views, ``IP:port``.
    """

    def __init__(
        self,
        me: MemberRecord,
        views: Views,
        timing: Timing,
        seeds: Sequence[str] = (),
    ) -> None:
        self.contacts = Contacts(me.name, me.identity, timing.view_timeout)
        self.register = MemberRegister(me, timing, self.contacts)
        self.load = 0
        self.ready = True
        self._me = me
        self._views = views
        self._timing = timing
        self._seeds = tuple(seeds)
        self._ring = Ring(())
        self._ring_revision = 0
        self._turn = 0
        self._row = 0
        self._next_round = NEVER
        self._last_contact = NEVER
        self._asked: set[str] = set()

    def confirm_store(self, sent_at: float) -> None:
        """Note that the store has confirmed the views.

        :param sent_at: time at which the request to the store was sent; the
            views held all that was in the store then.
        """
        self.contacts.note_freshness(sent_at, current=True)

    def begin_contact(self, now: float) -> bool:
        """Tell whether to confirm the views with the store now."""
        live = rank_members(self._me.region, self.list_live(now))
        timeout = self._timing.view_timeout
        waited = now - self._last_contact
        leads = self._me.name in live[:STORE_CONTACTS]
        hurries = now - self.contacts.fresh > HURRY_SHARE * timeout
        if waited < CONTACT_SHARE * timeout or not (leads or hurries):
            return False
        self._last_contact = now
        return True

    def find_status(self, now: float) -> Status:
        """Return how the daemon stands to the store and the others."""
        if self.register.revision == 0:
            return Status.STARTING
        earliest = now - self._timing.view_timeout
        if self.contacts.fresh > earliest:
            return Status.FRESH
        if self.contacts.seen_fresh > earliest:
            return Status.ISOLATED
        if self.register.holds_majority(now):
            return Status.OUTAGE
        return Status.ISOLATED

    def takes_work(self, now: float) -> bool:
        """Tell whether the daemon takes new work; its readiness."""
        return self.find_status(now) in {Status.FRESH, Status.OUTAGE}

    def list_live(self, now: float) -> tuple[str, ...]:
        """Return the members in touch, for the choice of owners."""
        return tuple(sorted(self.register.list_touched(now)))

    def tick(self, now: float) -> list[Envelope]:
        """Return the messages of a round when one is due."""
        if now < self._next_round:
            return []
        self._next_round = now + self._timing.interval
        self._turn += 1
        self._asked.clear()
        self._renew_ring()
        peers = self._ring.pick_peers(self._me.name, self._turn)
        beats = [
            Envelope(address, self._compose(now, name))
            for name in peers
            if (address := self._find_address(name))
        ]
        return [*beats, *self._ask_seeds(now)]

    def receive(self, now: float, message: object) -> list[Envelope]:
        """Take a message of a peer and return the answers."""
        match message:
            case Heartbeat():
                return self._take_heartbeat(now, message)
            case ViewRequest():
                return self._answer_request(message)
            case ViewOffer():
                return self._take_offer(now, message)
            case RevisionQuery():
                report = RevisionReport(self._me.name, self._views.applied)
                return [Envelope(message.address, report)]
        return []

    def _take_heartbeat(self, now: float, beat: Heartbeat) -> list[Envelope]:
        if beat.name == self._me.name:
            return []
        moment = self.contacts.note_arrival(beat)
        newer = (
            beat.revision > self._views.newest
            or beat.set_revision > self.register.revision
        )
        if moment > NEVER:
            self._take_ages(beat, moment, newer=newer)
        self._take_change(beat, now)
        answers = self._request_views(beat.address) if newer else []
        if not beat.reply:
            reply = self._compose(now, beat.name, reply=True)
            answers.append(Envelope(beat.address, reply))
        return answers

    def _take_ages(
        self,
        beat: Heartbeat,
        moment: float,
        *,
        newer: bool,
    ) -> None:
        reach = self.contacts.reach
        if 0 < beat.set_revision <= self.register.revision:
            reach.note(beat.name, moment)
        if beat.set_revision == self.register.revision:
            order = self.register.member_set.order[beat.first :]
            reach.merge(order, beat.reach, moment)
        if beat.fresh_age != NO_AGE:
            stamp = moment - beat.fresh_age / MILLISECONDS
            self.contacts.note_freshness(stamp, current=not newer)

    def _take_change(self, beat: Heartbeat, now: float) -> None:
        change = self.register.changeover
        if change is None or beat.set_revision != self.register.revision:
            return
        change.merge(beat.confirmed, now)

    def _answer_request(self, request: ViewRequest) -> list[Envelope]:
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

    def _take_offer(self, now: float, offer: ViewOffer) -> list[Envelope]:
        self._views.adopt_offer(offer)
        if offer.set_revision > self.register.revision:
            member_set = unpack_set(offer.set_value)
            self.register.adopt(offer.set_revision, member_set, now)
        return []

    def _request_views(self, address: str) -> list[Envelope]:
        if address in self._asked:
            return []
        self._asked.add(address)
        request = ViewRequest(
            self._me.address,
            self._views.newest,
            self.register.revision,
        )
        return [Envelope(address, request)]

    def _ask_seeds(self, now: float) -> list[Envelope]:
        if not self._seeds or self.find_status(now) is Status.FRESH:
            return []
        seed = self._seeds[self._turn % len(self._seeds)]
        return [] if seed == self._me.address else self._request_views(seed)

    def _compose(
        self,
        now: float,
        receiver: str,
        *,
        reply: bool = False,
    ) -> Heartbeat:
        order = self.register.member_set.order
        first = self._row % max(1, len(order)) if reply else 0
        row = order[first : first + REACH_ROW] if reply else ()
        self._row += len(row)
        self.contacts.reach.note(self._me.name, now)
        change = self.register.changeover
        return Heartbeat(
            name=self._me.name,
            identity=self._me.identity,
            address=self._me.address,
            counter=self.contacts.sent.draw(now),
            echo=self.contacts.find_echo(receiver),
            reply=reply,
            revision=self._views.newest,
            set_revision=self.register.revision,
            fresh_age=self.contacts.encode_freshness(now),
            ready=self.ready,
            load=self.load,
            first=first,
            reach=self.contacts.reach.encode(row, now),
            confirmed=change.encode() if change else b'',
        )

    def _renew_ring(self) -> None:
        if self._ring_revision == self.register.revision:
            return
        self._ring_revision = self.register.revision
        member_set = self.register.member_set
        joining = member_set.intent.target if member_set.intent else {}
        self._ring = Ring({*member_set.members, *joining})

    def _find_address(self, name: str) -> str:
        member_set = self.register.member_set
        joining = member_set.intent.target if member_set.intent else {}
        record = joining.get(name) or member_set.members.get(name)
        return record.address if record else ''
