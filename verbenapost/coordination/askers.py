"""The entry's side of asking for slots."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any, final

from verbenapost.coordination.fallback import (
    OWN_GRANT,
    Fallback,
    OwnerState,
)
from verbenapost.coordination.holdings import (
    Running,
    Waiting,
    make_release,
    pack_running,
    pack_waiting,
)
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.slots import (
    AskSlot,
    CancelAsk,
    Envelope,
    GrantSlot,
    QueueReady,
    RefuseSlot,
    ReportSlots,
    RequestReport,
    Verdict,
)

#: Seconds between two reports that keep long grants from expiring.
REPORT_PERIOD = 2.0

#: Seconds between two reports to an owner that is not heard.
HELLO_PERIOD = 0.5

_UNUSED = Verdict.CANCELLED

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


class SlotAsker:
    """Asks the owners of queues and remembers what it holds.

    Explanation
    ===========

    Every method returns what is to be sent. Decisions for the askers are
    collected by :meth:`take_decisions`. A new owner gets a report of all
    that waits and runs here, so that a lost owner costs no request. Until
    an owner answers, asks are served from the entry's own static share.

    :param name: name of this daemon.
    :param owner_of: returns the owner of a service's queue now.
    """

    def __init__(self, name: str, owner_of: OwnerOf) -> None:
        self._name = name
        self._owner_of = owner_of
        self._waiting: dict[str, Waiting] = {}
        self._running: dict[str, Running] = {}
        self._decisions: list[SlotDecision] = []
        self.fallback = Fallback(name)
        self._reported_at: float = 0
        self._greeted_at: float = 0

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
        waiting = Waiting(ask, deadline, now)
        self._waiting[ask.ask_id] = waiting
        if self._see(ask.service).ready or not self._serve(now, waiting):
            return self._to_owner(ask.service, ask)
        return []

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
        service = held.ask.service
        state = self.fallback.get(service)
        state.shares.release(held.grant.target)
        release = make_release(held.grant, verdict, run_time)
        envelopes = self._to_owner(service, release)
        if held.grant.grant == OWN_GRANT:
            # The owner may have the ask and not yet know that it ran.
            cancel = CancelAsk(ask_id, service)
            envelopes.extend(self._to_owner(service, cancel))
        return envelopes

    def accept_grant(
        self,
        now: float,
        sender: str,
        grant: GrantSlot,
    ) -> list[Envelope]:
        """Take a grant; one that nobody waits for goes back at once."""
        self._see(grant.service)
        if self.fallback.is_stale(sender, grant):
            # The ask was reported to a later owner and waits for that one.
            return [Envelope(sender, make_release(grant, _UNUSED, 0))]
        self.fallback.confirm(sender, grant.service, grant.owner_epoch)
        waiting = self._waiting.pop(grant.ask_id, None)
        if waiting is None:
            return self._refuse_grant(now, sender, grant)
        self.fallback.get(grant.service).shares.occupy(grant.target)
        self._running[grant.ask_id] = Running(waiting.ask, grant, now)
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
        self._see(request.service)
        if not self.fallback.hear(now, sender, request):
            return []
        report = self._make_report(now, request.service)
        return [Envelope(sender, report)]

    def accept_ready(self, sender: str, message: QueueReady) -> None:
        """Rely on an owner that gives slots again."""
        self._see(message.service)
        self.fallback.confirm(sender, message.service, message.owner_epoch)

    def serve_waiting(self, now: float) -> None:
        """Give slots of the own shares to what waits for no owner."""
        if all(state.ready for _, state in self.fallback.list_states()):
            return
        for waiting in tuple(self._waiting.values()):
            if not self.fallback.get(waiting.ask.service).ready:
                self._serve(now, waiting)

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
            envelopes.extend(self.cancel(ask_id))
            failure = Failure(ErrorKind.DEADLINE_EXCEEDED)
            self._decisions.append(SlotDecision(ask_id, failure=failure))
        envelopes.extend(self._tick_fallback(now))
        if now - self._reported_at >= REPORT_PERIOD:
            self._reported_at = now
            envelopes.extend(self._report_long(now))
        return envelopes

    def _see(self, service: str) -> OwnerState:
        state = self.fallback.get(service)
        state.see(self._owner_of(service))
        return state

    def _tick_fallback(self, now: float) -> list[Envelope]:
        due = now - self._greeted_at >= HELLO_PERIOD
        if due:
            self._greeted_at = now
        self.serve_waiting(now)
        return [
            envelope
            for service in self._list_unknown(due=due)
            for envelope in self._to_owner(
                service,
                self._make_report(now, service),
            )
        ]

    def _list_unknown(self, *, due: bool) -> list[str]:
        """Return the services whose owner lacks a report."""
        found = []
        for service, state in self.fallback.list_states():
            ready = self._see(service).ready
            unreported = state.unreported and state.heard_at is not None
            if unreported or (due and not ready):
                state.unreported = False
                found.append(service)
        return found

    def _serve(self, now: float, waiting: Waiting) -> bool:
        """Serve an ask from the own share, where that is allowed."""
        grant = self.fallback.grant(now, waiting.ask, waiting.since)
        if grant is None:
            return False
        self._waiting.pop(grant.ask_id)
        self._running[grant.ask_id] = Running(waiting.ask, grant, now)
        self._decisions.append(SlotDecision(grant.ask_id, grant=grant))
        return True

    def _report_long(self, now: float) -> list[Envelope]:
        services = {
            held.ask.service
            for held in self._running.values()
            if now - held.since >= REPORT_PERIOD
        }
        services.update(row.ask.service for row in self._waiting.values())
        return self.report_services(now, sorted(services))

    def _make_report(self, now: float, service: str) -> ReportSlots:
        epoch = self.fallback.get(service).epoch
        running = pack_running(now, service, self._running.values())
        waiting = pack_waiting(now, service, self._waiting.values())
        return ReportSlots(self._name, epoch, running, waiting, service)

    def _refuse_grant(
        self,
        now: float,
        sender: str,
        grant: GrantSlot,
    ) -> list[Envelope]:
        if grant.ask_id in self._running:
            # A second owner granted the same ask; the first grant stands.
            held = self._running[grant.ask_id].grant
            if held.grant == grant.grant and held.target == grant.target:
                return []
        envelopes = []
        if grant.ask_id in self._running:
            # First, so that the owner counts the run where it really is.
            report = self._make_report(now, grant.service)
            envelopes.append(Envelope(sender, report))
        release = make_release(grant, _UNUSED, 0)
        return [*envelopes, Envelope(sender, release)]

    def _to_owner(self, service: str, message: Any) -> list[Envelope]:
        owner = self._owner_of(service)
        return [] if owner is None else [Envelope(owner, message)]
