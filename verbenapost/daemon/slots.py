"""Awaitable slot requests of this entry."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from result import Err, Ok, Result

from verbenapost.coordination.slotclient import SlotClient
from verbenapost.daemon.routing import MessageRouter
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.slots import (
    GrantSlot,
    QueueMessage,
    QueueReady,
    RefuseSlot,
    RequestReport,
    RunOutcome,
    SlotRequest,
)

Send = Callable[[str, Any], bool]
Clock = Callable[[], float]
SlotResult = Result[GrantSlot, Failure]


class AsyncSlotClient:
    """Awaits the decisions of a :class:`SlotClient`.

    :param client: implements the slot protocol without input or output.
    :param send: sends a message to a member.
    :param clock: returns monotonic seconds.
    """

    def __init__(self, client: SlotClient, send: Send, clock: Clock) -> None:
        self.client = client
        self._send = send
        self._clock = clock
        self._futures: dict[str, asyncio.Future[SlotResult]] = {}

    def register_handlers(self, router: MessageRouter) -> None:
        """Register the client's handlers of the slot protocol."""
        router.register(GrantSlot)(self._handle_grant)
        router.register(RefuseSlot)(self._handle_refusal)
        router.register(QueueReady)(self._handle_queue_ready)
        router.register(RequestReport)(self._handle_report_request)

    async def acquire(self, slot_request: SlotRequest) -> SlotResult:
        """Wait for the decision on a slot request.

        Cancelling this coroutine withdraws the request.
        """
        future: asyncio.Future[SlotResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures[slot_request.slot_request_id] = future
        self._post(self.client.request_slot(self._clock(), slot_request))
        self._apply_decisions()
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(slot_request.slot_request_id)
            raise
        finally:
            self._futures.pop(slot_request.slot_request_id, None)

    def release(
        self, slot_request_id: str, outcome: RunOutcome, run_time: float
    ) -> None:
        """Release a slot.

        :param outcome: outcome of the run in the slot.
        :param run_time: seconds for which the slot was used.
        """
        self._post(self.client.release(slot_request_id, outcome, run_time))
        self.client.serve_waiting(self._clock())
        self._apply_decisions()

    def report(self, services: Iterable[str]) -> None:
        """Send reports of slots and requests to the owners of services."""
        self._post(self.client.report_services(self._clock(), services))

    def tick(self) -> None:
        """Refuse expired slot requests and report long-held grants."""
        self._post(self.client.tick(self._clock()))
        self._apply_decisions()

    def _withdraw(self, slot_request_id: str) -> None:
        self._post(self.client.cancel(slot_request_id))
        # A grant may have arrived in the same iteration of the event loop.
        self.release(slot_request_id, RunOutcome.CANCELLED, 0)

    def _handle_grant(self, sender: str, grant: GrantSlot) -> None:
        now = self._clock()
        self._post(self.client.accept_grant(now, sender, grant))
        self._apply_decisions()

    def _handle_refusal(self, _sender: str, refusal: RefuseSlot) -> None:
        self.client.accept_refusal(refusal)
        self._apply_decisions()

    def _handle_report_request(
        self, sender: str, request: RequestReport
    ) -> None:
        now = self._clock()
        self._post(self.client.accept_report_request(now, sender, request))

    def _handle_queue_ready(self, sender: str, message: QueueReady) -> None:
        self.client.accept_ready(sender, message)

    def _apply_decisions(self) -> None:
        for decision in self.client.take_decisions():
            future = self._futures.get(decision.slot_request_id)
            if future is None or future.done():
                self.release(decision.slot_request_id, RunOutcome.CANCELLED, 0)
            elif decision.grant is not None:
                future.set_result(Ok(decision.grant))
            elif decision.failure is not None:
                future.set_result(Err(decision.failure))

    def _post(self, queue_messages: Iterable[QueueMessage]) -> None:
        for queue_message in queue_messages:
            if not self._send(queue_message.to, queue_message.message):
                self.client.fallback.mark_owner_unreachable(queue_message.to)
