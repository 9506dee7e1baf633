"""The entry's side of asking for slots."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any, final

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.slots import (
    AskSlot,
    CancelAsk,
    Envelope,
    GrantSlot,
    RefuseSlot,
    ReleaseSlot,
    ReportSlots,
    RequestReport,
    RunningGrant,
    Verdict,
    pack_ask,
)

#: Seconds between two reports that keep long grants from expiring.
REPORT_PERIOD = 2.0

OwnerOf = Callable[[str], str | None]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SlotDecision:
    """The end of an ask: a grant or a refusal.

    :param ask_id: ask that is decided.
    :param grant: the slot, or ``None`` when refused.
    :param failure: the refusal, or ``None`` when granted.
    """

    ask_id: str
    grant: GrantSlot | None = None
    failure: Failure | None = None


@dataclasses.dataclass(slots=True)
class _Waiting:
    ask: AskSlot
    deadline: float


@dataclasses.dataclass(slots=True)
class _Running:
    ask: AskSlot
    grant: GrantSlot
    since: float


class SlotAsker:
    """Asks the owners of queues and remembers what it holds.

    Explanation
    ===========

    Every method returns what is to be sent. Decisions for the askers are
    collected by :meth:`take_decisions`. A new owner gets a report of all
    that waits and runs here, so that a lost owner costs no request.

    :param name: name of this daemon.
    :param owner_of: returns the owner of a service's queue now.
    """

    def __init__(self, name: str, owner_of: OwnerOf) -> None:
        self._name = name
        self._owner_of = owner_of
        self._waiting: dict[str, _Waiting] = {}
        self._running: dict[str, _Running] = {}
        self._decisions: list[SlotDecision] = []
        self._epochs: dict[str, int] = {}
        self._reported_at: float = 0

    @property
    def waiting(self) -> int:
        """Number of asks without a decision."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return len(self._running)

    def take_decisions(self) -> list[SlotDecision]:
        """Return the decisions since the last call."""
        taken = self._decisions
        self._decisions = []
        return taken

    def ask(self, now: float, ask: AskSlot) -> list[Envelope]:
        """Ask for a slot; the decision comes later."""
        deadline = now + ask.deadline_in
        self._waiting[ask.ask_id] = _Waiting(ask, deadline)
        return self._to_owner(ask.service, ask)

    def cancel(self, ask_id: str) -> list[Envelope]:
        """Withdraw an ask that has no decision yet."""
        waiting = self._waiting.pop(ask_id, None)
        if waiting is None:
            return []
        service = waiting.ask.service
        return self._to_owner(service, CancelAsk(ask_id, service))

    def release(
        self,
        ask_id: str,
        verdict: Verdict,
        run_time: float,
    ) -> list[Envelope]:
        """Give a slot back.

        :param run_time: seconds.
        """
        held = self._running.pop(ask_id, None)
        if held is None:
            return []
        return self._return_grant(held.grant, verdict, run_time)

    def accept_grant(
        self,
        now: float,
        sender: str,
        grant: GrantSlot,
    ) -> list[Envelope]:
        """Take a grant; one that nobody waits for goes back at once."""
        waiting = self._waiting.pop(grant.ask_id, None)
        if waiting is None:
            return self._refuse_grant(sender, grant)
        self._epochs[grant.service] = grant.owner_epoch
        self._running[grant.ask_id] = _Running(waiting.ask, grant, now)
        self._decisions.append(SlotDecision(grant.ask_id, grant=grant))
        return []

    def accept_refusal(self, refusal: RefuseSlot) -> None:
        """Take a refusal."""
        if self._waiting.pop(refusal.ask_id, None) is None:
            return
        failure = Failure(
            ErrorKind(refusal.kind),
            refusal.detail,
            retry_after=refusal.retry_after or None,
        )
        self._decisions.append(
            SlotDecision(refusal.ask_id, failure=failure),
        )

    def answer_report(
        self,
        now: float,
        sender: str,
        request: RequestReport,
    ) -> list[Envelope]:
        """Answer a new owner."""
        self._epochs[request.service] = request.owner_epoch
        report = self._make_report(now, request.service)
        return [Envelope(sender, report)]

    def report_services(
        self,
        now: float,
        services: Iterable[str],
    ) -> list[Envelope]:
        """Report to the owners, after a change of owner or connection."""
        envelopes = []
        for service in services:
            report = self._make_report(now, service)
            if report.running or report.waiting:
                envelopes.extend(self._to_owner(service, report))
        return envelopes

    def tick(self, now: float) -> list[Envelope]:
        """Refuse what is too late and report long grants."""
        late = [
            ask_id
            for ask_id, waiting in self._waiting.items()
            if waiting.deadline <= now
        ]
        envelopes = []
        for ask_id in late:
            envelopes.extend(self._expire(ask_id))
        if now - self._reported_at >= REPORT_PERIOD:
            self._reported_at = now
            envelopes.extend(self._report_long(now))
        return envelopes

    def _expire(self, ask_id: str) -> list[Envelope]:
        envelopes = self.cancel(ask_id)
        failure = Failure(ErrorKind.DEADLINE_EXCEEDED)
        self._decisions.append(SlotDecision(ask_id, failure=failure))
        return envelopes

    def _report_long(self, now: float) -> list[Envelope]:
        services = {
            held.ask.service
            for held in self._running.values()
            if now - held.since >= REPORT_PERIOD
        }
        services.update(row.ask.service for row in self._waiting.values())
        return self.report_services(now, sorted(services))

    def _make_report(self, now: float, service: str) -> ReportSlots:
        running = tuple(
            tuple(_make_row(now, held))
            for held in self._running.values()
            if held.ask.service == service
        )
        waiting = tuple(
            pack_ask(
                dataclasses.replace(
                    row.ask,
                    deadline_in=row.deadline - now,
                )
            )
            for row in self._waiting.values()
            if row.ask.service == service
        )
        epoch = self._epochs.get(service, 0)
        return ReportSlots(self._name, epoch, running, waiting, service)

    def _refuse_grant(self, sender: str, grant: GrantSlot) -> list[Envelope]:
        if grant.ask_id in self._running:
            # A second owner granted the same ask; the first grant stands.
            held = self._running[grant.ask_id].grant
            if held.grant == grant.grant and held.target == grant.target:
                return []
        release = _make_release(grant, Verdict.CANCELLED, 0)
        return [Envelope(sender, release)]

    def _return_grant(
        self,
        grant: GrantSlot,
        verdict: Verdict,
        run_time: float,
    ) -> list[Envelope]:
        release = _make_release(grant, verdict, run_time)
        return self._to_owner(grant.service, release)

    def _to_owner(self, service: str, message: Any) -> list[Envelope]:
        owner = self._owner_of(service)
        return [] if owner is None else [Envelope(owner, message)]


def _make_row(now: float, held: _Running) -> RunningGrant:
    return RunningGrant(
        held.grant.grant,
        held.ask.ask_id,
        held.grant.target,
        held.ask.team,
        held.ask.kind,
        now - held.since,
    )


def _make_release(
    grant: GrantSlot,
    verdict: Verdict,
    run_time: float,
) -> ReleaseSlot:
    return ReleaseSlot(
        grant.grant,
        grant.ask_id,
        verdict.value,
        run_time,
        grant.service,
    )
