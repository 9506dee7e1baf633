"""Tests of the scheduling decisions of one service queue."""

import pytest

from verbenapost.coordination.queue import ServiceQueue
from verbenapost.coordination.targets import Target
from verbenapost.protocol.errors import ErrorKind
from verbenapost.protocol.slots import (
    GrantSlot,
    ReleaseSlot,
    ReportSlots,
    RequestReport,
    RunningGrant,
    SlotRequest,
    pack_slot_request,
)
from verbenapost.state.documents import Quota


def make_targets(count=2, slots=1):
    return [
        Target(f'vm-{index}', f'127.0.0.1:{8000 + index}', slots)
        for index in range(count)
    ]


def make_queue(count=2, slots=1, **options):
    queue = ServiceQueue('booking', **options)
    queue.set_targets(0, make_targets(count, slots))
    return queue


def make_slot_request(slot_request_id, team='portal', kind='visit', **options):
    options.setdefault('entry', 'e-1')
    return SlotRequest(slot_request_id, 'booking', team, kind, **options)


def release(queue, now, grant, outcome='ok', run_time=0.1):
    message = ReleaseSlot(grant.grant, grant.slot_request_id, outcome, run_time)
    return queue.release(now, message)


def get_messages(queue_messages):
    return [queue_message.message for queue_message in queue_messages]


def add_run_times(queue, kind, seconds, runs=10):
    """Record run times of a kind with the queue."""
    for _ in range(runs):
        queue.run_times.add(0, kind, seconds)


class TestAnswers:
    def test_a_free_slot_is_granted_at_once(self):
        queue_messages = make_queue().request_slot(0, make_slot_request('a'))
        assert [queue_message.to for queue_message in queue_messages] == ['e-1']
        assert isinstance(queue_messages[0].message, GrantSlot)

    def test_a_repeat_gets_the_same_grant(self):
        queue = make_queue()
        first = queue.request_slot(0, make_slot_request('a'))
        assert queue.request_slot(1, make_slot_request('a')) == first

    def test_a_repeat_after_the_release_gets_no_answer(self):
        queue = make_queue()
        grant = queue.request_slot(0, make_slot_request('a'))[0].message
        release(queue, 1, grant)
        assert queue.request_slot(2, make_slot_request('a')) == []

    def test_a_waiting_request_is_granted_on_release(self):
        queue = make_queue(1)
        grant = queue.request_slot(0, make_slot_request('a'))[0].message
        assert queue.request_slot(0, make_slot_request('b')) == []
        answers = get_messages(release(queue, 1, grant))
        assert [answer.slot_request_id for answer in answers] == ['b']

    def test_a_waiting_request_is_refused_at_its_deadline(self):
        queue = make_queue(1)
        queue.request_slot(0, make_slot_request('a'))
        queue.request_slot(0, make_slot_request('b', deadline_in=2))
        assert queue.tick(1.9) == []
        answer = queue.tick(2.1)[0].message
        assert answer.kind == ErrorKind.DEADLINE_EXCEEDED

    def test_without_targets_a_request_is_refused(self):
        answer = (
            make_queue(0).request_slot(0, make_slot_request('a'))[0].message
        )
        assert answer.kind == ErrorKind.NO_TARGET

    def test_an_expired_grant_frees_its_slot(self):
        queue = make_queue(1)
        queue.request_slot(0, make_slot_request('a', deadline_in=1))
        queue.request_slot(0, make_slot_request('b', deadline_in=9))
        assert queue.tick(1.2) == []
        assert queue.tick(1.6)[0].message.slot_request_id == 'b'

    def test_a_release_with_another_number_is_ignored(self):
        queue = make_queue(1)
        grant = queue.request_slot(0, make_slot_request('a'))[0].message
        queue.release(0, ReleaseSlot(grant.grant + 1, 'a', 'ok', 1))
        assert len(queue.grants) == 1


class TestCancel:
    def test_a_cancelled_request_is_not_granted(self):
        queue = make_queue(1)
        grant = queue.request_slot(0, make_slot_request('a'))[0].message
        queue.request_slot(0, make_slot_request('b'))
        queue.cancel(0, 'b')
        assert release(queue, 1, grant) == []

    def test_a_cancel_before_its_request_is_applied(self):
        queue = make_queue()
        queue.cancel(0, 'a')
        assert queue.request_slot(0, make_slot_request('a')) == []

    def test_a_cancel_that_arrives_after_the_grant_frees_the_slot(self):
        queue = make_queue(1)
        queue.request_slot(0, make_slot_request('a'))
        queue.request_slot(0, make_slot_request('b'))
        assert queue.cancel(1, 'a')[0].message.slot_request_id == 'b'

    def test_dead_entries_are_bounded(self):
        queue = make_queue(1)
        queue.request_slot(0, make_slot_request('a'))
        for number in range(5000):
            queue.request_slot(0, make_slot_request(f'b{number}'))
            queue.cancel(0, f'b{number}')
        share = queue.shares.get_share(('portal', 'visit'))
        assert share.entries <= 17


class TestOrder:
    def test_the_most_urgent_goes_first(self):
        queue = make_queue(1)
        grant = queue.request_slot(0, make_slot_request('a'))[0].message
        queue.request_slot(0, make_slot_request('late', urgency=7))
        queue.request_slot(0, make_slot_request('soon', urgency=0))
        assert release(queue, 1, grant)[0].message.slot_request_id == 'soon'

    def test_teams_share_a_full_service_by_weight(self):
        queue = make_queue(1)
        quotas = {'heavy': Quota(weight=3), 'light': Quota(weight=1)}
        queue.set_limits(0, {}, quotas)
        grant = queue.request_slot(0, make_slot_request('first', team='x'))[
            0
        ].message
        for number in range(60):
            queue.request_slot(
                0, make_slot_request(f'heavy-{number}', team='heavy')
            )
            queue.request_slot(
                0, make_slot_request(f'light-{number}', team='light')
            )
        grant_counts = {'heavy': 0, 'light': 0}
        for step in range(1, 41):
            grant = release(queue, step * 0.05, grant, run_time=0.05)
            grant = grant[0].message
            grant_counts[grant.slot_request_id.split('-')[0]] += 1
        assert grant_counts['heavy'] == pytest.approx(30, abs=2)

    def test_urgent_requests_do_not_starve_another_team(self):
        queue = make_queue(1)
        grant = queue.request_slot(0, make_slot_request('first', team='x'))[
            0
        ].message
        for number in range(100):
            queue.request_slot(
                0, make_slot_request(f'f{number}', team='flood', urgency=0)
            )
        queue.request_slot(
            0, make_slot_request('other', team='calm', urgency=7)
        )
        granted = []
        for step in range(1, 4):
            grant = release(queue, step * 0.05, grant)[0].message
            granted.append(grant.slot_request_id)
        assert 'other' in granted


class TestShedding:
    def test_a_wait_past_the_deadline_is_refused_early(self):
        queue = make_queue(1)
        add_run_times(queue, 'visit', 1)
        queue.request_slot(0, make_slot_request('a'))
        answers = [
            queue.request_slot(
                0, make_slot_request(f'b{number}', deadline_in=5)
            )
            for number in range(20)
        ]
        refused = [row[0].message for row in answers if row]
        assert {row.kind for row in refused} == {ErrorKind.OVERLOADED}
        assert 4 <= queue.waiting <= 10
        assert queue.waiting == 20 - len(refused)

    def test_a_full_queue_sheds_the_flooding_team(self):
        queue = make_queue(1, max_waiting=10)
        queue.request_slot(0, make_slot_request('a'))
        queue.request_slot(0, make_slot_request('calm', team='calm', urgency=7))
        refusals = []
        for number in range(20):
            slot_request = make_slot_request(
                f'f{number}', team='flood', urgency=number % 8
            )
            refusals.extend(get_messages(queue.request_slot(0, slot_request)))
        assert queue.waiting == 10
        assert all(row.slot_request_id.startswith('f') for row in refusals)
        assert refusals[0].slot_request_id == 'f7'

    def test_a_hard_quota_refuses_and_a_soft_one_counts(self):
        queue = make_queue(1, 8)
        limits = Quota(rate=1, burst=1), Quota(rate=1, burst=1, soft=True)
        queue.set_limits(0, {}, {'hard': limits[0], 'soft': limits[1]})
        for team in ('hard', 'soft'):
            queue.request_slot(0, make_slot_request(f'{team}-1', team=team))
        refused = queue.request_slot(
            0, make_slot_request('hard-2', team='hard')
        )[0].message
        granted = queue.request_slot(
            0, make_slot_request('soft-2', team='soft')
        )[0].message
        assert refused.kind == ErrorKind.QUOTA_EXCEEDED
        assert isinstance(granted, GrantSlot)
        assert queue.quotas.would_refuse['soft'] == 1


class TestTargets:
    def test_a_leaving_target_gets_no_new_runs(self):
        queue = make_queue(1, 2)
        queue.request_slot(0, make_slot_request('a'))
        queue.mark_leaving(0, 'vm-0')
        queue.set_targets(0, make_targets(1, 2))
        answer = queue.request_slot(0, make_slot_request('b'))[0].message
        assert answer.kind == ErrorKind.NO_TARGET

    def test_a_returned_target_gets_runs(self):
        queue = make_queue(1)
        queue.mark_leaving(0, 'vm-0')
        queue.set_targets(0, [Target('vm-0', '127.0.0.1:1', 1, generation=1)])
        answer = queue.request_slot(0, make_slot_request('b'))[0].message
        assert isinstance(answer, GrantSlot)

    def test_a_target_to_avoid_is_skipped(self):
        queue = make_queue(2)
        for number in range(2):
            slot_request = make_slot_request(f'a{number}', avoid=('vm-0',))
            answers = queue.request_slot(0, slot_request)
            names = [row.target for row in get_messages(answers)]
            assert names == ['vm-1'][number:]

    def test_slots_are_reserved_for_short_work(self):
        queue = make_queue(2, 8)
        add_run_times(queue, 'counter', 0.02)
        add_run_times(queue, 'ledger', 2)
        for number in range(3):
            queue.request_slot(
                0, make_slot_request(f'c{number}', kind='counter')
            )
        queue.tick(0.3)
        for number in range(40):
            queue.request_slot(
                0.3, make_slot_request(f'l{number}', kind='ledger')
            )
        answer = queue.request_slot(0.4, make_slot_request('c', kind='counter'))
        assert isinstance(answer[0].message, GrantSlot)


class TestRebuild:
    def test_no_grants_before_each_member_has_reported(self):
        queue = make_queue(1, epoch=2)
        requests = queue.start(0, ['e-1', 'e-2'])
        assert get_messages(requests) == [RequestReport('booking', 2)] * 2
        assert queue.request_slot(0, make_slot_request('a')) == []
        assert queue.report(0, ReportSlots('e-1', 2)) == []
        answers = queue.report(0, ReportSlots('e-2', 2))
        assert answers[0].message.slot_request_id == 'a'

    def test_reported_grants_occupy_their_slots(self):
        queue = make_queue(1, epoch=2)
        queue.start(0, ['e-1'])
        row = RunningGrant(9, 'old', 'vm-0', 'portal', 'visit', 0.5)
        waiting = (pack_slot_request(make_slot_request('a')),)
        assert not queue.report(0, ReportSlots('e-1', 2, (row,), waiting))
        answers = queue.release(1, ReleaseSlot(9, 'old', 'ok', 1.5))
        assert answers[0].message.slot_request_id == 'a'

    def test_a_dead_member_is_not_waited_for(self):
        queue = make_queue(1, epoch=2)
        queue.start(0, ['e-1', 'e-2'])
        queue.request_slot(0, make_slot_request('a'))
        queue.report(0, ReportSlots('e-1', 2))
        assert queue.set_members(1, ['e-1'])[0].message.slot_request_id == 'a'

    def test_a_silent_member_is_not_waited_for_after_the_expiry(self):
        queue = make_queue(1, epoch=2)
        queue.start(0, ['e-1'])
        queue.request_slot(0, make_slot_request('a', deadline_in=60))
        assert get_messages(queue.tick(29)) == [RequestReport('booking', 2)]
        assert queue.tick(31)[0].message.slot_request_id == 'a'

    def test_reports_keep_long_grants_from_expiring(self):
        queue = make_queue(1)
        grant = queue.request_slot(0, make_slot_request('a', deadline_in=90))[
            0
        ].message
        row = RunningGrant(grant.grant, 'a', 'vm-0', 'portal', 'visit', 20)
        queue.report(20, ReportSlots('e-1', 0, (row,)))
        queue.tick(45)
        assert len(queue.grants) == 1

    def test_a_grant_missing_in_reports_is_freed(self):
        queue = make_queue(1)
        queue.request_slot(0, make_slot_request('a'))
        queue.report(1, ReportSlots('e-1', 0))
        assert len(queue.grants) == 1
        queue.report(3, ReportSlots('e-1', 0))
        assert not len(queue.grants)

    def test_a_report_for_another_owner_is_ignored(self):
        queue = make_queue(1, epoch=2)
        waiting = (pack_slot_request(make_slot_request('a')),)
        assert queue.report(0, ReportSlots('e-1', 1, (), waiting)) == []
        assert not len(queue.grants)
