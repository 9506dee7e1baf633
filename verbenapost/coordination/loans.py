"""Lending of idle slots from a spare pool to an overloaded service."""

import math
from typing import final

from verbenapost.coordination.grants import GRANT_GRACE, MAX_GRANT_TIME
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.reserve import RecentPeak
from verbenapost.coordination.targets import Target, TargetSlots
from verbenapost.protocol.slots import (
    BorrowSlots,
    LendSlots,
    QueueMessage,
    ReturnSlots,
)

#: Seconds after which a loan expires unless the borrower renews it.
LOAN_TIME = 5.0

#: Seconds between two borrow messages of a borrower.
BORROW_INTERVAL = 0.25

#: Fraction of its slots that a spare pool keeps on top of its recent peak.
UNLENT_FRACTION = 0.1


@final
class Loan:
    """Slots of one target that are lent to one service.

    ``slots`` is what the borrower may use now. ``kept`` is what counts as
    lent at the target: after a reduction it includes the slots that the
    borrower still uses.

    :param borrower: service that borrows.
    :param target_slots: slot accounting of the target.
    """

    def __init__(self, borrower: str, target_slots: TargetSlots) -> None:
        self.borrower = borrower
        self.target_slots = target_slots
        self.slots = 0
        self.kept = 0
        self.expires_at: float = 0

    def resize(self, slots: int) -> None:
        """Set the number of lent slots; slots in use stay counted."""
        self.slots = slots
        self._set_counted(max(slots, self.kept))

    def settle(self, kept: int) -> None:
        """Reduce the counted slots to those the borrower still uses."""
        self._set_counted(max(self.slots, min(kept, self.kept)))

    def _set_counted(self, kept: int) -> None:
        self.target_slots.lend(kept - self.kept)
        self.kept = kept


@final
class Lender:
    """Lends and recalls the idle slots of a spare pool.

    Explanation
    ===========

    The recent peak of the pool's own need and ``UNLENT_FRACTION`` of its
    slots are never lent. Loans are recalled as soon as requests of the
    pool's own service wait or need more slots; a slot that the borrower is
    using is returned when its run has ended.

    :param queue: queue of the service that the spare pool serves itself.
    """

    def __init__(self, queue: ServiceQueue) -> None:
        self._queue = queue
        self._peak = RecentPeak()
        self._loans: dict[tuple[str, str], Loan] = {}

    def borrow(self, now: float, message: BorrowSlots) -> list[QueueMessage]:
        """Extend the loans of a service up to the wanted slots; renew them."""
        held = sum(
            loan.slots
            for loan in self._loans.values()
            if loan.borrower == message.borrower
        )
        remaining = min(message.wanted - held, self._count_idle(now))
        for target_slots, limit in self._queue.pool.list_usable(now):
            free = limit - target_slots.busy
            if remaining > 0 and free > 0 and not target_slots.target.lender:
                portion = min(remaining, free)
                remaining -= portion
                self._extend_loan(message.borrower, target_slots, portion)
        return self._renew(now, message.borrower)

    def accept_return(
        self, now: float, message: ReturnSlots
    ) -> list[QueueMessage]:
        """Record which slots the borrower has returned."""
        loan = self._loans.get((message.borrower, message.target))
        if loan is None:
            return []
        if not message.kept:
            loan.slots = 0
        loan.settle(message.kept)
        self._drop_if_settled(loan)
        return self._queue.tick(now)

    def tick(self, now: float) -> list[QueueMessage]:
        """Recall slots that the pool needs and end expired loans.

        Slots of an expired loan stay counted for as long as a grant of the
        borrower may last, since the borrower may still be using them.
        """
        abandoned_at = now - MAX_GRANT_TIME - GRANT_GRACE
        for loan in tuple(self._loans.values()):
            if loan.expires_at <= now:
                loan.resize(0)
            if loan.expires_at <= abandoned_at:
                loan.settle(0)
                self._drop_if_settled(loan)
        return self._recall(now)

    def _count_idle(self, now: float) -> int:
        """Return the slots that can be lent; if negative, slots to recall."""
        queue = self._queue
        need = len(queue.grants) + queue.waiting
        peak = self._peak.observe(now, need)
        slots = queue.pool.count_slots(now)
        kept = math.ceil(max(peak, need) + UNLENT_FRACTION * slots)
        return slots - kept - sum(loan.kept for loan in self._loans.values())

    def _recall(self, now: float) -> list[QueueMessage]:
        shortfall = -self._count_idle(now)
        queue_messages: list[QueueMessage] = []
        for loan in self._loans.values():
            portion = min(loan.slots, max(shortfall, 0))
            if portion or loan.target_slots.leaving:
                portion = loan.slots if loan.target_slots.leaving else portion
                shortfall -= portion
                loan.resize(loan.slots - portion)
                queue_messages.append(self._make_message(now, loan))
        return queue_messages

    def _extend_loan(
        self, borrower: str, target_slots: TargetSlots, slots: int
    ) -> None:
        key = borrower, target_slots.target.name
        loan = self._loans.setdefault(key, Loan(borrower, target_slots))
        loan.resize(loan.slots + slots)

    def _renew(self, now: float, borrower: str) -> list[QueueMessage]:
        queue_messages: list[QueueMessage] = []
        for loan in self._loans.values():
            if loan.borrower == borrower and loan.slots:
                loan.expires_at = now + LOAN_TIME
                queue_messages.append(self._make_message(now, loan))
        return queue_messages

    def _make_message(self, now: float, loan: Loan) -> QueueMessage:
        target = loan.target_slots.target
        message = LendSlots(
            self._queue.service,
            loan.borrower,
            target.name,
            target.address,
            loan.slots,
            max(loan.expires_at - now, 0),
        )
        return QueueMessage(loan.borrower, message, to_owner=True)

    def _drop_if_settled(self, loan: Loan) -> None:
        if not loan.kept:
            self._loans.pop(
                (loan.borrower, loan.target_slots.target.name), None
            )


@final
class Borrower:
    """Borrows slots while the slots of the service are not enough.

    :param queue: queue of the service that borrows.
    :param lender: service of the spare pool.
    """

    def __init__(self, queue: ServiceQueue, lender: str) -> None:
        self._queue = queue
        self._lender = lender
        self._expires_at: dict[str, float] = {}
        self._sent_at = -math.inf

    def lend(self, now: float, message: LendSlots) -> list[QueueMessage]:
        """Apply a loan message, which may reduce or recall the loan."""
        target = Target(
            message.target,
            message.address,
            message.slots,
            lender=message.lender,
        )
        self._expires_at[message.target] = now + message.expires_in
        self._queue.pool.put(target)
        return self._queue.tick(now) + self._return_slots()

    def tick(self, now: float) -> list[QueueMessage]:
        """Borrow for waiting and running requests; return unneeded slots."""
        if now - self._sent_at < BORROW_INTERVAL:
            return []
        self._sent_at = now
        for name, expires_at in self._expires_at.items():
            if expires_at <= now:
                self._stop_using(name)
        wanted = self._queue.waiting + self._count_used()
        queue_messages = self._return_slots()
        if wanted:
            message = BorrowSlots(self._queue.service, wanted, self._lender)
            queue_messages.append(
                QueueMessage(self._lender, message, to_owner=True)
            )
        return queue_messages

    def _count_used(self) -> int:
        borrowed = map(self._queue.pool.get, self._expires_at)
        return sum(
            target_slots.used
            for target_slots in borrowed
            if target_slots is not None
        )

    def _stop_using(self, name: str) -> None:
        """Start no new runs on a target of the spare pool."""
        target_slots = self._queue.pool.get(name)
        if target_slots is not None:
            target = target_slots.target
            self._queue.pool.put(
                Target(name, target.address, 0, lender=target.lender),
            )

    def _return_slots(self) -> list[QueueMessage]:
        """Report borrowed slots in use; return targets that are not needed."""
        queue_messages: list[QueueMessage] = []
        for name in tuple(self._expires_at):
            target_slots = self._queue.pool.get(name)
            if target_slots is None:
                queue_messages.append(self._drop_target(name))
            elif not self._is_needed(target_slots):
                self._queue.pool.remove(name)
                queue_messages.append(self._drop_target(name))
            elif target_slots.used >= target_slots.target.slots:
                queue_messages.append(
                    self._make_message(name, target_slots.used)
                )
        return queue_messages

    def _is_needed(self, target_slots: TargetSlots) -> bool:
        """Return whether a borrowed target is in use or may be soon."""
        lent = target_slots.target.slots
        return target_slots.used > 0 or (lent > 0 and self._queue.waiting > 0)

    def _drop_target(self, name: str) -> QueueMessage:
        self._expires_at.pop(name)
        return self._make_message(name, 0)

    def _make_message(self, name: str, kept: int) -> QueueMessage:
        message = ReturnSlots(self._queue.service, self._lender, name, kept)
        return QueueMessage(self._lender, message, to_owner=True)
