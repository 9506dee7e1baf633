"""Detection of conflicts between a change and other documents."""

import dataclasses
from collections.abc import Mapping
from typing import final

import pydantic

from verbenapost.coordination.changes import Document, KeyState, find_violations
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
class CompetingChange:
    """A proposed change of a document that is not in force yet.

    :param name: team or ``platform``.
    :param base: state of its key.
    :param document: the proposed document.
    """

    name: str
    base: KeyState
    document: Document


@final
@dataclasses.dataclass(frozen=True)
class StoredConfiguration:
    """Documents in force and pending proposals in one store listing.

    :param platform: platform document in force.
    :param teams: team documents in force, by team.
    :param competitors: pending proposals.
    """

    platform: PlatformDocument
    teams: Mapping[str, TeamDocument]
    competitors: tuple[CompetingChange, ...]

    def find_conflicts(
        self,
        team: str,
        document: Document,
        revision: int,
    ) -> tuple[CompetingChange, ...]:
        """Return the earlier proposals that conflict with a document.

        Explanation
        ===========

        Each writer announces first and lists afterwards, so of two proposals
        the one with the higher revision always sees the other. The later
        proposal is refused.

        :param team: team or ``platform``.
        :param document: proposed document.
        :param revision: revision of the document's own proposal.
        """
        return tuple(
            competitor
            for competitor in self.competitors
            if competitor.name != team
            and competitor.base.revision < revision
            and self._conflicts_with(team, document, competitor)
        )

    def _conflicts_with(
        self, team: str, document: Document, competitor: CompetingChange
    ) -> bool:
        platform = self.platform
        teams = dict(self.teams)
        if isinstance(competitor.document, PlatformDocument):
            platform = competitor.document
        else:
            teams[competitor.name] = competitor.document
        return bool(find_violations(team, document, platform, teams))


def read_stored_configuration(listing: Listing) -> StoredConfiguration:
    """Return the documents and proposals in a listing.

    Documents that this version can't read are left out.
    """
    replica = ConfigurationReplica()
    replica.adopt_listing(listing)
    competitors = []
    for entry in listing.entries:
        name = entry.key.removeprefix(CONFIG_PREFIX)
        competitor = _read_competitor(name, entry.revision, entry.value)
        if competitor is not None:
            competitors.append(competitor)
    return StoredConfiguration(
        replica.view.platform,
        replica.view.teams,
        tuple(competitors),
    )


def _read_competitor(
    name: str, revision: int, value: bytes
) -> CompetingChange | None:
    try:
        record = unpack_record(value)
        if record.proposal is None:
            return None
        document = parse_document(name, record.proposal.document)
    except pydantic.ValidationError:
        return None
    return CompetingChange(name, KeyState(revision, record), document)
