"""Recorder and checker of configuration histories."""

import dataclasses
from typing import Any

from verbenapost.protocol.errors import ErrorKind
from verbenapost.state.configuration import CONFIG_PREFIX, unpack_record


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A change attempted by an operator, with the observed outcome.

    :param team: team or ``platform``.
    :param document: proposed document, unique in the history.
    :param expected: revision that the operator expected, or ``None``.
    :param revision: revision of the change, ``None`` if it failed.
    :param failure: kind of the failure, or ``None``.
    """

    team: str
    document: Any
    expected: int | None
    revision: int | None
    failure: ErrorKind | None = None


@dataclasses.dataclass(frozen=True)
class History:
    """A recorded history of configuration changes.

    :param writes: revision, team and record of each write in the store.
    :param attempts: changes that operators attempted.
    :param audits: complete audit history by team at the end.
    :param views: views of each daemon, in order of adoption.
    """

    writes: list
    attempts: list
    audits: dict
    views: dict


def record_writes(core):
    """Return a list to which each later write of a document is appended.

    :param core: store core, whose ``swap`` is wrapped.
    """
    writes = []
    swap = core.swap

    def record(key, expected, value, lease='', *, now):
        outcome = swap(key, expected, value, lease, now=now)
        if outcome.is_ok() and key.startswith(CONFIG_PREFIX):
            team = key.removeprefix(CONFIG_PREFIX)
            writes.append((outcome.ok(), team, unpack_record(value)))
        return outcome

    core.swap = record
    return writes


def check_history(history):
    """Return a description of each violated guarantee."""
    in_force = _list_in_force(history.writes)
    return [
        *_check_sequence(history.writes),
        *_check_attempts(history.attempts, in_force),
        *_check_audits(history.audits, in_force),
        *_check_views(history.views, in_force),
        *_check_names(in_force),
    ]


def _list_in_force(writes):
    """Return (revision, team, document, entry) of the accepted changes."""
    return [
        (revision, team, record.document, record.audit[-1])
        for revision, team, record in writes
        if record.document is not None and not record.since
    ]


def _check_sequence(writes):
    latest = {}
    for revision, team, record in writes:
        before = latest.get(team)
        old_number = before[1].last_audit_number if before else 0
        step = record.last_audit_number - old_number
        old_document = before[1].document if before else None
        if step not in {0, 1}:
            yield f'{team}@{revision}: number steps by {step}'
        if step == 0 and record.document != old_document:
            yield f'{team}@{revision}: changed without an audit entry'
        if step == 0 and not record.since and record.document is not None:
            yield f'{team}@{revision}: put in force twice'
        latest[team] = (revision, record)


def _check_attempts(attempts, in_force):
    for attempt in attempts:
        accepted = [
            (revision, entry)
            for revision, team, document, entry in in_force
            if (team, document) == (attempt.team, attempt.document)
        ]
        if len(accepted) > 1:
            yield f'{attempt}: in force twice'
        if attempt.revision is not None:
            if [revision for revision, _ in accepted] != [attempt.revision]:
                yield f'{attempt}: accepted, in force at {accepted}'
            if attempt.expected not in {
                None,
                *(entry.revision_before for _, entry in accepted),
            }:
                yield f'{attempt}: replaced another revision'
        elif attempt.failure is not ErrorKind.STORE_UNKNOWN and accepted:
            yield f'{attempt}: refused, in force at {accepted}'


def _check_audits(audits, in_force):
    for team, entries in audits.items():
        expected = [row[3] for row in in_force if row[1] == team]
        if list(entries) != expected:
            yield f'{team}: {len(entries)} entries of {len(expected)} changes'
        before = 0
        for revision, _, _, entry in (r for r in in_force if r[1] == team):
            if entry.revision_before != before:
                yield f'{team}@{revision}: wrong revision before'
            before = revision


def _check_views(views, in_force):
    known = {(team, revision) for revision, team, _, _ in in_force}
    for daemon, sequence in views.items():
        latest = {}
        for view in sequence:
            for team, revision in view.revisions.items():
                if revision < latest.get(team, 0):
                    yield f'{daemon}: {team} went back to {revision}'
                if (team, revision) not in known:
                    yield f'{daemon}: {team}@{revision} was never accepted'
                latest[team] = revision
            if latest.keys() - view.revisions.keys():
                yield f'{daemon}: a document vanished'


def _check_names(in_force):
    current = {}
    for revision, team, document, _ in in_force:
        current[team] = set(document.get('services', ()))
        for other, names in current.items():
            if other != team and names & current[team]:
                yield f'{team}@{revision}: shares a name with {other}'
