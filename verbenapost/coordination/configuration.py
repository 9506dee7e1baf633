"""Configuration service of a daemon."""

from collections.abc import Callable
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.archive import MAX_KEPT_ENTRIES
from verbenapost.coordination.changes import AppliedChange, ChangeRequest
from verbenapost.coordination.documents import Clocks, DocumentStore
from verbenapost.coordination.publication import Publisher
from verbenapost.coordination.replica import ConfigurationReplica
from verbenapost.coordination.rights import Rights
from verbenapost.coordination.writes import ResolvingWriter
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.membership import ViewOffer
from verbenapost.protocol.store import Event, Listing, StorePort, WatchBatch
from verbenapost.state.audit import AuditEntry
from verbenapost.state.configuration import CONFIG_PREFIX, ConfigurationView

#: Seconds that one watch waits for changes.
WATCH_WAIT = 20.0

#: Bytes of documents after which an offer is cut off; the document that
#: exceeds the limit is still included.
MAX_OFFER_BYTES = 1_000_000

Subscriber = Callable[[ConfigurationView], None]


@final
class ConfigurationService:
    """Replicates the configuration of the store and applies changes to it.

    Examples
    ========

    A daemon loads once and follows in a loop, with a pause after each
    failure::

        await service.load()
        while running:
            await service.follow()

    :param store: the platform's store.
    :param instance: random identity of this process.
    :param writer: resolves unknown outcomes of writes to the same store.
    :param clocks: clocks of the daemon.
    :param kept_entries: audit entries that are kept with a document.
    """

    def __init__(
        self,
        store: StorePort,
        instance: str,
        writer: ResolvingWriter,
        clocks: Clocks,
        kept_entries: int = MAX_KEPT_ENTRIES,
    ) -> None:
        self._store = store
        self._replica = ConfigurationReplica()
        self._documents = DocumentStore(
            store,
            self._replica,
            instance,
            writer,
            clocks,
        )
        self._publisher = Publisher(self._documents, kept_entries)
        self._subscribers: list[Subscriber] = []

    @property
    def view(self) -> ConfigurationView:
        """Return the configuration in force on this daemon."""
        return self._replica.view

    @property
    def newest(self) -> int:
        """Return the newest revision of any document."""
        return self._replica.newest

    @property
    def applied(self) -> int:
        """Return the newest revision up to which all documents are in force."""
        return self._replica.applied

    @property
    def unreadable(self) -> tuple[str, ...]:
        """Return the documents that this version can't read."""
        return self._replica.unreadable

    def subscribe(self, subscriber: Subscriber) -> None:
        """Register a subscriber of views in which a document changed."""
        self._subscribers.append(subscriber)

    async def load(self) -> Result[bool, Failure]:
        """List all documents and adopt them.

        :returns: whether a document changed; ``STORE_UNAVAILABLE`` if the
            listing is older than the replica.
        """
        answer = await self._store.list_prefix(CONFIG_PREFIX)
        if isinstance(answer, Err):
            return answer
        if self._replica.is_stale(answer.ok_value):
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, 'stale read'))
        return Ok(self.adopt(answer.ok_value))

    async def follow(self, wait: float = WATCH_WAIT) -> Result[bool, Failure]:
        """Wait once for changes and adopt them.

        If the watch has lost history, all documents are listed instead.

        :param wait: seconds to wait for a change.
        :returns: whether a document changed. ``Ok`` means that the store has
            confirmed the view.
        """
        position = self._replica.position
        answer = await self._store.watch(CONFIG_PREFIX, position, wait)
        if isinstance(answer, Err):
            return answer
        batch = answer.ok_value
        if batch.truncated:
            return await self.load()
        if batch.revision < self._replica.position:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, 'stale read'))
        before = self.view
        self._replica.adopt_batch(batch)
        return Ok(self._notify(before))

    def adopt(self, listing: Listing) -> bool:
        """Adopt a complete listing, from the store or from a peer.

        :returns: whether a document changed.
        """
        before = self.view
        self._replica.adopt_listing(listing)
        return self._notify(before)

    def offer_after(self, revision: int) -> ViewOffer:
        """Return the documents that are newer than a revision.

        Peers that can't reach the store request them. A long offer is cut
        off; the rest follows with the next request.
        """
        newer = self._replica.list_newer(revision)
        rows = []
        size = 0
        for entry in newer:
            rows.append((entry.key, entry.value, entry.revision))
            size += len(entry.value)
            if size > MAX_OFFER_BYTES:
                break
        whole = len(rows) == len(newer)
        position = self._replica.position if whole else rows[-1][-1]
        return ViewOffer(position, tuple(rows))

    def adopt_offer(self, offer: ViewOffer) -> bool:
        """Adopt a peer's offer that answers a request of this daemon.

        :returns: whether a document changed.
        """
        before = self.view
        events = [Event(*row) for row in offer.entries]
        self._replica.adopt_batch(WatchBatch(events, offer.position))
        return self._notify(before)

    async def apply(
        self,
        request: ChangeRequest,
        rights: Rights,
    ) -> Result[AppliedChange, Failure]:
        """Put a document in force.

        A refused change leaves the configuration in force unchanged and adds
        no audit entry.
        """
        return await self._publisher.apply(request, rights)

    async def load_history(
        self,
        team: str,
    ) -> Result[tuple[AuditEntry, ...], Failure]:
        """Return all audit entries of a document, the newest last."""
        return await self._documents.load_history(team)

    def _notify(self, before: ConfigurationView) -> bool:
        view = self.view
        if view.revisions == before.revisions:
            return False
        for subscriber in self._subscribers:
            subscriber(view)
        return True
