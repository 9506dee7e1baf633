"""Checks of a single change of a configuration document."""

import dataclasses
import json
import re
from collections.abc import Mapping
from typing import Any, final

import pydantic
from result import Err, Ok, Result

from verbenapost.coordination.rights import Rights, Role, locate_document
from verbenapost.coordination.validation import (
    Violation,
    check_configuration,
    convert_errors,
)
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.configuration import (
    ConfigurationRecord,
    Proposal,
    parse_document,
)
from verbenapost.state.documents import PlatformDocument, TeamDocument

#: Largest size of one document, in bytes; a key holds up to two documents
#: and the audit entries.
MAX_DOCUMENT_BYTES = 300_000

#: Longest reason for a change, in characters.
MAX_REASON_CHARACTERS = 500

#: Seconds after which a proposal counts as abandoned by its writer.
PROPOSAL_TIMEOUT = 10.0

Document = TeamDocument | PlatformDocument

_TEAM_NAME = re.compile('[a-z][a-z0-9_-]{0,62}')


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """An operator's request to change a document.

    :param author: operator, for the audit entry.
    :param reason: reason for the change, for the audit entry.
    :param team: team or ``platform``.
    :param document: the whole new document as plain JSON values.
    :param expected: revision of the document that the operator has read, or
        ``None`` for the one in force when the request is processed.
    """

    author: str
    reason: str
    team: str
    document: Any
    expected: int | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AppliedChange:
    """An accepted change.

    :param team: team or ``platform``.
    :param revision: revision of the document, for ``apply --wait``.
    :param number: number of the audit entry.
    """

    team: str
    revision: int
    number: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """Revision and value of a document's key.

    :param revision: revision of the key, 0 if it does not exist.
    :param record: value of the key.
    """

    revision: int
    record: ConfigurationRecord

    @property
    def in_force(self) -> int:
        """Return the revision of the document in force, 0 for none."""
        if self.record.document is None:
            return 0
        return self.record.since or self.revision


def check_request(
    request: ChangeRequest,
    rights: Rights,
) -> Result[Document, Failure]:
    """Return the parsed document of a request.

    :returns: the document, or the reason why the request is refused.
    """
    if not _TEAM_NAME.fullmatch(request.team):
        return Err(Failure(ErrorKind.BAD_REQUEST, 'bad name of a team'))
    path = locate_document(request.team)
    if not rights.allow(path, Role.WRITE):
        return Err(Failure(ErrorKind.FORBIDDEN, f'no right to write {path}'))
    if not 0 < len(request.reason) <= MAX_REASON_CHARACTERS:
        return Err(
            Failure(
                ErrorKind.BAD_REQUEST,
                f'the reason takes 1 to {MAX_REASON_CHARACTERS} characters',
            )
        )
    return _check_document(request)


def _check_document(request: ChangeRequest) -> Result[Document, Failure]:
    try:
        size = len(json.dumps(request.document))
    except (TypeError, ValueError) as error:
        return Err(Failure(ErrorKind.BAD_REQUEST, str(error)))
    if size > MAX_DOCUMENT_BYTES:
        return Err(
            Failure(
                ErrorKind.TOO_LARGE,
                f'{size} bytes; a document takes {MAX_DOCUMENT_BYTES}',
            )
        )
    try:
        return Ok(parse_document(request.team, request.document))
    except pydantic.ValidationError as error:
        return Err(make_refusal(convert_errors(request.team, error)))


def check_base(
    request: ChangeRequest,
    base: KeyState,
    unix_time: float,
) -> Failure | None:
    """Check a change against the current state of the key.

    :returns: the reason why the change is refused, or ``None``.
    """
    if request.expected is not None and request.expected != base.in_force:
        return Failure(
            ErrorKind.CONFLICT,
            f'revision {request.expected} was expected and'
            f' {base.in_force} is in force',
        )
    proposal = base.record.proposal
    if proposal and is_active(proposal, unix_time):
        return Failure(
            ErrorKind.CONFLICT,
            'another change of this document is under way',
        )
    return None


def is_active(proposal: Proposal, unix_time: float) -> bool:
    """Return whether a proposal may still be in progress."""
    return abs(unix_time - proposal.proposed_at) < PROPOSAL_TIMEOUT


def make_refusal(violations: tuple[Violation, ...]) -> Failure:
    """Return a failure that lists the path, value and rule of violations."""
    lines = '; '.join(str(violation) for violation in violations)
    return Failure(ErrorKind.INVALID, lines)


def find_violations(
    team: str,
    document: Document,
    platform: PlatformDocument,
    teams: Mapping[str, TeamDocument],
) -> tuple[Violation, ...]:
    """Return the violations that a new document would cause.

    Violations that other documents had before are ignored.
    """
    known = check_configuration(platform, teams)
    root = f'{locate_document(team)}/'
    if isinstance(document, PlatformDocument):
        after = check_configuration(document, teams)
    else:
        after = check_configuration(platform, {**teams, team: document}, team)
    return tuple(
        violation
        for violation in after
        if violation not in known or violation.path.startswith(root)
    )


def affects_others(before: Document | None, after: Document) -> bool:
    """Return whether a change may invalidate other documents.

    The rules on other documents read the values that are compared here.
    """
    return _extract_shared(before) != _extract_shared(after)


def _extract_shared(document: Document | None) -> dict[str, Any]:
    if document is None:
        return {}
    if isinstance(document, PlatformDocument):
        return {
            name: (pool.vms, pool.spare)
            for name, pool in document.pools.items()
        }
    return {
        name: (spec.pool, spec.overflow, spec.budget.min_healthy)
        for name, spec in document.services.items()
    }
