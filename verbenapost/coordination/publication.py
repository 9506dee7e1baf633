"""Publication of configuration changes in the store."""

import asyncio
from typing import final

import pydantic
from result import Err, Ok, Result

from verbenapost.coordination.archive import MAX_KEPT_ENTRIES, split_entries
from verbenapost.coordination.changes import (
    AppliedChange,
    ChangeRequest,
    Document,
    KeyState,
    affects_others,
    check_base,
    check_request,
    find_violations,
    is_active,
    make_refusal,
)
from verbenapost.coordination.conflicts import (
    CompetingChange,
    StoredConfiguration,
    read_stored_configuration,
)
from verbenapost.coordination.documents import DocumentStore
from verbenapost.coordination.records import (
    make_accepted_record,
    make_proposal_record,
    make_withdrawal_record,
)
from verbenapost.coordination.rights import Rights
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import NO_REVISION
from verbenapost.state.configuration import parse_document


@final
class Publisher:
    """Applies changes to the documents in the store.

    Explanation
    ===========

    A document is put in force by one compare-and-swap, which also writes the
    audit entry. A change of values that rules on other documents read, such
    as the name of a service, is first announced as a proposal in its own
    document's key: the store swaps only one key at a time, and two teams
    could otherwise both claim the same name.

    :param documents: access to the documents' keys.
    :param kept_entries: audit entries that are kept with a document.
    """

    def __init__(
        self,
        documents: DocumentStore,
        kept_entries: int = MAX_KEPT_ENTRIES,
    ) -> None:
        self._documents = documents
        self._kept_entries = kept_entries

    async def apply(
        self,
        request: ChangeRequest,
        rights: Rights,
    ) -> Result[AppliedChange, Failure]:
        """Put a document in force.

        A refused change leaves the configuration in force unchanged and adds
        no audit entry.

        :param request: change to apply.
        :param rights: rights of the operator.
        :returns: the applied change; ``INVALID`` with all violations;
            ``CONFLICT`` if another change came first; ``STORE_UNKNOWN`` if
            the outcome could not be determined from the store's answers.
        """
        checked = check_request(request, rights)
        if isinstance(checked, Err):
            return checked
        document = checked.ok_value
        reading = await self._documents.read(request.team)
        if isinstance(reading, Err):
            return reading
        base = reading.ok_value
        refusal = check_base(request, base, self._documents.read_clock())
        if refusal is not None:
            return Err(refusal)
        announced = await self._validate_and_announce(request, document, base)
        if isinstance(announced, Err):
            return announced
        return await self._put_in_force(request, announced.ok_value)

    async def _validate_and_announce(
        self,
        request: ChangeRequest,
        document: Document,
        base: KeyState,
    ) -> Result[KeyState, Failure]:
        valid = await self._validate(request.team, document, NO_REVISION)
        if isinstance(valid, Err):
            return valid
        if affects_others(_parse_document(request.team, base), document):
            return await self._announce(request, document, base)
        return Ok(base)

    async def _validate(
        self,
        team: str,
        document: Document,
        min_revision: int,
    ) -> Result[StoredConfiguration, Failure]:
        listing = await self._documents.list_documents(team, min_revision)
        if isinstance(listing, Err):
            return listing
        stored = read_stored_configuration(listing.ok_value)
        violations = find_violations(
            team,
            document,
            stored.platform,
            stored.teams,
        )
        return Err(make_refusal(violations)) if violations else Ok(stored)

    async def _announce(
        self,
        request: ChangeRequest,
        document: Document,
        base: KeyState,
    ) -> Result[KeyState, Failure]:
        record = make_proposal_record(
            request,
            base,
            self._documents.issue_write_id(),
            self._documents.read_clock(),
        )
        written = await self._documents.write(
            request.team,
            base.revision,
            record,
        )
        if isinstance(written, Err):
            return Err(_rule_out_effect(written.err_value))
        proposed = KeyState(written.ok_value, record)
        refusal = await self._resolve_conflicts(
            request.team, document, proposed
        )
        if refusal is None:
            return Ok(proposed)
        await self._withdraw(request.team, proposed)
        return Err(refusal)

    async def _resolve_conflicts(
        self,
        team: str,
        document: Document,
        proposed: KeyState,
    ) -> Failure | None:
        checked = await self._validate(team, document, proposed.revision)
        if isinstance(checked, Err):
            return checked.err_value
        conflicting = checked.ok_value.find_conflicts(
            team,
            document,
            proposed.revision,
        )
        active = [
            competitor.name
            for competitor in conflicting
            if self._is_active(competitor)
        ]
        if active:
            detail = f'an earlier change of {active[0]} is under way'
            return Failure(ErrorKind.CONFLICT, detail)
        removed = await asyncio.gather(
            *(
                self._withdraw(abandoned.name, abandoned.base)
                for abandoned in conflicting
            ),
        )
        failures = (outcome.err() for outcome in removed)
        return next((row for row in failures if row is not None), None)

    def _is_active(self, competitor: CompetingChange) -> bool:
        proposal = competitor.base.record.proposal
        if proposal is None:
            return False
        return is_active(proposal, self._documents.read_clock())

    async def _withdraw(
        self, team: str, base: KeyState
    ) -> Result[int, Failure]:
        record = make_withdrawal_record(base, self._documents.issue_write_id())
        return await self._documents.write(team, base.revision, record)

    async def _put_in_force(
        self,
        request: ChangeRequest,
        base: KeyState,
    ) -> Result[AppliedChange, Failure]:
        split = split_entries(base.record.audit, self._kept_entries)
        if split.archived:
            saved = await self._documents.save_archive(
                request.team,
                split.archived,
            )
            if isinstance(saved, Err):
                return saved
        record = make_accepted_record(
            request,
            base,
            split.kept,
            self._documents.issue_write_id(),
            self._documents.read_clock(),
        )
        written = await self._documents.write(
            request.team,
            base.revision,
            record,
        )
        if isinstance(written, Err):
            return written
        number = record.last_audit_number
        return Ok(AppliedChange(request.team, written.ok_value, number))


def _parse_document(team: str, base: KeyState) -> Document | None:
    if base.record.document is None:
        return None
    try:
        return parse_document(team, base.record.document)
    except pydantic.ValidationError:
        return None


def _rule_out_effect(failure: Failure) -> Failure:
    """Return the failure of an announcement.

    A proposal alone changes nothing in force, so the outcome of the change
    is known even if that of the announcement is not.
    """
    if failure.kind is ErrorKind.STORE_UNKNOWN:
        return Failure(ErrorKind.STORE_UNAVAILABLE, failure.detail)
    return failure
