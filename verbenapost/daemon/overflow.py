"""Loans of idle slots between queues of the same or different daemons."""

from collections.abc import Callable, Iterable, Mapping
from typing import final

from verbenapost.coordination.loans import Borrower, Lender
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.daemon.routing import MessageRouter
from verbenapost.daemon.targetlists import find_lender
from verbenapost.protocol.slots import (
    BorrowSlots,
    LendSlots,
    QueueMessage,
    ReturnSlots,
)
from verbenapost.state.configuration import ConfigurationView

Post = Callable[[Iterable[QueueMessage]], None]
Clock = Callable[[], float]


@final
class LoanManager:
    """Lends and borrows slots for the queues of this daemon.

    :param queues: queues of this daemon, by service.
    :param post: sends queue messages.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        queues: Mapping[str, ServiceQueue],
        post: Post,
        clock: Clock,
    ) -> None:
        self._queues = queues
        self._post = post
        self._clock = clock
        self._lenders: dict[str, Lender] = {}
        self._borrowers: dict[str, Borrower] = {}

    def register_handlers(self, router: MessageRouter) -> None:
        """Register the handlers of loan messages, for both sides."""
        router.register(BorrowSlots)(self._handle_borrow)
        router.register(LendSlots)(self._handle_loan)
        router.register(ReturnSlots)(self._handle_return)

    def configure(self, view: ConfigurationView) -> None:
        """Create lenders and borrowers for the services' overflow pools."""
        lenders = {name: find_lender(view, name) for name in view.services}
        for service, queue in self._queues.items():
            lender = lenders.get(service)
            if lender is not None and service not in self._borrowers:
                self._borrowers[service] = Borrower(queue, lender)
            if service in lenders.values() and service not in self._lenders:
                self._lenders[service] = Lender(queue)

    def drop(self, service: str) -> None:
        """Drop the loans of a queue that this daemon no longer owns."""
        self._lenders.pop(service, None)
        self._borrowers.pop(service, None)

    def tick(self) -> None:
        """Recall, request and return slots where it is due."""
        now = self._clock()
        for lender in self._lenders.values():
            self._post(lender.tick(now))
        for borrower in self._borrowers.values():
            self._post(borrower.tick(now))

    def _handle_borrow(self, _sender: str, message: BorrowSlots) -> None:
        lender = self._lenders.get(message.lender)
        if lender is not None and self._is_ready(message.lender):
            self._post(lender.borrow(self._clock(), message))

    def _handle_loan(self, _sender: str, message: LendSlots) -> None:
        borrower = self._borrowers.get(message.borrower)
        if borrower is not None:
            self._post(borrower.lend(self._clock(), message))

    def _handle_return(self, _sender: str, message: ReturnSlots) -> None:
        lender = self._lenders.get(message.lender)
        if lender is not None:
            self._post(lender.accept_return(self._clock(), message))

    def _is_ready(self, service: str) -> bool:
        return self._queues[service].rebuild.is_done(self._clock())
