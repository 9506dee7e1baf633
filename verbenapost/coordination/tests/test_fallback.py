"""Tests of slots without an answer of the queue's owner."""

import pytest

from verbenapost.coordination.askers import SlotAsker
from verbenapost.coordination.fallback import PATIENCE
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.targets import Target
from verbenapost.protocol.slots import (
    AskSlot,
    CancelAsk,
    GrantSlot,
    QueueReady,
    ReleaseSlot,
    ReportSlots,
    RequestReport,
    Verdict,
)

TARGETS = [Target('vm-1', '127.0.0.1:80', 4)]


class Entry:
    """An entry of two, and the owners that it sees."""

    def __init__(self):
        self.owner = 'e-2'
        self.asker = SlotAsker('e-1', lambda _service: self.owner)
        self.asker.fallback.set_members(['e-1', 'e-2'])
        self.asker.fallback.set_targets({'booking': TARGETS})

    def ask(self, ask_id, now=0):
        ask = AskSlot(ask_id, 'booking', 'portal', 'visit', entry='e-1')
        return self.asker.ask(now, ask)

    def hear(self, epoch, now=0, owner='e-2'):
        request = RequestReport('booking', epoch)
        return self.asker.answer_report(now, owner, request)

    def settle(self, epoch, owner='e-2'):
        self.owner = owner
        self.hear(epoch, owner=owner)
        self.asker.accept_ready(owner, QueueReady('booking', epoch))

    def grant(self, ask_id, epoch, number=7, sender='e-2'):
        message = GrantSlot(
            ask_id, number, 'vm-1', '127.0.0.1:80', 30, 'booking', epoch
        )
        return self.asker.accept_grant(0, sender, message)

    def take(self):
        return [row.ask_id for row in self.asker.take_decisions() if row.grant]


def get_types(envelopes):
    return [type(envelope.message) for envelope in envelopes]


class TestOwnShare:
    def test_only_the_own_part_is_used_while_no_owner_answers(self):
        entry = Entry()
        for ask_id in 'abc':
            entry.ask(ask_id)
        assert entry.take() == ['a', 'b']
        assert entry.asker.waiting == 1

    def test_a_slot_that_comes_back_goes_to_the_next(self):
        entry = Entry()
        for ask_id in 'abc':
            entry.ask(ask_id)
        entry.take()
        entry.asker.release('a', Verdict.OK, 0.1)
        entry.asker.serve_waiting(1)
        assert entry.take() == ['c']

    def test_a_ready_owner_is_the_only_one_that_grants(self):
        entry = Entry()
        entry.settle(5)
        assert get_types(entry.ask('a')) == [AskSlot]
        entry.asker.tick(20)
        assert not entry.take()

    @pytest.mark.parametrize(
        ('now', 'served'),
        [(PATIENCE - 0.01, []), (PATIENCE, ['a'])],
    )
    def test_an_owner_that_takes_over_has_a_short_time(self, now, served):
        entry = Entry()
        entry.hear(5)
        entry.ask('a')
        entry.asker.tick(now)
        assert entry.take() == served

    def test_an_owner_that_can_not_be_reached_is_not_waited_for(self):
        entry = Entry()
        entry.settle(5)
        entry.ask('a')
        entry.asker.fallback.lose_owner('e-2')
        entry.asker.tick(0)
        assert entry.take() == ['a']

    def test_a_slot_of_the_last_owner_counts_as_part_of_the_share(self):
        entry = Entry()
        entry.settle(5)
        entry.ask('a')
        entry.grant('a', 5)
        entry.owner = 'e-3'
        entry.ask('b')
        entry.ask('c')
        assert entry.take() == ['a', 'b']

    def test_what_ran_by_itself_is_reported_and_withdrawn(self):
        entry = Entry()
        entry.ask('a')
        entry.hear(5)
        reports = entry.asker.tick(0)
        assert reports[0].message.running[0][:3] == (0, 'a', 'vm-1')
        ended = entry.asker.release('a', Verdict.OK, 0.1)
        assert get_types(ended) == [ReleaseSlot, CancelAsk]


class TestNoSlotTwice:
    def test_a_late_grant_goes_back_after_the_report_of_the_run(self):
        entry = Entry()
        entry.ask('a')
        back = entry.grant('a', 5)
        assert get_types(back) == [ReportSlots, ReleaseSlot]
        assert back[1].message.grant == 7
        assert entry.asker.running == 1

    def test_a_grant_of_an_earlier_owner_goes_back(self):
        entry = Entry()
        entry.settle(5)
        entry.ask('a')
        entry.settle(9, owner='e-3')
        back = entry.grant('a', 5)
        assert [envelope.to for envelope in back] == ['e-2']
        assert not entry.take()
        assert entry.asker.waiting == 1
        entry.grant('a', 9, sender='e-3')
        assert entry.take() == ['a']

    def test_a_daemon_that_lags_does_not_count_as_the_owner(self):
        entry = Entry()
        entry.settle(9)
        assert not entry.hear(5, owner='e-3')
        assert entry.asker.fallback.get('booking').ready

    def test_the_owner_counts_the_run_and_not_its_own_grant(self):
        queue = ServiceQueue('booking', 5)
        queue.set_targets(0, [Target('vm-2', '127.0.0.1:81', 4), *TARGETS])
        entry = Entry()
        entry.ask('a')
        entry.hear(5)
        ask = AskSlot('a', 'booking', 'portal', 'visit', entry='e-1')
        grants = [queue.ask(0, ask)[0].message]
        ask = AskSlot('b', 'booking', 'portal', 'visit', entry='e-2')
        grants.extend(row.message for row in queue.ask(0, ask))
        report, back = (
            row.message for row in entry.asker.accept_grant(0, 'e-2', grants[0])
        )
        queue.report(0, report)
        queue.release(0, back)
        assert queue.grants.get('a').message.target == 'vm-1'
        assert queue.pool.get('vm-1').used + queue.pool.get('vm-2').used == 2
        for envelope in entry.asker.release('a', Verdict.OK, 0.1):
            if isinstance(envelope.message, ReleaseSlot):
                queue.release(1, envelope.message)
        assert queue.pool.get('vm-1').used + queue.pool.get('vm-2').used == 1
