"""Loans of idle slots between the queues that this daemon owns or not."""

from collections.abc import Callable, Iterable, Mapping
from typing import final

from verbenapost.coordination.loans import Borrower, Lender
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.daemon.routing import MessageRouter
from verbenapost.daemon.targetlists import find_lender
from verbenapost.protocol.slots import (
    BorrowSlots,
    Envelope,
    LendSlots,
    ReturnSlots,
)
from verbenapost.state.configuration import ConfigurationView

Post = Callable[[Iterable[Envelope]], None]
Clock = Callable[[], float]


@final
class LoanDesk:
    """Lends and borrows for the queues of this daemon.

    :param queues: queues that are held here, by service.
    :param post: sends envelopes.
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

    def register_routes(self, router: MessageRouter) -> None:
        """Take the messages of both sides of a loan."""
        router.register(BorrowSlots)(self._take_wish)
        router.register(LendSlots)(self._take_loan)
        router.register(ReturnSlots)(self._take_return)

    def configure(self, view: ConfigurationView) -> None:
        """Lend and borrow as the services' overflow says."""
        lenders = {name: find_lender(view, name) for name in view.services}
        for service, queue in self._queues.items():
            lender = lenders.get(service)
            if lender is not None and service not in self._borrowers:
                self._borrowers[service] = Borrower(queue, lender)
            if service in lenders.values() and service not in self._lenders:
                self._lenders[service] = Lender(queue)

    def drop(self, service: str) -> None:
        """Forget the loans of a queue that is given up."""
        self._lenders.pop(service, None)
        self._borrowers.pop(service, None)

    def tick(self) -> None:
        """Recall, ask for and give back slots."""
        now = self._clock()
        for lender in self._lenders.values():
            self._post(lender.tick(now))
        for borrower in self._borrowers.values():
            self._post(borrower.tick(now))

    def _take_wish(self, _sender: str, message: BorrowSlots) -> None:
        lender = self._lenders.get(message.lender)
        if lender is not None and self._is_ready(message.lender):
            self._post(lender.borrow(self._clock(), message))

    def _take_loan(self, _sender: str, message: LendSlots) -> None:
        borrower = self._borrowers.get(message.borrower)
        if borrower is not None:
            self._post(borrower.lend(self._clock(), message))

    def _take_return(self, _sender: str, message: ReturnSlots) -> None:
        lender = self._lenders.get(message.lender)
        if lender is not None:
            self._post(lender.take_back(self._clock(), message))

    def _is_ready(self, service: str) -> bool:
        return self._queues[service].rebuild.is_done(self._clock())
