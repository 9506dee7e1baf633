"""Audit entries of configuration changes."""

import json
from collections.abc import Iterator
from typing import Any

import pydantic
from pydantic.dataclasses import dataclass

#: Maximum number of changed paths that one audit entry lists.
MAX_CHANGES = 50

#: Maximum length of a path or a value in an audit entry, in characters.
MAX_VALUE_CHARACTERS = 300

#: Prefix of the store keys that hold archived audit entries.
AUDIT_PREFIX = 'audit/'

_IGNORE_EXTRA = pydantic.ConfigDict(extra='ignore')


@dataclass(frozen=True, config=_IGNORE_EXTRA)
class DocumentChange:
    """Changed path of a document.

    :param path: path below the document, such as ``/services/booking/pool``.
    :param before: JSON text, or ``None`` when the path did not exist.
    :param after: JSON text, or ``None`` when the path no longer exists.
    """

    path: str
    before: str | None
    after: str | None


@dataclass(frozen=True, config=_IGNORE_EXTRA)
class AuditEntry:
    """Audit entry of one accepted change of a document.

    :param number: consecutive number within the team, from 1.
    :param author: operator who made the change.
    :param reason: reason in the operator's words.
    :param changed_at: Unix time of the change in seconds.
    :param revision_before: revision of the document that was replaced.
    :param writer: ``instance:sequence`` of the write.
    :param changes: changed paths, at most ``MAX_CHANGES``.
    :param omitted: number of changed paths that are not listed.
    """

    number: int
    author: str
    reason: str
    changed_at: float
    revision_before: int
    writer: str
    changes: tuple[DocumentChange, ...] = ()
    omitted: int = 0


_ENTRIES_ADAPTER = pydantic.TypeAdapter(tuple[AuditEntry, ...])


def compare_documents(before: Any, after: Any) -> tuple[DocumentChange, ...]:
    """Return the changed paths between two JSON documents.

    Examples
    ========

    >>> compare_documents({'vms': 3, 'a': {}}, {'vms': 4, 'a': {}})
    (DocumentChange(path='/vms', before='3', after='4'),)
    >>> compare_documents({}, {'a': {'b': [1]}})
    (DocumentChange(path='/a/b', before=None, after='[1]'),)
    """
    old = dict(_flatten('', before))
    new = dict(_flatten('', after))
    return tuple(
        DocumentChange(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if path and old.get(path) != new.get(path)
    )


def trim_changes(
    changes: tuple[DocumentChange, ...],
) -> tuple[DocumentChange, ...]:
    """Return the changes that an audit entry lists, with truncated values."""
    return tuple(
        DocumentChange(
            change.path[:MAX_VALUE_CHARACTERS],
            _truncate(change.before),
            _truncate(change.after),
        )
        for change in changes[:MAX_CHANGES]
    )


def make_archive_key(team: str, entries: tuple[AuditEntry, ...]) -> str:
    """Return the store key for an archive of consecutive entries."""
    first = entries[0].number
    last = entries[-1].number
    return f'{AUDIT_PREFIX}{team}/{first:08d}-{last:08d}'


def pack_entries(entries: tuple[AuditEntry, ...]) -> bytes:
    """Return archived entries as JSON bytes for the store."""
    return _ENTRIES_ADAPTER.dump_json(entries)


def unpack_entries(value: bytes) -> tuple[AuditEntry, ...]:
    """Return archived entries from JSON bytes.

    :raises pydantic.ValidationError: when the value is not a list of entries.
    """
    return _ENTRIES_ADAPTER.validate_json(value)


def _flatten(path: str, node: Any) -> Iterator[tuple[str, str]]:
    if isinstance(node, dict) and node:
        for name, child in node.items():
            yield from _flatten(f'{path}/{name}', child)
    else:
        yield path, json.dumps(node, sort_keys=True)


def _truncate(text: str | None) -> str | None:
    if text is None or len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return f'{text[:MAX_VALUE_CHARACTERS]}...'
