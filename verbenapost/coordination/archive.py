"""Archive of audit entries that no longer fit into a document's key."""

import dataclasses
from typing import final

import pydantic
from result import Err, Ok, Result

from verbenapost.coordination.writes import ResolvingWriter
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import NO_REVISION, StorePort
from verbenapost.state.audit import (
    AUDIT_PREFIX,
    AuditEntry,
    make_archive_key,
    pack_entries,
    unpack_entries,
)

#: Audit entries that are kept with the document, at most.
MAX_KEPT_ENTRIES = 40

#: Bytes of audit entries that are kept with the document, at most.
MAX_KEPT_BYTES = 250_000

Entries = tuple[AuditEntry, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AuditSplit:
    """Audit entries to move to the archive and entries to keep."""

    archived: Entries
    kept: Entries


def split_entries(
    entries: Entries, limit: int = MAX_KEPT_ENTRIES
) -> AuditSplit:
    """Split off the older half once there are too many entries.

    The newest entry is always kept. For a given limit the result depends only
    on the entries, so concurrent writers archive the same ones.

    :param entries: audit entries in the document's key, the newest last.
    :param limit: maximum number of entries to keep.
    """
    fits = len(pack_entries(entries)) <= MAX_KEPT_BYTES
    if len(entries) < 2 or (fits and len(entries) <= limit):
        return AuditSplit((), entries)
    half = len(entries) // 2
    return AuditSplit(entries[:half], entries[half:])


@final
class AuditArchive:
    """Archived audit entries in the store, under immutable keys.

    :param store: the platform's store.
    :param writer: resolves unknown outcomes.
    """

    def __init__(self, store: StorePort, writer: ResolvingWriter) -> None:
        self._store = store
        self._writer = writer

    async def save(
        self,
        team: str,
        entries: Entries,
        deadline: float,
    ) -> Result[int, Failure]:
        """Archive entries permanently, before the document drops them.

        :param team: team or ``platform``.
        :param entries: entries to archive.
        :param deadline: monotonic time at which to give up, in seconds.
        :returns: ``Ok`` only if the key's value is exactly these entries.
        """
        key = make_archive_key(team, entries)
        packed = pack_entries(entries)
        outcome = await self._writer.resolve_swap(
            key,
            NO_REVISION,
            packed,
            packed.__eq__,
            deadline,
        )
        if isinstance(outcome, Ok) or not _is_conflict(outcome):
            return outcome
        reading = await self._store.get(key)
        if isinstance(reading, Err):
            return reading
        entry = reading.ok_value
        if entry is None or entry.value != packed:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, f'stale {key}'))
        return Ok(entry.revision)

    async def load(self, team: str) -> Result[Entries, Failure]:
        """Return the archived entries of a team, the newest last."""
        answer = await self._store.list_prefix(f'{AUDIT_PREFIX}{team}/')
        if isinstance(answer, Err):
            return answer
        found: dict[int, AuditEntry] = {}
        try:
            for entry in answer.ok_value.entries:
                for audit_entry in unpack_entries(entry.value):
                    found[audit_entry.number] = audit_entry
        except pydantic.ValidationError as error:
            return Err(Failure(ErrorKind.INTERNAL, str(error)))
        return Ok(tuple(found[number] for number in sorted(found)))


def _is_conflict(outcome: Err[Failure]) -> bool:
    return outcome.err_value.kind is ErrorKind.CONFLICT
