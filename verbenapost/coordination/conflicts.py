"""The other documents that a change is checked against."""

import dataclasses
from collections.abc import Mapping
from typing import final

import pydantic

from verbenapost.coordination.changes import Base, Document, find_faults
from verbenapost.coordination.replica import ConfigurationReplica
from verbenapost.protocol.store import Listing
from verbenapost.state.configuration import (
    CONFIG_PREFIX,
    parse_document,
    unpack_record,
)
from verbenapost.state.documents import PlatformDocument, TeamDocument


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Rival:
    """A proposal for another document, announced earlier.

    :param name: team or ``platform``.
    :param base: state of its key.
    :param document: the proposed document.
    """

    name: str
    base: Base
    document: Document


@final
@dataclasses.dataclass(frozen=True)
class Neighbours:
    """The documents in force and the proposals of one listing."""

    platform: PlatformDocument
    teams: Mapping[str, TeamDocument]
    rivals: tuple[Rival, ...]

    def find_opponents(
        self,
        team: str,
        document: Document,
        revision: int,
    ) -> tuple[Rival, ...]:
        """Return the earlier proposals that a document can't stand with.

        Explanation
        ===========

        Each writer announces first and lists afterwards, so of two proposals
        the one with the higher revision always sees the other. It gives way.

        :param revision: revision of the document's own proposal.
        """
        return tuple(
            rival
            for rival in self.rivals
            if rival.name != team
            and rival.base.revision < revision
            and self._oppose(team, document, rival)
        )

    def _oppose(self, team: str, document: Document, rival: Rival) -> bool:
        platform = self.platform
        teams = dict(self.teams)
        if isinstance(rival.document, PlatformDocument):
            platform = rival.document
        else:
            teams[rival.name] = rival.document
        return bool(find_faults(team, document, platform, teams))


def read_neighbours(listing: Listing) -> Neighbours:
    """Return the documents and proposals of a listing.

    Documents that this version can't read are left out.
    """
    replica = ConfigurationReplica()
    replica.adopt_listing(listing)
    rivals = []
    for entry in listing.entries:
        name = entry.key.removeprefix(CONFIG_PREFIX)
        rival = _read_rival(name, entry.revision, entry.value)
        if rival is not None:
            rivals.append(rival)
    return Neighbours(
        replica.view.platform,
        replica.view.teams,
        tuple(rivals),
    )


def _read_rival(name: str, revision: int, value: bytes) -> Rival | None:
    try:
        record = unpack_record(value)
        if record.proposal is None:
            return None
        document = parse_document(name, record.proposal.document)
    except pydantic.ValidationError:
        return None
    return Rival(name, Base(revision, record), document)
