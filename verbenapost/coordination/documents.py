"""Access to the configuration documents' keys in the store."""

import dataclasses
import itertools
from collections.abc import Callable
from typing import final

import pydantic
from result import Err, Ok, Result

from verbenapost.coordination.archive import AuditArchive, Entries
from verbenapost.coordination.changes import KeyState
from verbenapost.coordination.records import (
    WriteLocator,
    find_accepted_revision,
)
from verbenapost.coordination.replica import ConfigurationReplica
from verbenapost.coordination.writes import ResolvingWriter
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import NO_REVISION, Entry, Listing, StorePort
from verbenapost.state.configuration import (
    CONFIG_PREFIX,
    ConfigurationRecord,
    pack_record,
    unpack_record,
)

#: Seconds after which the outcome of one write is left unknown.
RESOLVE_TIMEOUT = 10.0

_NO_RECORD = ConfigurationRecord()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Clocks:
    """Clocks of a daemon.

    :param unix: returns the Unix time in seconds.
    :param monotonic: returns monotonic seconds.
    """

    unix: Callable[[], float]
    monotonic: Callable[[], float]


@final
class DocumentStore:
    """Reads and writes documents and refuses stale reads.

    :param store: the platform's store.
    :param replica: the daemon's replica, against which stale reads are
        detected.
    :param instance: random identity of this process.
    :param writer: resolves unknown outcomes.
    :param clocks: clocks of the daemon.
    """

    def __init__(
        self,
        store: StorePort,
        replica: ConfigurationReplica,
        instance: str,
        writer: ResolvingWriter,
        clocks: Clocks,
    ) -> None:
        self._store = store
        self._replica = replica
        self._instance = instance
        self._writer = writer
        self._clocks = clocks
        self._archive = AuditArchive(store, writer)
        self._sequence = itertools.count(1)

    def issue_write_id(self) -> str:
        """Return a new write ID, ``instance:sequence``."""
        return f'{self._instance}:{next(self._sequence)}'

    def read_clock(self) -> float:
        """Return the Unix time in seconds."""
        return self._clocks.unix()

    async def read(self, team: str) -> Result[KeyState, Failure]:
        """Return the state of a document's key.

        :returns: the state; ``STORE_UNAVAILABLE`` for a stale read.
        """
        min_revision = self._replica.find_revision(team)
        reading = await self._store.get(f'{CONFIG_PREFIX}{team}')
        if isinstance(reading, Err):
            return reading
        entry = reading.ok_value
        if _read_revision(entry) < min_revision:
            return _refuse_stale()
        return _unpack(entry)

    async def list_documents(
        self,
        team: str,
        min_revision: int,
    ) -> Result[Listing, Failure]:
        """List all documents.

        :param team: document by whose revision a stale listing is detected.
        :param min_revision: lowest revision that the team's key must have.
        """
        listing = await self._store.list_prefix(CONFIG_PREFIX)
        if isinstance(listing, Err):
            return listing
        key = f'{CONFIG_PREFIX}{team}'
        rows = {entry.key: entry for entry in listing.ok_value.entries}
        own = _read_revision(rows.get(key))
        if own < min_revision or self._replica.is_stale(listing.ok_value):
            return _refuse_stale()
        return listing

    async def write(
        self,
        team: str,
        expected: int,
        record: ConfigurationRecord,
    ) -> Result[int, Failure]:
        """Swap a document's key and resolve an unknown outcome.

        :param team: team or ``platform``.
        :param expected: revision that the key must have.
        :param record: new value; its ``writer`` is the ID of the write.
        :returns: revision of the write, even if replaced by later ones;
            ``CONFLICT`` if the write never takes effect; ``STORE_UNKNOWN`` if
            it may have taken effect or still may.
        """
        locator = WriteLocator(record.writer)
        outcome = await self._writer.resolve_swap(
            f'{CONFIG_PREFIX}{team}',
            expected,
            pack_record(record),
            locator.match,
            self._compute_deadline(),
        )
        if isinstance(outcome, Ok):
            return Ok(locator.locate(outcome.ok_value))
        if outcome.err_value.kind is ErrorKind.CONFLICT:
            return await self._resolve_conflict(team, record, outcome.err_value)
        return outcome

    async def save_archive(
        self,
        team: str,
        entries: Entries,
    ) -> Result[int, Failure]:
        """Archive audit entries permanently."""
        return await self._archive.save(team, entries, self._compute_deadline())

    async def load_history(self, team: str) -> Result[Entries, Failure]:
        """Return all audit entries of a document, the newest last."""
        reading = await self.read(team)
        if isinstance(reading, Err):
            return reading
        kept = reading.ok_value.record.audit
        if not kept or kept[0].number == 1:
            return Ok(kept)
        archived = await self._archive.load(team)
        if isinstance(archived, Err):
            return archived
        first = kept[0].number
        older = [row for row in archived.ok_value if row.number < first]
        if [row.number for row in older] != list(range(1, first)):
            return _refuse_stale()
        return Ok((*older, *kept))

    async def _resolve_conflict(
        self,
        team: str,
        record: ConfigurationRecord,
        conflict: Failure,
    ) -> Result[int, Failure]:
        reading = await self.read(team)
        if isinstance(reading, Err):
            return _report_unknown(reading.err_value)
        base = reading.ok_value
        entries = base.record.audit
        if entries and entries[0].number > record.last_audit_number:
            loaded = await self.load_history(team)
            if isinstance(loaded, Err):
                return _report_unknown(loaded.err_value)
            entries = loaded.ok_value
        found = find_accepted_revision(record.writer, base, entries)
        return Err(conflict) if found is None else Ok(found)

    def _compute_deadline(self) -> float:
        return self._clocks.monotonic() + RESOLVE_TIMEOUT


def _refuse_stale() -> Err[Failure]:
    return Err(Failure(ErrorKind.STORE_UNAVAILABLE, 'stale read'))


def _report_unknown(cause: Failure) -> Err[Failure]:
    return Err(Failure(ErrorKind.STORE_UNKNOWN, cause.detail))


def _read_revision(entry: Entry | None) -> int:
    return entry.revision if entry else NO_REVISION


def _unpack(entry: Entry | None) -> Result[KeyState, Failure]:
    if entry is None:
        return Ok(KeyState(NO_REVISION, _NO_RECORD))
    try:
        return Ok(KeyState(entry.revision, unpack_record(entry.value)))
    except pydantic.ValidationError as error:
        return Err(Failure(ErrorKind.INTERNAL, f'{entry.key}: {error}'))
