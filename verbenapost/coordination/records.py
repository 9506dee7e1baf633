"""Successive values of a configuration document's key."""

import dataclasses
from typing import final

import pydantic

from verbenapost.coordination.changes import Base, ChangeRequest
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


def propose(
    request: ChangeRequest,
    base: Base,
    writer: str,
    unix_time: float,
) -> ConfigurationRecord:
    """Return the record that announces a change."""
    return dataclasses.replace(
        base.record,
        writer=writer,
        proposal=Proposal(request.document, writer, unix_time),
        since=base.in_force,
    )


def withdraw(base: Base, writer: str) -> ConfigurationRecord:
    """Return the record without its proposal."""
    return dataclasses.replace(
        base.record,
        writer=writer,
        proposal=None,
        since=base.in_force,
    )


def accept_change(
    request: ChangeRequest,
    base: Base,
    kept: tuple[AuditEntry, ...],
    writer: str,
    unix_time: float,
) -> ConfigurationRecord:
    """Return the record with the new document and its audit entry.

    :param kept: earlier audit entries that are not archived.
    """
    changes = compare_documents(base.record.document, request.document)
    named = trim_changes(changes)
    entry = AuditEntry(
        number=base.record.last_number + 1,
        author=request.author,
        reason=request.reason,
        changed_at=unix_time,
        revision_before=base.in_force,
        writer=writer,
        changes=named,
        omitted=len(changes) - len(named),
    )
    return ConfigurationRecord(
        document=request.document,
        audit=(*kept, entry),
        writer=writer,
    )


def find_accepted(
    writer: str,
    base: Base,
    entries: tuple[AuditEntry, ...],
) -> int | None:
    """Return the revision at which a writer's change took effect.

    :param base: newer state of the key.
    :param entries: audit entries that may hold the change, newest last.
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
class MarkFinder:
    """Looks for a writer's mark in newer values of its key.

    :param writer: ``instance:sequence`` of the write.
    """

    def __init__(self, writer: str) -> None:
        self._writer = writer
        self._found: ConfigurationRecord | None = None

    def match(self, value: bytes) -> bool:
        """Tell whether the value was written after the write."""
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
        """Return the revision of the write.

        :param revision: revision of the value that matched, or of the write
            when its answer came.
        """
        if self._found is None:
            return revision
        base = Base(revision, self._found)
        found = find_accepted(self._writer, base, self._found.audit)
        return revision if found is None else found
