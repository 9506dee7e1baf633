"""A daemon's replica of the configuration."""

import dataclasses
import sys
from collections.abc import Iterable
from typing import final

import pydantic

from verbenapost.protocol.store import Entry, Listing, WatchBatch
from verbenapost.state.configuration import (
    CONFIG_PREFIX,
    ConfigurationRecord,
    ConfigurationView,
    parse_document,
    unpack_record,
)
from verbenapost.state.documents import (
    PlatformDocument,
    TeamDocument,
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentCopy:
    """The newest known value of one document's key.

    :param value: stored bytes.
    :param revision: revision of the key.
    :param document: parsed document in force, ``None`` before the first one.
    :param in_force: revision of the document in force.
    :param readable: whether this version can read the value; if not,
        ``document`` is the last readable one.
    """

    value: bytes
    revision: int
    document: TeamDocument | PlatformDocument | None
    in_force: int
    readable: bool = True


@final
class ConfigurationReplica:
    """Copies of all documents and the view that is built from them.

    Explanation
    ===========

    A copy is replaced only by one of a higher revision, whatever its source.
    Documents are never deleted, so a listing without a known key, or with an
    older revision of a known key, is a stale read. Stale listings are ignored
    as a whole.
    """

    def __init__(self) -> None:
        self._copies: dict[str, DocumentCopy] = {}
        self._position = 0
        self._newest = 0
        self._view = ConfigurationView()

    @property
    def view(self) -> ConfigurationView:
        """Return the configuration in force on this daemon."""
        return self._view

    @property
    def position(self) -> int:
        """Return the store revision up to which the copies are complete."""
        return self._position

    @property
    def newest(self) -> int:
        """Return the newest revision of any document."""
        return self._newest

    @property
    def applied(self) -> int:
        """Return the newest revision up to which all documents are in force.

        Revisions from the first unreadable document on are excluded.
        """
        return min(self._newest, self._find_first_unreadable() - 1)

    @property
    def unreadable(self) -> tuple[str, ...]:
        """Return the documents that this version can't read."""
        return tuple(
            sorted(
                name for name, copy in self._copies.items() if not copy.readable
            )
        )

    def find_revision(self, name: str) -> int:
        """Return the newest known revision of a document's key, 0 for none."""
        copy = self._copies.get(name)
        return copy.revision if copy else 0

    def list_newer(self, revision: int) -> tuple[Entry, ...]:
        """Return the copies newer than a revision, in order of revision."""
        newer = [
            Entry(f'{CONFIG_PREFIX}{name}', copy.value, copy.revision)
            for name, copy in self._copies.items()
            if copy.revision > revision
        ]
        return tuple(sorted(newer, key=lambda entry: entry.revision))

    def is_stale(self, listing: Listing) -> bool:
        """Return whether a listing is older than the replica."""
        listed = {entry.key: entry.revision for entry in listing.entries}
        return listing.revision < self._position or any(
            listed.get(f'{CONFIG_PREFIX}{name}', 0) < copy.revision
            for name, copy in self._copies.items()
        )

    def adopt_listing(self, listing: Listing) -> bool:
        """Adopt a complete listing, from the store or a peer.

        :returns: whether the view changed.
        """
        if self.is_stale(listing):
            return False
        return self._adopt(listing.entries, listing.revision)

    def adopt_batch(self, batch: WatchBatch) -> bool:
        """Adopt the events of a watch that started at ``position``.

        :returns: whether the view changed.
        """
        if batch.truncated or batch.revision < self._position:
            return False
        entries = [
            Entry(event.key, event.value, event.revision)
            for event in batch.events
            if event.value is not None
        ]
        return self._adopt(entries, batch.revision)

    def _adopt(self, entries: Iterable[Entry], position: int) -> bool:
        before = self._view
        for entry in entries:
            name = entry.key.removeprefix(CONFIG_PREFIX)
            if entry.revision > self.find_revision(name):
                self._copies[name] = self._make_copy(name, entry)
                self._newest = max(self._newest, entry.revision)
        self._position = position
        self._view = self._build_view()
        return self._view != before

    def _make_copy(self, name: str, entry: Entry) -> DocumentCopy:
        known = self._copies.get(name)
        try:
            record = unpack_record(entry.value)
            document = _parse_document(name, record)
        except pydantic.ValidationError:
            return DocumentCopy(
                entry.value,
                entry.revision,
                known.document if known else None,
                known.in_force if known else 0,
                readable=False,
            )
        in_force = record.since or entry.revision
        return DocumentCopy(entry.value, entry.revision, document, in_force)

    def _build_view(self) -> ConfigurationView:
        platform = PlatformDocument()
        teams = {}
        revisions = {}
        for name, copy in self._copies.items():
            if copy.document is None:
                continue
            revisions[name] = copy.in_force
            if isinstance(copy.document, PlatformDocument):
                platform = copy.document
            else:
                teams[name] = copy.document
        applied = min(self._position, self._find_first_unreadable() - 1)
        return ConfigurationView(applied, platform, teams, revisions)

    def _find_first_unreadable(self) -> int:
        return min(
            (
                copy.revision
                for copy in self._copies.values()
                if not copy.readable
            ),
            default=sys.maxsize,
        )


def _parse_document(
    name: str,
    record: ConfigurationRecord,
) -> TeamDocument | PlatformDocument | None:
    if record.document is None:
        return None
    return parse_document(name, record.document)
