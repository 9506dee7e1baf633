"""Tests of lending slots from a spare pool."""

from verbenapost.coordination.loans import LOAN_TIME, Borrower, Lender
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.targets import Target
from verbenapost.protocol.slots import LendSlots, ReleaseSlot, SlotRequest


class LoanScenario:
    """A service without free slots and a spare pool."""

    def __init__(self):
        self.full = ServiceQueue('booking')
        self.full.set_targets(0, [Target('vm-b', '127.0.0.1:80', 1)])
        self.spare = ServiceQueue('admin')
        self.spare.set_targets(0, [Target('vm-a', '127.0.0.1:81', 10)])
        self.lender = Lender(self.spare)
        self.borrower = Borrower(self.full, 'admin')
        self.count = 0

    def request_slots(self, queue, now, count=1):
        queue_messages = []
        for _ in range(count):
            self.count += 1
            slot_request_id = f'a{self.count}'
            message = SlotRequest(
                slot_request_id, queue.service, 't', 'k', entry='e-1'
            )
            queue_messages.extend(queue.request_slot(now, message))
        return [queue_message.message for queue_message in queue_messages]

    def borrow(self, now):
        """Deliver one round of messages and return the new grants."""
        grants = []
        for sent in self.borrower.tick(now):
            handler = {
                'BorrowSlots': self.lender.borrow,
                'ReturnSlots': self.lender.accept_return,
            }[type(sent.message).__name__]
            for queue_message in handler(now, sent.message):
                grants.extend(self.deliver(now, queue_message))
        return grants

    def deliver(self, now, queue_message):
        if not isinstance(queue_message.message, LendSlots):
            return []
        answers = self.borrower.lend(now, queue_message.message)
        for answer in answers:
            if answer.to_owner:
                self.lender.accept_return(now, answer.message)
        return [row.message for row in answers if not row.to_owner]

    def recall(self, now):
        for queue_message in self.lender.tick(now):
            self.deliver(now, queue_message)

    def finish(self, queue, now, grant):
        message = ReleaseSlot(grant.grant, grant.slot_request_id, 'ok', 0.1)
        queue.release(now, message)

    def get_lent(self):
        return self.spare.pool.get('vm-a').lent


class TestOverflow:
    def test_waiting_requests_run_on_lent_slots(self):
        scenario = LoanScenario()
        scenario.request_slots(scenario.full, 0, 4)
        assert [row.target for row in scenario.borrow(1)] == ['vm-a'] * 3
        assert scenario.get_lent() == 3

    def test_reserved_slots_are_not_lent(self):
        scenario = LoanScenario()
        scenario.request_slots(scenario.spare, 0, 2)
        scenario.request_slots(scenario.full, 0, 30)
        assert len(scenario.borrow(0)) == 7
        assert scenario.request_slots(scenario.spare, 0)[0].target == 'vm-a'

    def test_own_requests_recall_lent_slots(self):
        scenario = LoanScenario()
        scenario.request_slots(scenario.full, 0, 30)
        grants = scenario.borrow(0)
        scenario.request_slots(scenario.spare, 0, 4)
        scenario.recall(0.1)
        for grant in grants:
            scenario.finish(scenario.full, 0.2, grant)
        scenario.borrow(0.3)
        assert scenario.get_lent() <= 5
        assert not scenario.spare.waiting

    def test_slots_in_use_stay_counted_after_a_recall(self):
        scenario = LoanScenario()
        scenario.request_slots(scenario.full, 0, 30)
        scenario.borrow(0)
        scenario.request_slots(scenario.spare, 0, 4)
        scenario.recall(0.1)
        lent_target = scenario.spare.pool.get('vm-a')
        assert lent_target.used + scenario.full.pool.get('vm-a').used <= 10

    def test_unused_slots_are_returned(self):
        scenario = LoanScenario()
        scenario.request_slots(scenario.full, 0, 3)
        for grant in scenario.borrow(0):
            scenario.finish(scenario.full, 1, grant)
        scenario.borrow(1)
        assert not scenario.get_lent()

    def test_a_loan_to_an_unreachable_borrower_expires(self):
        scenario = LoanScenario()
        scenario.request_slots(scenario.full, 0, 4)
        scenario.borrow(0)
        scenario.lender.tick(LOAN_TIME + 1)
        assert scenario.get_lent() == 3
        scenario.lender.tick(LOAN_TIME + 32)
        assert not scenario.get_lent()
