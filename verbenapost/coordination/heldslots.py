"""Slots that an entry holds or requests, and their report rows."""

import dataclasses
from collections.abc import Iterable
from typing import Any, final

from verbenapost.protocol.slots import (
    AskSlot,
    GrantSlot,
    ReleaseSlot,
    RunningGrant,
    Verdict,
    pack_ask,
)


@final
@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A slot request that has not been decided.

    :param ask: message of the slot request.
    :param deadline: time at which the caller gives up, monotonic seconds.
    :param since: time of the request, monotonic seconds.
    """

    ask: AskSlot
    deadline: float
    since: float


@final
@dataclasses.dataclass(slots=True)
class HeldSlot:
    """A slot in use.

    :param ask: message of the slot request.
    :param grant: grant of the slot.
    :param since: time of the grant, monotonic seconds.
    """

    ask: AskSlot
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
        if held.ask.service == service
    )


def pack_waiting(
    now: float,
    service: str,
    rows: Iterable[PendingRequest],
) -> tuple[tuple[Any, ...], ...]:
    """Return the report rows of the pending requests of one service."""
    return tuple(
        pack_ask(dataclasses.replace(row.ask, deadline_in=row.deadline - now))
        for row in rows
        if row.ask.service == service
    )


def _make_running_grant(now: float, held: HeldSlot) -> RunningGrant:
    return RunningGrant(
        held.grant.grant,
        held.ask.ask_id,
        held.grant.target,
        held.ask.team,
        held.ask.kind,
        now - held.since,
    )


def make_release(
    grant: GrantSlot,
    verdict: Verdict,
    run_time: float,
) -> ReleaseSlot:
    """Return the message that releases a slot.

    :param run_time: seconds.
    """
    return ReleaseSlot(
        grant.grant,
        grant.ask_id,
        verdict.value,
        run_time,
        grant.service,
    )
