"""What an entry holds and waits for, and how it reports that."""

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
class Waiting:
    """An ask without a decision."""

    ask: AskSlot
    deadline: float
    since: float


@final
@dataclasses.dataclass(slots=True)
class Running:
    """A slot in use."""

    ask: AskSlot
    grant: GrantSlot
    since: float


def pack_running(
    now: float,
    service: str,
    rows: Iterable[Running],
) -> tuple[tuple[Any, ...], ...]:
    """Return the rows of the slots of a service in use."""
    return tuple(
        tuple(_make_row(now, held))
        for held in rows
        if held.ask.service == service
    )


def pack_waiting(
    now: float,
    service: str,
    rows: Iterable[Waiting],
) -> tuple[tuple[Any, ...], ...]:
    """Return the rows of the asks of a service."""
    return tuple(
        pack_ask(dataclasses.replace(row.ask, deadline_in=row.deadline - now))
        for row in rows
        if row.ask.service == service
    )


def _make_row(now: float, held: Running) -> RunningGrant:
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
    """Return the message that gives a slot back."""
    return ReleaseSlot(
        grant.grant,
        grant.ask_id,
        verdict.value,
        run_time,
        grant.service,
    )
