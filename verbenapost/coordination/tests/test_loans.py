"""Tests of slots lent by a spare pool."""

from verbenapost.coordination.loans import LOAN_TIME, Borrower, Lender
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.targets import Target
from verbenapost.protocol.slots import AskSlot, LendSlots, ReleaseSlot


class Pair:
    """A full service and the spare pool beside it."""

    def __init__(self):
        self.full = ServiceQueue('booking')
        self.full.set_targets(0, [Target('vm-b', '127.0.0.1:80', 1)])
        self.spare = ServiceQueue('admin')
        self.spare.set_targets(0, [Target('vm-a', '127.0.0.1:81', 10)])
        self.lender = Lender(self.spare)
        self.borrower = Borrower(self.full, 'admin')
        self.count = 0

    def ask(self, queue, now, count=1):
        envelopes = []
        for _ in range(count):
            self.count += 1
            ask_id = f'a{self.count}'
            message = AskSlot(ask_id, queue.service, 't', 'k', entry='e-1')
            envelopes.extend(queue.ask(now, message))
        return [envelope.message for envelope in envelopes]

    def borrow(self, now):
        """Let one round of messages pass and return the new grants."""
        grants = []
        for asked in self.borrower.tick(now):
            handler = {
                'BorrowSlots': self.lender.borrow,
                'ReturnSlots': self.lender.take_back,
            }[type(asked.message).__name__]
            for envelope in handler(now, asked.message):
                grants.extend(self.deliver(now, envelope))
        return grants

    def deliver(self, now, envelope):
        if not isinstance(envelope.message, LendSlots):
            return []
        answers = self.borrower.lend(now, envelope.message)
        for answer in answers:
            if answer.to_owner:
                self.lender.take_back(now, answer.message)
        return [row.message for row in answers if not row.to_owner]

    def recall(self, now):
        for envelope in self.lender.tick(now):
            self.deliver(now, envelope)

    def finish(self, queue, now, grant):
        message = ReleaseSlot(grant.grant, grant.ask_id, 'ok', 0.1)
        queue.release(now, message)

    def get_lent(self):
        return self.spare.pool.get('vm-a').lent


class TestOverflow:
    def test_waiting_asks_run_on_lent_slots(self):
        pair = Pair()
        pair.ask(pair.full, 0, 4)
        assert [row.target for row in pair.borrow(1)] == ['vm-a'] * 3
        assert pair.get_lent() == 3

    def test_the_part_that_is_kept_is_not_lent(self):
        pair = Pair()
        pair.ask(pair.spare, 0, 2)
        pair.ask(pair.full, 0, 30)
        assert len(pair.borrow(0)) == 7
        assert pair.ask(pair.spare, 0)[0].target == 'vm-a'

    def test_own_work_recalls_what_is_lent(self):
        pair = Pair()
        pair.ask(pair.full, 0, 30)
        grants = pair.borrow(0)
        pair.ask(pair.spare, 0, 4)
        pair.recall(0.1)
        for grant in grants:
            pair.finish(pair.full, 0.2, grant)
        pair.borrow(0.3)
        assert pair.get_lent() <= 5
        assert not pair.spare.waiting

    def test_slots_in_use_stay_counted_after_a_recall(self):
        pair = Pair()
        pair.ask(pair.full, 0, 30)
        pair.borrow(0)
        pair.ask(pair.spare, 0, 4)
        pair.recall(0.1)
        holder = pair.spare.pool.get('vm-a')
        assert holder.used + pair.full.pool.get('vm-a').used <= 10

    def test_unused_slots_go_back(self):
        pair = Pair()
        pair.ask(pair.full, 0, 3)
        for grant in pair.borrow(0):
            pair.finish(pair.full, 1, grant)
        pair.borrow(1)
        assert not pair.get_lent()

    def test_a_loan_of_a_lost_borrower_comes_back(self):
        pair = Pair()
        pair.ask(pair.full, 0, 4)
        pair.borrow(0)
        pair.lender.tick(LOAN_TIME + 1)
        assert pair.get_lent() == 3
        pair.lender.tick(LOAN_TIME + 32)
        assert not pair.get_lent()
