"""Operators' calls on configuration documents."""

import asyncio
from collections.abc import Callable, Sequence
from typing import final

import pydantic
from result import Err, Ok, Result

from verbenapost.coordination.changes import Applied, ChangeRequest
from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.rights import Rights
from verbenapost.protocol.admin import DocumentStatus, TeamStatus
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.store import NO_REVISION, StorePort
from verbenapost.state.audit import AuditEntry
from verbenapost.state.configuration import CONFIG_PREFIX, unpack_record
from verbenapost.state.documents import (
    PLATFORM,
    PlatformDocument,
    TeamDocument,
)

#: Seconds between two looks at what members have applied.
POLL_SECONDS = 0.05

ListBehind = Callable[[int], Sequence[str]]

_COPY: pydantic.TypeAdapter[TeamDocument | PlatformDocument] = (
    pydantic.TypeAdapter(TeamDocument | PlatformDocument)
)


@final
class ConfigurationAdmin:
    """Reads and changes documents.

    :param service: configuration service of this daemon.
    :param store: the platform's store.
    :param list_behind: returns the live members that have not applied a
        revision.
    """

    def __init__(
        self,
        service: ConfigurationService,
        store: StorePort,
        list_behind: ListBehind,
    ) -> None:
        self._service = service
        self._store = store
        self._list_behind = list_behind

    def list_teams(self) -> Sequence[TeamStatus]:
        """Return the platform's document and those of all teams."""
        view = self._service.view
        rows = [
            TeamStatus(
                team,
                view.revisions[team],
                tuple(document.services),
                tuple(document.quotas),
            )
            for team, document in sorted(view.teams.items())
        ]
        if PLATFORM in view.revisions:
            rows.append(TeamStatus(PLATFORM, view.revisions[PLATFORM]))
        return rows

    async def load_document(
        self,
        team: str,
    ) -> Result[DocumentStatus, Failure]:
        """Return the document as it was written.

        While the store is down it is made from the copy of this daemon.
        """
        read = await self._store.get(f'{CONFIG_PREFIX}{team}')
        if isinstance(read, Err):
            return self._describe_copy(team, read.err_value)
        entry = read.ok_value
        if entry is None:
            return Ok(DocumentStatus(team, NO_REVISION, {}))
        record = unpack_record(entry.value)
        if record.document is None:
            return Ok(DocumentStatus(team, NO_REVISION, {}))
        revision = record.since or entry.revision
        return Ok(DocumentStatus(team, revision, record.document))

    async def apply(
        self,
        request: ChangeRequest,
        rights: Rights,
    ) -> Result[Applied, Failure]:
        """Put a document in force, or refuse it without a trace."""
        return await self._service.apply(request, rights)

    async def load_history(
        self,
        team: str,
    ) -> Result[tuple[AuditEntry, ...], Failure]:
        """Return all audit entries of a document, the newest last."""
        return await self._service.load_history(team)

    async def wait_for_members(
        self,
        revision: int,
        wait: float,
    ) -> Sequence[str]:
        """Wait until all live members have a revision in force."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        behind = self._list_behind(revision)
        while behind and loop.time() < deadline:
            await asyncio.sleep(POLL_SECONDS)
            behind = self._list_behind(revision)
        return behind

    def _describe_copy(
        self,
        team: str,
        failure: Failure,
    ) -> Result[DocumentStatus, Failure]:
        view = self._service.view
        document = view.platform if team == PLATFORM else view.teams.get(team)
        revision = view.revisions.get(team)
        if document is None or revision is None:
            return Err(failure)
        content = _COPY.dump_python(
            document,
            mode='json',
            exclude_defaults=True,
        )
        return Ok(DocumentStatus(team, revision, content))
