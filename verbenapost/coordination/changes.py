"""Decisions on one change of a configuration document."""

import dataclasses
import json
import re
from collections.abc import Mapping
from typing import Any, final

import pydantic
from result import Err, Ok, Result

from verbenapost.coordination.rights import Rights, Role, locate_document
from verbenapost.coordination.validation import (
    Fault,
    check_configuration,
    describe_errors,
)
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.configuration import (
    ConfigurationRecord,
    Proposal,
    parse_document,
)
from verbenapost.state.documents import PlatformDocument, TeamDocument

#: Bytes that one document may take; a key holds two and the audit entries.
MAX_DOCUMENT_BYTES = 300_000

#: Characters of the reason that an operator gives.
MAX_REASON_CHARACTERS = 500

#: Seconds after which a proposal counts as left behind by its writer.
PROPOSAL_LIFE = 10.0

Document = TeamDocument | PlatformDocument

_TEAM_NAME = re.compile('[a-z][a-z0-9_-]{0,62}')


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change as an operator asks for it.

    :param author: operator, for the audit entry.
    :param reason: why, for the audit entry.
    :param team: team or ``platform``.
    :param document: the whole new document as plain JSON values.
    :param expected: revision of the document that the operator has read, or
        ``None`` for the one in force when the request is taken up.
    """

    author: str
    reason: str
    team: str
    document: Any
    expected: int | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
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
class Base:
    """The state of a key that a change starts from.

    :param revision: revision of the key, 0 when it does not exist.
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
    """Return the typed document of a request that may go on."""
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
        return Err(refuse(describe_errors(request.team, error)))


def check_base(
    request: ChangeRequest,
    base: Base,
    unix_time: float,
) -> Failure | None:
    """Return why a change can't start from this state of the key."""
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
    """Tell whether the writer of a proposal may still be at work."""
    return abs(unix_time - proposal.proposed_at) < PROPOSAL_LIFE


def refuse(faults: tuple[Fault, ...]) -> Failure:
    """Return the refusal that names each path, value and rule."""
    lines = '; '.join(str(fault) for fault in faults)
    return Failure(ErrorKind.INVALID, lines)


def find_faults(
    team: str,
    document: Document,
    platform: PlatformDocument,
    teams: Mapping[str, TeamDocument],
) -> tuple[Fault, ...]:
    """Return the rules that a new document would break.

    Faults that other documents had before are not held against it.
    """
    known = check_configuration(platform, teams)
    root = f'{locate_document(team)}/'
    if isinstance(document, PlatformDocument):
        after = check_configuration(document, teams)
    else:
        after = check_configuration(platform, {**teams, team: document}, team)
    return tuple(
        fault
        for fault in after
        if fault not in known or fault.path.startswith(root)
    )


def touches_others(before: Document | None, after: Document) -> bool:
    """Tell whether a change alters what rules on other documents read."""
    return _read_shared(before) != _read_shared(after)


def _read_shared(document: Document | None) -> dict[str, Any]:
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
