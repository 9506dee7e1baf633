"""Client side of the slot protocol, in the entry daemon."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any, final

from verbenapost.coordination.fallback import (
    STATIC_SHARE_GRANT,
    Fallback,
    OwnerState,
)
from verbenapost.coordination.heldslots import (
    HeldSlot,
    PendingRequest,
    make_release,
    pack_running,
    pack_waiting,
)
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.slots import (
    CancelSlotRequest,
    GrantSlot,
    QueueMessage,
    QueueReady,
    RefuseSlot,
    ReportSlots,
    RequestReport,
    RunOutcome,
    SlotRequest,
)

#: Seconds between two reports that keep long grants from expiring.
REPORT_PERIOD = 2.0

#: Seconds between two reports to an owner that is not ready.
UNREADY_REPORT_PERIOD = 0.5

_UNUSED = RunOutcome.CANCELLED

FindOwner = Callable[[str], str | None]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SlotDecision:
    """Decision of a slot request: a grant or a refusal.

    :param slot_request_id: identity of the slot request.
    :param grant: the grant, or ``None`` when refused.
    :param failure: the refusal, or ``None`` when granted.
    """

    slot_request_id: str
    grant: GrantSlot | None = None
    failure: Failure | None = None


class SlotClient:
    """Requests slots from queue owners and tracks the slots it holds.

    Explanation
    ===========

    Every method returns the messages to send. Decisions are collected until
    :meth:`take_decisions` returns them. A new owner gets a report of all
    pending requests and held slots, so that no request is lost with its
    owner. While no owner is ready, requests are served from the entry's
    static share.

    :param name: name of this daemon.
    :param find_owner: returns the current owner of the queue of a service.
    """

    def __init__(self, name: str, find_owner: FindOwner) -> None:
        self._name = name
        self._find_owner = find_owner
        self._pending: dict[str, PendingRequest] = {}
        self._held: dict[str, HeldSlot] = {}
        self._decisions: list[SlotDecision] = []
        self.fallback = Fallback(name)
        self._reported_at: float = 0
        self._unready_reported_at: float = 0

    @property
    def waiting(self) -> int:
        """Number of pending slot requests."""
        return len(self._pending)

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return len(self._held)

    def take_decisions(self) -> list[SlotDecision]:
        """Return and clear the decisions made since the last call."""
        taken = self._decisions
        self._decisions = []
        return taken

    def request_slot(
        self, now: float, slot_request: SlotRequest
    ) -> list[QueueMessage]:
        """Request a slot; :meth:`take_decisions` returns the decision."""
        deadline = now + slot_request.deadline_in
        pending = PendingRequest(slot_request, deadline, now)
        self._pending[slot_request.slot_request_id] = pending
        if self._update_owner(
            slot_request.service
        ).ready or not self._serve_from_share(now, pending):
            return self._address_owner(slot_request.service, slot_request)
        return []

    def cancel(self, slot_request_id: str) -> list[QueueMessage]:
        """Cancel a pending slot request."""
        pending = self._pending.pop(slot_request_id, None)
        if pending is None:
            return []
        service = pending.slot_request.service
        return self._address_owner(
            service, CancelSlotRequest(slot_request_id, service)
        )

    def release(
        self,
        slot_request_id: str,
        outcome: RunOutcome,
        run_time: float,
    ) -> list[QueueMessage]:
        """Release a slot.

        :param run_time: seconds.
        """
        held = self._held.pop(slot_request_id, None)
        if held is None:
            return []
        service = held.slot_request.service
        state = self.fallback.get(service)
        state.shares.release(held.grant.target)
        release = make_release(held.grant, outcome, run_time)
        queue_messages = self._address_owner(service, release)
        if held.grant.grant == STATIC_SHARE_GRANT:
            # The owner may have queued the request without knowing that it
            # ran on a static share.
            cancel = CancelSlotRequest(slot_request_id, service)
            queue_messages.extend(self._address_owner(service, cancel))
        return queue_messages

    def accept_grant(
        self,
        now: float,
        sender: str,
        grant: GrantSlot,
    ) -> list[QueueMessage]:
        """Accept a grant; release one whose request is not pending."""
        self._update_owner(grant.service)
        if self.fallback.is_stale(sender, grant):
            # The request was reported to a later owner and is pending there.
            return [QueueMessage(sender, make_release(grant, _UNUSED, 0))]
        self.fallback.mark_ready(sender, grant.service, grant.owner_epoch)
        pending = self._pending.pop(grant.slot_request_id, None)
        if pending is None:
            return self._return_grant(now, sender, grant)
        self.fallback.get(grant.service).shares.occupy(grant.target)
        self._held[grant.slot_request_id] = HeldSlot(
            pending.slot_request, grant, now
        )
        self._decisions.append(SlotDecision(grant.slot_request_id, grant=grant))
        return []

    def accept_refusal(self, refusal: RefuseSlot) -> None:
        """Accept the refusal of a pending request."""
        if self._pending.pop(refusal.slot_request_id, None) is None:
            return
        failure = Failure(
            ErrorKind(refusal.kind),
            refusal.detail,
            retry_after=refusal.retry_after or None,
        )
        self._decisions.append(
            SlotDecision(refusal.slot_request_id, failure=failure),
        )

    def accept_report_request(
        self,
        now: float,
        sender: str,
        request: RequestReport,
    ) -> list[QueueMessage]:
        """Answer the report request of a new owner."""
        self._update_owner(request.service)
        if not self.fallback.accept_report_request(now, sender, request):
            return []
        report = self._make_report(now, request.service)
        return [QueueMessage(sender, report)]

    def accept_ready(self, sender: str, message: QueueReady) -> None:
        """Record that an owner is ready to grant slots."""
        self._update_owner(message.service)
        self.fallback.mark_ready(sender, message.service, message.owner_epoch)

    def serve_waiting(self, now: float) -> None:
        """Serve pending requests without a ready owner from static shares."""
        if all(state.ready for _, state in self.fallback.list_states()):
            return
        for pending in tuple(self._pending.values()):
            if not self.fallback.get(pending.slot_request.service).ready:
                self._serve_from_share(now, pending)

    def report_services(
        self,
        now: float,
        services: Iterable[str],
    ) -> list[QueueMessage]:
        """Report to the owners after a change of owner or connection."""
        queue_messages = []
        for service in services:
            report = self._make_report(now, service)
            if report.running or report.waiting:
                queue_messages.extend(self._address_owner(service, report))
        return queue_messages

    def tick(self, now: float) -> list[QueueMessage]:
        """Refuse requests past their deadline and send due reports."""
        expired = [
            slot_request_id
            for slot_request_id, pending in self._pending.items()
            if pending.deadline <= now
        ]
        queue_messages = []
        for slot_request_id in expired:
            queue_messages.extend(self.cancel(slot_request_id))
            failure = Failure(ErrorKind.DEADLINE_EXCEEDED)
            self._decisions.append(
                SlotDecision(slot_request_id, failure=failure)
            )
        queue_messages.extend(self._tick_fallback(now))
        if now - self._reported_at >= REPORT_PERIOD:
            self._reported_at = now
            queue_messages.extend(self._report_open(now))
        return queue_messages

    def _update_owner(self, service: str) -> OwnerState:
        state = self.fallback.get(service)
        state.set_owner(self._find_owner(service))
        return state

    def _tick_fallback(self, now: float) -> list[QueueMessage]:
        due = now - self._unready_reported_at >= UNREADY_REPORT_PERIOD
        if due:
            self._unready_reported_at = now
        self.serve_waiting(now)
        return [
            queue_message
            for service in self._list_unreported(due=due)
            for queue_message in self._address_owner(
                service,
                self._make_report(now, service),
            )
        ]

    def _list_unreported(self, *, due: bool) -> list[str]:
        """Return the services whose owner needs a report.

        :param due: whether owners that are not ready get a report again.
        """
        found = []
        for service, state in self.fallback.list_states():
            ready = self._update_owner(service).ready
            unreported = (
                state.has_unreported_grant
                and state.report_requested_at is not None
            )
            if unreported or (due and not ready):
                state.has_unreported_grant = False
                found.append(service)
        return found

    def _serve_from_share(self, now: float, pending: PendingRequest) -> bool:
        """Serve a request from the static share if that is allowed."""
        grant = self.fallback.grant(now, pending.slot_request, pending.since)
        if grant is None:
            return False
        self._pending.pop(grant.slot_request_id)
        self._held[grant.slot_request_id] = HeldSlot(
            pending.slot_request, grant, now
        )
        self._decisions.append(SlotDecision(grant.slot_request_id, grant=grant))
        return True

    def _report_open(self, now: float) -> list[QueueMessage]:
        services = {
            held.slot_request.service
            for held in self._held.values()
            if now - held.since >= REPORT_PERIOD
        }
        services.update(
            row.slot_request.service for row in self._pending.values()
        )
        return self.report_services(now, sorted(services))

    def _make_report(self, now: float, service: str) -> ReportSlots:
        epoch = self.fallback.get(service).epoch
        running = pack_running(now, service, self._held.values())
        pending = pack_waiting(now, service, self._pending.values())
        return ReportSlots(self._name, epoch, running, pending, service)

    def _return_grant(
        self,
        now: float,
        sender: str,
        grant: GrantSlot,
    ) -> list[QueueMessage]:
        if grant.slot_request_id in self._held:
            # A second owner granted the same request; the first grant is kept.
            held = self._held[grant.slot_request_id].grant
            if held.grant == grant.grant and held.target == grant.target:
                return []
        queue_messages = []
        if grant.slot_request_id in self._held:
            # The report precedes the release, so that the owner counts the
            # run at the target on which it actually runs.
            report = self._make_report(now, grant.service)
            queue_messages.append(QueueMessage(sender, report))
        release = make_release(grant, _UNUSED, 0)
        return [*queue_messages, QueueMessage(sender, release)]

    def _address_owner(self, service: str, message: Any) -> list[QueueMessage]:
        owner = self._find_owner(service)
        return [] if owner is None else [QueueMessage(owner, message)]
