"""Stored configuration documents and the view that merges them."""

import dataclasses
from collections.abc import Mapping
from typing import Any, final

import pydantic
from pydantic.dataclasses import dataclass

from verbenapost.state.audit import AuditEntry
from verbenapost.state.documents import (
    PLATFORM,
    PlatformDocument,
    PoolSpec,
    ServiceSpec,
    TeamDocument,
)

#: Prefix of the store keys that hold configuration documents.
CONFIG_PREFIX = 'config/'

#: Matches any team or any service in a quota.
ANY = '*'

_IGNORE_EXTRA = pydantic.ConfigDict(extra='ignore')


@dataclass(frozen=True, config=_IGNORE_EXTRA)
class Proposal:
    """Announced change that is not in force yet.

    :param document: complete new document.
    :param writer: ``instance:sequence`` of the announcing write.
    :param proposed_at: Unix time of the announcement in seconds.
    """

    document: Any
    writer: str
    proposed_at: float


@dataclass(frozen=True, config=_IGNORE_EXTRA)
class ConfigurationRecord:
    """Value of ``config/<team>``: a document with its audit entries.

    :param document: document in force, or ``None`` before the first change.
    :param audit: latest audit entries, the newest last.
    :param writer: ``instance:sequence`` of this write.
    :param proposal: announced change, or ``None``.
    :param since: revision of the write that put the document in force, or 0
        when this write did.
    """

    document: Any = None
    audit: tuple[AuditEntry, ...] = ()
    writer: str = ''
    proposal: Proposal | None = None
    since: int = 0

    @property
    def last_audit_number(self) -> int:
        """Return the number of the newest audit entry, 0 for none."""
        return self.audit[-1].number if self.audit else 0


_RECORD_ADAPTER = pydantic.TypeAdapter(ConfigurationRecord)
_TEAM_ADAPTER = pydantic.TypeAdapter(TeamDocument)
_PLATFORM_ADAPTER = pydantic.TypeAdapter(PlatformDocument)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OwnedService:
    """Service and the team that owns it."""

    team: str
    spec: ServiceSpec


@final
@dataclasses.dataclass(frozen=True)
class ConfigurationView:
    """Snapshot of the complete configuration in force.

    :param revision: store revision up to which the view is complete.
    :param platform: document of the configuration that no team owns.
    :param teams: documents by team.
    :param revisions: revision of each document in force, by team or
        ``platform``.
    """

    revision: int = 0
    platform: PlatformDocument = dataclasses.field(
        default_factory=PlatformDocument,
    )
    teams: Mapping[str, TeamDocument] = dataclasses.field(default_factory=dict)
    revisions: Mapping[str, int] = dataclasses.field(default_factory=dict)
    services: Mapping[str, OwnedService] = dataclasses.field(
        init=False,
        compare=False,
    )

    def __post_init__(self) -> None:
        """Build the lookup of services over all teams."""
        object.__setattr__(self, 'services', _merge_services(self.teams))

    @property
    def pools(self) -> Mapping[str, PoolSpec]:
        """Return the pools by name."""
        return self.platform.pools


def pack_record(record: ConfigurationRecord) -> bytes:
    """Return the record as JSON bytes for the store."""
    return _RECORD_ADAPTER.dump_json(record)


def unpack_record(value: bytes) -> ConfigurationRecord:
    """Return the record from JSON bytes.

    :raises pydantic.ValidationError: when the value is not a record.
    """
    return _RECORD_ADAPTER.validate_json(value)


def parse_document(team: str, document: Any) -> TeamDocument | PlatformDocument:
    """Return the typed form of a document.

    :raises pydantic.ValidationError: when the document is invalid.
    """
    if team == PLATFORM:
        return _PLATFORM_ADAPTER.validate_python(document)
    return _TEAM_ADAPTER.validate_python(document)


def _merge_services(
    teams: Mapping[str, TeamDocument],
) -> Mapping[str, OwnedService]:
    return {
        name: OwnedService(team, spec)
        for team, document in sorted(teams.items())
        for name, spec in document.services.items()
    }
