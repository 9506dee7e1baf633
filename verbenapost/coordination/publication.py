"""Publication of configuration changes through the store."""

import asyncio
from typing import final

import pydantic
from result import Err, Ok, Result

from verbenapost.coordination.archive import MAX_KEPT_ENTRIES, split_entries
from verbenapost.coordination.changes import (
    Applied,
    Base,
    ChangeRequest,
    Document,
    check_base,
    check_request,
    find_faults,
    is_active,
    refuse,
    touches_others,
)
from verbenapost.coordination.conflicts import (
    Neighbours,
    Rival,
    read_neighbours,
)
from verbenapost.coordination.documents import DocumentStore
from verbenapost.coordination.records import (
    accept_change,
    propose,
    withdraw,
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

    The write that puts a document in force is one compare-and-swap and holds
    the audit entry. A change of what rules on other documents read, such as
    the name of a service, is announced first in its own key: the store swaps
    one key only, and two teams could otherwise both take one name.

    :param documents: keys of the documents.
    :param kept_entries: audit entries that stay with a document.
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
    ) -> Result[Applied, Failure]:
        """Put a document in force, or refuse it without a trace.

        :returns: ``INVALID`` with every fault, ``CONFLICT`` when another
            change came first, ``STORE_UNKNOWN`` when the store gave no answer
            from which the outcome could be told.
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
        announced = await self._prepare(request, document, base)
        if isinstance(announced, Err):
            return announced
        return await self._put_in_force(request, announced.ok_value)

    async def _prepare(
        self,
        request: ChangeRequest,
        document: Document,
        base: Base,
    ) -> Result[Base, Failure]:
        valid = await self._check_whole(request.team, document, NO_REVISION)
        if isinstance(valid, Err):
            return valid
        if touches_others(_parse(request.team, base), document):
            return await self._announce(request, document, base)
        return Ok(base)

    async def _check_whole(
        self,
        team: str,
        document: Document,
        floor: int,
    ) -> Result[Neighbours, Failure]:
        listing = await self._documents.list_documents(team, floor)
        if isinstance(listing, Err):
            return listing
        neighbours = read_neighbours(listing.ok_value)
        faults = find_faults(
            team,
            document,
            neighbours.platform,
            neighbours.teams,
        )
        return Err(refuse(faults)) if faults else Ok(neighbours)

    async def _announce(
        self,
        request: ChangeRequest,
        document: Document,
        base: Base,
    ) -> Result[Base, Failure]:
        record = propose(
            request,
            base,
            self._documents.draw_mark(),
            self._documents.read_clock(),
        )
        written = await self._documents.write(
            request.team,
            base.revision,
            record,
        )
        if isinstance(written, Err):
            return Err(_exclude_effect(written.err_value))
        proposed = Base(written.ok_value, record)
        refusal = await self._contest(request.team, document, proposed)
        if refusal is None:
            return Ok(proposed)
        await self._withdraw(request.team, proposed)
        return Err(refusal)

    async def _contest(
        self,
        team: str,
        document: Document,
        proposed: Base,
    ) -> Failure | None:
        checked = await self._check_whole(team, document, proposed.revision)
        if isinstance(checked, Err):
            return checked.err_value
        opponents = checked.ok_value.find_opponents(
            team,
            document,
            proposed.revision,
        )
        active = [rival.name for rival in opponents if self._is_active(rival)]
        if active:
            detail = f'an earlier change of {active[0]} is under way'
            return Failure(ErrorKind.CONFLICT, detail)
        removed = await asyncio.gather(
            *(self._withdraw(left.name, left.base) for left in opponents),
        )
        failures = (outcome.err() for outcome in removed)
        return next((row for row in failures if row is not None), None)

    def _is_active(self, rival: Rival) -> bool:
        proposal = rival.base.record.proposal
        if proposal is None:
            return False
        return is_active(proposal, self._documents.read_clock())

    async def _withdraw(self, team: str, base: Base) -> Result[int, Failure]:
        record = withdraw(base, self._documents.draw_mark())
        return await self._documents.write(team, base.revision, record)

    async def _put_in_force(
        self,
        request: ChangeRequest,
        base: Base,
    ) -> Result[Applied, Failure]:
        split = split_entries(base.record.audit, self._kept_entries)
        if split.archived:
            saved = await self._documents.save_archive(
                request.team,
                split.archived,
            )
            if isinstance(saved, Err):
                return saved
        record = accept_change(
            request,
            base,
            split.kept,
            self._documents.draw_mark(),
            self._documents.read_clock(),
        )
        written = await self._documents.write(
            request.team,
            base.revision,
            record,
        )
        if isinstance(written, Err):
            return written
        number = record.last_number
        return Ok(Applied(request.team, written.ok_value, number))


def _parse(team: str, base: Base) -> Document | None:
    if base.record.document is None:
        return None
    try:
        return parse_document(team, base.record.document)
    except pydantic.ValidationError:
        return None


def _exclude_effect(failure: Failure) -> Failure:
    """Return the failure of a proposal, which alone puts nothing in force."""
    if failure.kind is ErrorKind.STORE_UNKNOWN:
        return Failure(ErrorKind.STORE_UNAVAILABLE, failure.detail)
    return failure
