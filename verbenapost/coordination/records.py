"""Values that are written to a configuration document's key."""

import dataclasses
from typing import final

import pydantic

from verbenapost.coordination.changes import ChangeRequest, KeyState
from verbenapost.state.audit import (
    AuditEntry,
    compare_documents,
    trim_changes,
)
from verbenapost.state.configuration import (
    ConfigurationRecord,
    Proposal,
    unpack_record,
)


def make_proposal_record(
    request: ChangeRequest,
    base: KeyState,
    writer: str,
    unix_time: float,
) -> ConfigurationRecord:
    """Return the record that announces a change.

    :param writer: ID of the write, ``instance:sequence``.
    """
    return dataclasses.replace(
        base.record,
        writer=writer,
        proposal=Proposal(request.document, writer, unix_time),
        since=base.in_force,
    )


def make_withdrawal_record(base: KeyState, writer: str) -> ConfigurationRecord:
    """Return the record without its proposal."""
    return dataclasses.replace(
        base.record,
        writer=writer,
        proposal=None,
        since=base.in_force,
    )


def make_accepted_record(
    request: ChangeRequest,
    base: KeyState,
    kept: tuple[AuditEntry, ...],
    writer: str,
    unix_time: float,
) -> ConfigurationRecord:
    """Return the record that puts a document in force, with its audit entry.

    :param kept: earlier audit entries that are not archived.
    """
    changes = compare_documents(base.record.document, request.document)
    trimmed = trim_changes(changes)
    entry = AuditEntry(
        number=base.record.last_audit_number + 1,
        author=request.author,
        reason=request.reason,
        changed_at=unix_time,
        revision_before=base.in_force,
        writer=writer,
        changes=trimmed,
        omitted=len(changes) - len(trimmed),
    )
    return ConfigurationRecord(
        document=request.document,
        audit=(*kept, entry),
        writer=writer,
    )


def find_accepted_revision(
    writer: str,
    base: KeyState,
    entries: tuple[AuditEntry, ...],
) -> int | None:
    """Return the revision at which a change took effect.

    :param writer: ID of the write.
    :param base: later state of the key.
    :param entries: audit entries that may include the change, newest last.
    :returns: the revision, or ``None`` if the change is not found.
    """
    if base.record.writer == writer:
        return base.revision
    for position, entry in enumerate(entries):
        if entry.writer != writer:
            continue
        later = entries[position + 1 : position + 2]
        return later[0].revision_before if later else base.in_force
    return None


@final
class WriteLocator:
    """Finds a write's ID in later values of the same key.

    :param writer: ID of the write, ``instance:sequence``.
    """

    def __init__(self, writer: str) -> None:
        self._writer = writer
        self._found: ConfigurationRecord | None = None

    def match(self, value: bytes) -> bool:
        """Return whether a value is the result of the write or a later one."""
        try:
            record = unpack_record(value)
        except pydantic.ValidationError:
            return False
        writers = {entry.writer for entry in record.audit}
        if self._writer not in writers | {record.writer}:
            return False
        self._found = record
        return True

    def locate(self, revision: int) -> int:
        """Return the revision at which the write took effect.

        :param revision: revision of the value that matched, or of the write
            itself if its answer arrived.
        """
        if self._found is None:
            return revision
        base = KeyState(revision, self._found)
        found = find_accepted_revision(self._writer, base, self._found.audit)
        return revision if found is None else found
