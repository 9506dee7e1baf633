"""Awaitable slots for the requests of this entry."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from result import Err, Ok, Result

from verbenapost.coordination.askers import SlotAsker
from verbenapost.daemon.routing import MessageRouter
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.slots import (
    AskSlot,
    Envelope,
    GrantSlot,
    QueueReady,
    RefuseSlot,
    RequestReport,
    Verdict,
)

Send = Callable[[str, Any], bool]
Clock = Callable[[], float]
SlotResult = Result[GrantSlot, Failure]


class SlotDesk:
    """Lets requests wait for the decisions of a :class:`SlotAsker`.

    :param asker: decides what is sent.
    :param send: sends to a member.
    :param clock: returns monotonic seconds.
    """

    def __init__(self, asker: SlotAsker, send: Send, clock: Clock) -> None:
        self.asker = asker
        self._send = send
        self._clock = clock
        self._futures: dict[str, asyncio.Future[SlotResult]] = {}

    def register_routes(self, router: MessageRouter) -> None:
        """Take the messages of the slot protocol for the asking side."""
        router.register(GrantSlot)(self._take_grant)
        router.register(RefuseSlot)(self._take_refusal)
        router.register(QueueReady)(self._take_ready)
        router.register(RequestReport)(self._take_request)

    async def acquire(self, ask: AskSlot) -> SlotResult:
        """Wait for the decision on an ask; cancelling withdraws it."""
        future: asyncio.Future[SlotResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures[ask.ask_id] = future
        self._post(self.asker.ask(self._clock(), ask))
        self._decide()
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(ask.ask_id)
            raise
        finally:
            self._futures.pop(ask.ask_id, None)

    def release(self, ask_id: str, verdict: Verdict, run_time: float) -> None:
        """Give a slot back.

        :param run_time: seconds.
        """
        self._post(self.asker.release(ask_id, verdict, run_time))
        self.asker.serve_waiting(self._clock())
        self._decide()

    def report(self, services: Iterable[str]) -> None:
        """Report to the owners of services."""
        self._post(self.asker.report_services(self._clock(), services))

    def tick(self) -> None:
        """Refuse late asks and report long grants."""
        self._post(self.asker.tick(self._clock()))
        self._decide()

    def _withdraw(self, ask_id: str) -> None:
        self._post(self.asker.cancel(ask_id))
        # The grant may have come in the same iteration of the loop.
        self.release(ask_id, Verdict.CANCELLED, 0)

    def _take_grant(self, sender: str, grant: GrantSlot) -> None:
        now = self._clock()
        self._post(self.asker.accept_grant(now, sender, grant))
        self._decide()

    def _take_refusal(self, _sender: str, refusal: RefuseSlot) -> None:
        self.asker.accept_refusal(refusal)
        self._decide()

    def _take_request(self, sender: str, request: RequestReport) -> None:
        now = self._clock()
        self._post(self.asker.answer_report(now, sender, request))

    def _take_ready(self, sender: str, message: QueueReady) -> None:
        self.asker.accept_ready(sender, message)

    def _decide(self) -> None:
        for decision in self.asker.take_decisions():
            future = self._futures.get(decision.ask_id)
            if future is None or future.done():
                self.release(decision.ask_id, Verdict.CANCELLED, 0)
            elif decision.grant is not None:
                future.set_result(Ok(decision.grant))
            elif decision.failure is not None:
                future.set_result(Err(decision.failure))

    def _post(self, envelopes: Iterable[Envelope]) -> None:
        for envelope in envelopes:
            if not self._send(envelope.to, envelope.message):
                self.asker.fallback.lose_owner(envelope.to)
