"""Idle slots that a spare pool lends to a service that is full."""

import math
from typing import final

from verbenapost.coordination.grants import GRANT_GRACE, MAX_GRANT_TIME
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.reserve import RecentPeak
from verbenapost.coordination.targets import Target, TargetSlots
from verbenapost.protocol.slots import (
    BorrowSlots,
    Envelope,
    LendSlots,
    ReturnSlots,
)

#: Seconds that a loan lasts unless it is asked for again.
LOAN_TIME = 5.0

#: Seconds between two messages of a borrower.
BORROW_INTERVAL = 0.25

#: Part of its slots that a spare pool keeps beside what it lately needed.
KEPT_PART = 0.1


@final
class Loan:
    """Slots of one target that one service borrows.

    :param borrower: service that borrows.
    :param holder: use of the slots of the target.
    """

    def __init__(self, borrower: str, holder: TargetSlots) -> None:
        self.borrower = borrower
        self.holder = holder
        self.slots = 0
        self.kept = 0
        self.expires_at: float = 0

    def resize(self, slots: int) -> None:
        """Lend this many slots; what is in use stays counted."""
        self.slots = slots
        self._count(max(slots, self.kept))

    def settle(self, kept: int) -> None:
        """Count the slots that the borrower still uses."""
        self._count(max(self.slots, min(kept, self.kept)))

    def _count(self, kept: int) -> None:
        self.holder.lend(kept - self.kept)
        self.kept = kept


@final
class Lender:
    """Lends what the spare pool does not need and recalls it.

    Explanation
    ===========

    What the pool's own work lately needed at its peak, and ``KEPT_PART`` of
    its slots, are never lent. Loans are recalled as soon as own work waits
    or needs more; a slot that the borrower uses comes back when its run has
    ended.

    :param queue: queue of the spare pool's own service.
    """

    def __init__(self, queue: ServiceQueue) -> None:
        self._queue = queue
        self._peak = RecentPeak()
        self._loans: dict[tuple[str, str], Loan] = {}

    def borrow(self, now: float, message: BorrowSlots) -> list[Envelope]:
        """Lend up to the wanted slots of a service, or take some back."""
        held = sum(
            loan.slots
            for loan in self._loans.values()
            if loan.borrower == message.borrower
        )
        more = min(message.wanted - held, self._count_idle(now))
        for holder, limit in self._queue.pool.list_usable(now):
            free = limit - holder.busy
            if more > 0 and free > 0 and not holder.target.lender:
                part = min(more, free)
                more -= part
                self._add(message.borrower, holder, part)
        return self._announce(now, message.borrower)

    def take_back(self, now: float, message: ReturnSlots) -> list[Envelope]:
        """Count the slots that the borrower has given back."""
        loan = self._loans.get((message.borrower, message.target))
        if loan is None:
            return []
        if not message.kept:
            loan.slots = 0
        loan.settle(message.kept)
        self._forget(loan)
        return self._queue.tick(now)

    def tick(self, now: float) -> list[Envelope]:
        """Recall what own work needs and end loans that have expired."""
        lost_at = now - MAX_GRANT_TIME - GRANT_GRACE
        for loan in tuple(self._loans.values()):
            if loan.expires_at <= now:
                loan.resize(0)
            if loan.expires_at <= lost_at:
                loan.settle(0)
                self._forget(loan)
        return self._recall(now)

    def _count_idle(self, now: float) -> int:
        """Return the slots that can be lent; negative ones are recalled."""
        queue = self._queue
        need = len(queue.grants) + queue.waiting
        peak = self._peak.observe(now, need)
        slots = queue.pool.count_slots(now)
        kept = math.ceil(max(peak, need) + KEPT_PART * slots)
        return slots - kept - sum(loan.kept for loan in self._loans.values())

    def _recall(self, now: float) -> list[Envelope]:
        missing = -self._count_idle(now)
        envelopes: list[Envelope] = []
        for loan in self._loans.values():
            part = min(loan.slots, max(missing, 0))
            if part or loan.holder.leaving:
                part = loan.slots if loan.holder.leaving else part
                missing -= part
                loan.resize(loan.slots - part)
                envelopes.append(self._write(now, loan))
        return envelopes

    def _add(self, borrower: str, holder: TargetSlots, slots: int) -> None:
        key = borrower, holder.target.name
        loan = self._loans.setdefault(key, Loan(borrower, holder))
        loan.resize(loan.slots + slots)

    def _announce(self, now: float, borrower: str) -> list[Envelope]:
        envelopes: list[Envelope] = []
        for loan in self._loans.values():
            if loan.borrower == borrower and loan.slots:
                loan.expires_at = now + LOAN_TIME
                envelopes.append(self._write(now, loan))
        return envelopes

    def _write(self, now: float, loan: Loan) -> Envelope:
        target = loan.holder.target
        message = LendSlots(
            self._queue.service,
            loan.borrower,
            target.name,
            target.address,
            loan.slots,
            max(loan.expires_at - now, 0),
        )
        return Envelope(loan.borrower, message, to_owner=True)

    def _forget(self, loan: Loan) -> None:
        if not loan.kept:
            self._loans.pop((loan.borrower, loan.holder.target.name), None)


@final
class Borrower:
    """Borrows slots while the own ones are not enough.

    :param queue: queue of the service.
    :param lender: service of the spare pool.
    """

    def __init__(self, queue: ServiceQueue, lender: str) -> None:
        self._queue = queue
        self._lender = lender
        self._expires_at: dict[str, float] = {}
        self._asked_at = -math.inf

    def lend(self, now: float, message: LendSlots) -> list[Envelope]:
        """Use lent slots, or no more than are left of them."""
        target = Target(
            message.target,
            message.address,
            message.slots,
            lender=message.lender,
        )
        self._expires_at[message.target] = now + message.expires_in
        self._queue.pool.put(target)
        return self._queue.tick(now) + self._give_back()

    def tick(self, now: float) -> list[Envelope]:
        """Ask for slots while asks wait; give back what is not needed."""
        if now - self._asked_at < BORROW_INTERVAL:
            return []
        self._asked_at = now
        for name, expires_at in self._expires_at.items():
            if expires_at <= now:
                self._shrink(name)
        wanted = self._queue.waiting + self._count_used()
        envelopes = self._give_back()
        if wanted:
            message = BorrowSlots(self._queue.service, wanted, self._lender)
            envelopes.append(Envelope(self._lender, message, to_owner=True))
        return envelopes

    def _count_used(self) -> int:
        holders = map(self._queue.pool.get, self._expires_at)
        return sum(holder.used for holder in holders if holder is not None)

    def _shrink(self, name: str) -> None:
        """Use a target of the spare pool for nothing new."""
        holder = self._queue.pool.get(name)
        if holder is not None:
            target = holder.target
            self._queue.pool.put(
                Target(name, target.address, 0, lender=target.lender),
            )

    def _give_back(self) -> list[Envelope]:
        """Report the lent slots in use; forget targets without any."""
        envelopes: list[Envelope] = []
        for name in tuple(self._expires_at):
            holder = self._queue.pool.get(name)
            if holder is None:
                envelopes.append(self._drop(name))
            elif not self._needs(holder):
                self._queue.pool.remove(name)
                envelopes.append(self._drop(name))
            elif holder.used >= holder.target.slots:
                envelopes.append(self._write(name, holder.used))
        return envelopes

    def _needs(self, holder: TargetSlots) -> bool:
        """Tell whether a target is in use or may be soon."""
        lent = holder.target.slots
        return holder.used > 0 or (lent > 0 and self._queue.waiting > 0)

    def _drop(self, name: str) -> Envelope:
        self._expires_at.pop(name)
        return self._write(name, 0)

    def _write(self, name: str, kept: int) -> Envelope:
        message = ReturnSlots(self._queue.service, self._lender, name, kept)
        return Envelope(self._lender, message, to_owner=True)
