"""Relay of VM records between daemons when the store is unavailable."""

import itertools
from collections.abc import Callable, Collection
from typing import Any, final

from verbenapost.coordination.applied import AppliedTable
from verbenapost.coordination.directory import VmDirectory
from verbenapost.daemon.routing import MessageRouter
from verbenapost.protocol.membership import VmRecordsOffer, VmRecordsRequest
from verbenapost.protocol.store import Entry, Listing

#: Consecutive ticks with outdated records before a request to a peer.
MIN_BEHIND_TICKS = 2

Send = Callable[[str, Any], bool]


@final
class VmRelay:
    """Fetches VM records from a peer when the store does not provide them.

    :param directory: VM records of this daemon.
    :param applied: revisions that the members have applied.
    :param send: sends a message to a peer.
    """

    def __init__(
        self,
        directory: VmDirectory,
        applied: AppliedTable,
        send: Send,
    ) -> None:
        self._directory = directory
        self._applied = applied
        self._send = send
        self._behind_ticks = 0
        self._rotation = itertools.count()

    def register_handlers(self, router: MessageRouter) -> None:
        """Register the handlers of the relay's messages."""
        router.register(VmRecordsRequest)(self._answer)
        router.register(VmRecordsOffer)(self._adopt)

    def tick(self, peers: Collection[str]) -> None:
        """Request records from a peer when those of this daemon stay outdated.

        :param peers: peers with a connected stream.
        """
        source = self._find_source(sorted(peers))
        self._behind_ticks = self._behind_ticks + 1 if source else 0
        # At startup the records are needed at once; later, the store most
        # likely provides them soon.
        urgent = self._directory.position == 0
        if source and (urgent or self._behind_ticks >= MIN_BEHIND_TICKS):
            self._send(source, VmRecordsRequest(self._directory.position))

    def _find_source(self, peers: list[str]) -> str:
        if not peers:
            return ''
        position = self._directory.position
        if position == 0:
            return peers[next(self._rotation) % len(peers)]
        newest = max(peers, key=lambda name: self._applied.find(name).vms)
        ahead = self._applied.find(newest).vms > position
        return newest if ahead else ''

    def _answer(self, sender: str, request: VmRecordsRequest) -> None:
        listing = self._directory.make_listing()
        if listing.revision <= request.position:
            return
        rows = [
            (entry.key, entry.value, entry.revision)
            for entry in listing.entries
        ]
        self._send(sender, VmRecordsOffer(listing.revision, tuple(rows)))

    def _adopt(self, _sender: str, offer: VmRecordsOffer) -> None:
        entries = tuple(Entry(*row) for row in offer.entries)
        self._directory.adopt(Listing(entries, offer.position))
