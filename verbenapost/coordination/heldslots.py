"""Slots that an entry holds or requests, and their report rows."""

import dataclasses
from collections.abc import Iterable
from typing import Any, final

from verbenapost.protocol.slots import (
    GrantSlot,
    ReleaseSlot,
    RunningGrant,
    RunOutcome,
    SlotRequest,
    pack_slot_request,
)


@final
@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A slot request that has not been decided.

    :param slot_request: message of the slot request.
    :param deadline: time at which the caller gives up, monotonic seconds.
    :param since: time of the request, monotonic seconds.
    """

    slot_request: SlotRequest
    deadline: float
    since: float


@final
@dataclasses.dataclass(slots=True)
class HeldSlot:
    """A slot in use.

    :param slot_request: message of the slot request.
    :param grant: grant of the slot.
    :param since: time of the grant, monotonic seconds.
    """

    slot_request: SlotRequest
    grant: GrantSlot
    since: float


def pack_running(
    now: float,
    service: str,
    rows: Iterable[HeldSlot],
) -> tuple[tuple[Any, ...], ...]:
    """Return the report rows of the slots in use of one service."""
    return tuple(
        tuple(_make_running_grant(now, held))
        for held in rows
        if held.slot_request.service == service
    )


def pack_waiting(
    now: float,
    service: str,
    rows: Iterable[PendingRequest],
) -> tuple[tuple[Any, ...], ...]:
    """Return the report rows of the pending requests of one service."""
    return tuple(
        pack_slot_request(
            dataclasses.replace(
                row.slot_request, deadline_in=row.deadline - now
            )
        )
        for row in rows
        if row.slot_request.service == service
    )


def _make_running_grant(now: float, held: HeldSlot) -> RunningGrant:
    return RunningGrant(
        held.grant.grant,
        held.slot_request.slot_request_id,
        held.grant.target,
        held.slot_request.team,
        held.slot_request.kind,
        now - held.since,
    )


def make_release(
    grant: GrantSlot,
    outcome: RunOutcome,
    run_time: float,
) -> ReleaseSlot:
    """Return the message that releases a slot.

    :param run_time: seconds.
    """
    return ReleaseSlot(
        grant.grant,
        grant.slot_request_id,
        outcome.value,
        run_time,
        grant.service,
    )
