"""Tests of static shares while a queue has no ready owner."""

import pytest

from verbenapost.coordination.fallback import TAKEOVER_WAIT
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.slotclient import SlotClient
from verbenapost.coordination.targets import Target
from verbenapost.protocol.slots import (
    CancelSlotRequest,
    GrantSlot,
    QueueReady,
    ReleaseSlot,
    ReportSlots,
    RequestReport,
    RunOutcome,
    SlotRequest,
)

TARGETS = [Target('vm-1', '127.0.0.1:80', 4)]


class Entry:
    """One of two entries, with a queue owner that the test selects."""

    def __init__(self):
        self.owner = 'e-2'
        self.client = SlotClient('e-1', lambda _service: self.owner)
        self.client.fallback.set_members(['e-1', 'e-2'])
        self.client.fallback.set_targets({'booking': TARGETS})

    def send_request(self, slot_request_id, now=0):
        slot_request = SlotRequest(
            slot_request_id, 'booking', 'portal', 'visit', entry='e-1'
        )
        return self.client.request_slot(now, slot_request)

    def request_report(self, epoch, now=0, owner='e-2'):
        request = RequestReport('booking', epoch)
        return self.client.accept_report_request(now, owner, request)

    def make_ready(self, epoch, owner='e-2'):
        self.owner = owner
        self.request_report(epoch, owner=owner)
        self.client.accept_ready(owner, QueueReady('booking', epoch))

    def grant(self, slot_request_id, epoch, number=7, sender='e-2'):
        message = GrantSlot(
            slot_request_id,
            number,
            'vm-1',
            '127.0.0.1:80',
            30,
            'booking',
            epoch,
        )
        return self.client.accept_grant(0, sender, message)

    def take_granted(self):
        return [
            row.slot_request_id
            for row in self.client.take_decisions()
            if row.grant
        ]


def get_types(queue_messages):
    return [type(queue_message.message) for queue_message in queue_messages]


class TestStaticShare:
    def test_only_the_static_share_is_used_without_an_owner(self):
        entry = Entry()
        for slot_request_id in 'abc':
            entry.send_request(slot_request_id)
        assert entry.take_granted() == ['a', 'b']
        assert entry.client.waiting == 1

    def test_a_released_slot_goes_to_the_next_request(self):
        entry = Entry()
        for slot_request_id in 'abc':
            entry.send_request(slot_request_id)
        entry.take_granted()
        entry.client.release('a', RunOutcome.OK, 0.1)
        entry.client.serve_waiting(1)
        assert entry.take_granted() == ['c']

    def test_a_ready_owner_is_the_only_one_that_grants(self):
        entry = Entry()
        entry.make_ready(5)
        assert get_types(entry.send_request('a')) == [SlotRequest]
        entry.client.tick(20)
        assert not entry.take_granted()

    @pytest.mark.parametrize(
        ('now', 'served'),
        [(TAKEOVER_WAIT - 0.01, []), (TAKEOVER_WAIT, ['a'])],
    )
    def test_a_request_waits_briefly_for_a_new_owner(self, now, served):
        entry = Entry()
        entry.request_report(5)
        entry.send_request('a')
        entry.client.tick(now)
        assert entry.take_granted() == served

    def test_an_owner_that_can_not_be_reached_is_not_waited_for(self):
        entry = Entry()
        entry.make_ready(5)
        entry.send_request('a')
        entry.client.fallback.mark_owner_unreachable('e-2')
        entry.client.tick(0)
        assert entry.take_granted() == ['a']

    def test_a_slot_of_the_last_owner_counts_against_the_share(self):
        entry = Entry()
        entry.make_ready(5)
        entry.send_request('a')
        entry.grant('a', 5)
        entry.owner = 'e-3'
        entry.send_request('b')
        entry.send_request('c')
        assert entry.take_granted() == ['a', 'b']

    def test_a_run_on_the_static_share_is_reported_and_cancelled(self):
        entry = Entry()
        entry.send_request('a')
        entry.request_report(5)
        reports = entry.client.tick(0)
        assert reports[0].message.running[0][:3] == (0, 'a', 'vm-1')
        ended = entry.client.release('a', RunOutcome.OK, 0.1)
        assert get_types(ended) == [ReleaseSlot, CancelSlotRequest]


class TestDuplicateGrants:
    def test_a_late_grant_is_released_after_the_run_is_reported(self):
        entry = Entry()
        entry.send_request('a')
        returned = entry.grant('a', 5)
        assert get_types(returned) == [ReportSlots, ReleaseSlot]
        assert returned[1].message.grant == 7
        assert entry.client.running == 1

    def test_a_grant_of_an_earlier_owner_is_released(self):
        entry = Entry()
        entry.make_ready(5)
        entry.send_request('a')
        entry.make_ready(9, owner='e-3')
        returned = entry.grant('a', 5)
        assert [queue_message.to for queue_message in returned] == ['e-2']
        assert not entry.take_granted()
        assert entry.client.waiting == 1
        entry.grant('a', 9, sender='e-3')
        assert entry.take_granted() == ['a']

    def test_an_earlier_owner_does_not_replace_the_current_one(self):
        entry = Entry()
        entry.make_ready(9)
        assert not entry.request_report(5, owner='e-3')
        assert entry.client.fallback.get('booking').ready

    def test_the_owner_counts_the_run_and_not_its_own_grant(self):
        queue = ServiceQueue('booking', 5)
        queue.set_targets(0, [Target('vm-2', '127.0.0.1:81', 4), *TARGETS])
        entry = Entry()
        entry.send_request('a')
        entry.request_report(5)
        slot_request = SlotRequest(
            'a', 'booking', 'portal', 'visit', entry='e-1'
        )
        grants = [queue.request_slot(0, slot_request)[0].message]
        slot_request = SlotRequest(
            'b', 'booking', 'portal', 'visit', entry='e-2'
        )
        grants.extend(
            row.message for row in queue.request_slot(0, slot_request)
        )
        report, returned = (
            row.message
            for row in entry.client.accept_grant(0, 'e-2', grants[0])
        )
        queue.report(0, report)
        queue.release(0, returned)
        assert queue.grants.get('a').message.target == 'vm-1'
        assert queue.pool.get('vm-1').used + queue.pool.get('vm-2').used == 2
        for queue_message in entry.client.release('a', RunOutcome.OK, 0.1):
            if isinstance(queue_message.message, ReleaseSlot):
                queue.release(1, queue_message.message)
        assert queue.pool.get('vm-1').used + queue.pool.get('vm-2').used == 1

    def test_a_request_survives_an_owner_that_takes_over_and_gives_up(self):
        # A daemon whose view lacks the owner e-2 for a moment takes over with
        # a higher epoch, so the entry returns the grant of e-2.
        queue = ServiceQueue('booking', 5)
        queue.set_targets(0, TARGETS)
        entry = Entry()
        entry.make_ready(5)
        request = entry.send_request('a')[0].message
        entry.request_report(9, owner='e-3')
        granted = queue.request_slot(0, request)[0].message
        for row in entry.client.accept_grant(0, 'e-2', granted):
            queue.release(0, row.message)
        reports = entry.request_report(5)
        answers = [row.message for row in queue.report(1, reports[0].message)]
        assert [row.slot_request_id for row in answers] == ['a']
        entry.client.accept_grant(1, 'e-2', answers[0])
        assert entry.take_granted() == ['a']
