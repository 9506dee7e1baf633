"""Tests of membership in virtual time."""

import pytest

from verbenapost.coordination import register
from verbenapost.coordination.ages import NEVER
from verbenapost.coordination.contacts import SentCounters
from verbenapost.coordination.quorum import Status
from verbenapost.coordination.tests.membership_simulation import (
    SET_KEY,
    TIMING,
    Site,
)
from verbenapost.coordination.transition import SetTransition
from verbenapost.state.members import MemberSet, unpack_set

FIVE = ('a', 'b', 'c', 'd', 'e')


def make_site(names=FIVE):
    site = Site(names)
    site.apply(1)
    site.advance(20)
    return site


def read_set(site):
    return unpack_set(site.core.get(SET_KEY, site.now).value)


def list_statuses(site, names):
    return {site.running[n].member.find_status(site.now) for n in names}


class TestJoining:
    def test_all_processes_join_and_become_fresh(self):
        site = make_site()
        assert set(read_set(site).members) == set(FIVE)
        site.check_settled()


class TestOutage:
    def test_members_continue_without_the_store(self):
        site = make_site()
        site.storeless = set(FIVE)
        site.advance(60)
        assert list_statuses(site, FIVE) == {Status.OUTAGE}

    def test_members_of_a_large_region_reach_each_other(self):
        names = tuple(f'member-{number}' for number in range(130))
        site = Site(names)
        records = {n: one.record for n, one in site.running.items()}
        for process in site.running.values():
            process.member.register.adopt(1, MemberSet(records), site.now)
        site.storeless = set(names)
        site.advance(11)
        counts = [
            len(process.member.list_live(site.now))
            for process in site.running.values()
        ]
        assert min(counts) == 130

    def test_a_minority_is_isolated(self):
        site = make_site()
        site.storeless = {'a', 'b'}
        site.split({'a', 'b'})
        site.advance(TIMING.view_timeout + 1)
        assert list_statuses(site, 'ab') == {Status.ISOLATED}
        assert list_statuses(site, 'cde') == {Status.FRESH}

    def test_a_member_without_the_store_is_fresh_through_peers(self):
        site = make_site()
        site.storeless = {'a'}
        site.advance(20)
        site.apply(2)
        site.advance(TIMING.view_timeout)
        site.check_settled()

    def test_all_processes_can_restart_during_an_outage(self):
        site = make_site()
        site.storeless = set(FIVE)
        newest = site.running['a'].views.newest
        for name in FIVE:
            site.start(name)
            site.advance(15)
        assert list_statuses(site, FIVE) == {Status.OUTAGE}
        assert {one.views.newest for one in site.running.values()} == {newest}
        site.storeless = set()
        site.change()
        site.advance(40)
        identities = {
            name: record.identity
            for name, record in read_set(site).members.items()
        }
        assert identities == {
            name: one.record.identity for name, one in site.running.items()
        }

    def test_a_dead_majority_is_not_counted_once_its_vms_are_deleted(self):
        site = make_site()
        site.storeless = set(FIVE)
        for name in 'abc':
            site.running.pop(name)
        site.advance(20)
        assert list_statuses(site, 'de') == {Status.ISOLATED}
        for name in 'de':
            site.running[name].member.register.set_deleted({'a', 'b', 'c'})
        site.advance(1)
        assert list_statuses(site, 'de') == {Status.OUTAGE}

    def test_a_paused_member_is_isolated_on_resume(self):
        site = make_site()
        process = site.running['a']
        process.paused = True
        site.advance(60)
        assert not process.member.takes_work(site.now)


class TestLateMessages:
    def replay_to_partitioned_member(self):
        """Replay 40 old messages to a partitioned member over 40 seconds."""
        site = make_site()
        process = site.running['a']
        kept = []
        receive = process.member.receive
        process.member.receive = lambda now, message: (
            kept.append(message) or receive(now, message)
        )
        site.advance(20)
        site.storeless = {'a'}
        site.split({'a'})
        for message in kept[-40:]:
            site.advance(1)
            receive(site.now, message)
        return process.member.find_status(site.now)

    def test_old_messages_do_not_count_as_contact(self):
        assert self.replay_to_partitioned_member() is Status.ISOLATED

    def test_old_messages_count_if_dated_by_arrival(self, monkeypatch):
        monkeypatch.setattr(
            SentCounters,
            'find',
            lambda self, counter: max(self._times.values(), default=NEVER),
        )
        with pytest.raises(AssertionError, match='accepts work'):
            self.replay_to_partitioned_member()


class TestRemoval:
    def partition_majority(self):
        site = make_site()
        site.storeless = {'a', 'b', 'c'}
        site.split({'a', 'b', 'c'})
        site.advance(120)
        return site

    def test_an_expired_lease_does_not_remove_a_member(self):
        site = self.partition_majority()
        assert set(read_set(site).members) == set(FIVE)
        assert list_statuses(site, 'abc') == {Status.OUTAGE}

    def test_a_waiting_change_lists_its_blockers(self):
        site = self.partition_majority()
        known = site.running['d'].member.register
        assert known.list_blockers(site.now, {}) == ('a', 'b', 'c')

    def test_an_operator_can_remove_a_member(self):
        site = self.partition_majority()
        known = site.running['d'].member.register
        write = known.plan_forget('a')
        assert set(write.member_set.members) == set(FIVE) - {'a'}
        assert known.plan_forget('x') is None

    def test_a_dead_minority_is_removed(self):
        site = make_site()
        site.running.pop('a')
        site.advance(90)
        assert set(read_set(site).members) == set(FIVE) - {'a'}

    def test_without_confirmations_a_partitioned_majority_is_removed(
        self,
        monkeypatch,
    ):
        monkeypatch.setattr(SetTransition, 'list_blockers', lambda *args: ())
        with pytest.raises(AssertionError, match='no majority knew'):
            self.partition_majority()

    def join_during_partition(self):
        """Let a member join just after a partition, and return the site.

        Members ``a`` and ``b`` are cut off from the store and the others.
        """
        site = Site((*FIVE, 'f'))
        site.running.pop('f')
        site.advance(20)
        site.storeless = set(FIVE)
        site.advance(10)
        site.storeless = {'a', 'b'}
        site.split({'a', 'b'})
        site.start('f')
        site.advance(60)
        return site

    def test_a_change_waits_until_unreachable_members_have_stopped(self):
        site = self.join_during_partition()
        assert 'f' in read_set(site).members

    def test_without_the_wait_an_earlier_majority_continues(self, monkeypatch):
        monkeypatch.setattr(register, 'SILENCE_FACTOR', 0)
        with pytest.raises(AssertionError, match='earlier majority'):
            self.join_during_partition()

    def test_joins_during_a_partition_do_not_replace_a_majority(self):
        site = Site(tuple('abcde'))
        for name in 'cde':
            site.running.pop(name)
        site.start('c')
        site.advance(20)
        site.storeless = {'a', 'b'}
        site.split({'a', 'b'})
        site.start('d')
        site.start('e')
        site.advance(60)
        assert set(read_set(site).members) == {'a', 'b', 'c'}
        assert list_statuses(site, 'ab') == {Status.OUTAGE}
