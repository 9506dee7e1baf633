"""Tests of membership in virtual time."""

import pytest

from verbenapost.coordination import register
from verbenapost.coordination.contactages import NEVER
from verbenapost.coordination.contacts import SentCounters
from verbenapost.coordination.quorum import Status
from verbenapost.coordination.tests.membership_simulation import (
    SET_KEY,
    TIMING,
    Simulation,
)
from verbenapost.coordination.transition import SetTransition
from verbenapost.state.members import MemberSet, unpack_set

FIVE = ('a', 'b', 'c', 'd', 'e')


def make_simulation(names=FIVE):
    simulation = Simulation(names)
    simulation.apply(1)
    simulation.advance(20)
    return simulation


def read_set(simulation):
    return unpack_set(simulation.core.get(SET_KEY, simulation.now).value)


def list_statuses(simulation, names):
    return {
        simulation.running[n].member.find_status(simulation.now) for n in names
    }


class TestJoining:
    def test_all_processes_join_and_become_fresh(self):
        simulation = make_simulation()
        assert set(read_set(simulation).members) == set(FIVE)
        simulation.check_settled()


class TestOutage:
    def test_members_continue_without_the_store(self):
        simulation = make_simulation()
        simulation.storeless = set(FIVE)
        simulation.advance(60)
        assert list_statuses(simulation, FIVE) == {Status.OUTAGE}

    def test_members_of_a_large_region_reach_each_other(self):
        names = tuple(f'member-{number}' for number in range(130))
        simulation = Simulation(names)
        records = {
            member_name: running_process.record
            for member_name, running_process in simulation.running.items()
        }
        for process in simulation.running.values():
            process.member.register.adopt(1, MemberSet(records), simulation.now)
        simulation.storeless = set(names)
        simulation.advance(11)
        counts = [
            len(process.member.list_live(simulation.now))
            for process in simulation.running.values()
        ]
        assert min(counts) == 130

    def test_a_minority_is_isolated(self):
        simulation = make_simulation()
        simulation.storeless = {'a', 'b'}
        simulation.split({'a', 'b'})
        simulation.advance(TIMING.view_timeout + 1)
        assert list_statuses(simulation, 'ab') == {Status.ISOLATED}
        assert list_statuses(simulation, 'cde') == {Status.FRESH}

    def test_a_member_without_the_store_is_fresh_through_peers(self):
        simulation = make_simulation()
        simulation.storeless = {'a'}
        simulation.advance(20)
        simulation.apply(2)
        simulation.advance(TIMING.view_timeout)
        simulation.check_settled()

    def test_all_processes_can_restart_during_an_outage(self):
        simulation = make_simulation()
        simulation.storeless = set(FIVE)
        newest = simulation.running['a'].views.newest
        for name in FIVE:
            simulation.start(name)
            simulation.advance(15)
        assert list_statuses(simulation, FIVE) == {Status.OUTAGE}
        assert {
            running_process.views.newest
            for running_process in simulation.running.values()
        } == {newest}
        simulation.storeless = set()
        simulation.change()
        simulation.advance(40)
        identities = {
            name: record.identity
            for name, record in read_set(simulation).members.items()
        }
        assert identities == {
            name: running_process.record.identity
            for name, running_process in simulation.running.items()
        }

    def test_a_dead_majority_is_not_counted_once_its_vms_are_deleted(self):
        simulation = make_simulation()
        simulation.storeless = set(FIVE)
        for name in 'abc':
            simulation.running.pop(name)
        simulation.advance(20)
        assert list_statuses(simulation, 'de') == {Status.ISOLATED}
        for name in 'de':
            simulation.running[name].member.register.set_deleted(
                {'a', 'b', 'c'}
            )
        simulation.advance(1)
        assert list_statuses(simulation, 'de') == {Status.OUTAGE}

    def test_a_paused_member_is_isolated_on_resume(self):
        simulation = make_simulation()
        process = simulation.running['a']
        process.paused = True
        simulation.advance(60)
        assert not process.member.accepts_work(simulation.now)


class TestLateMessages:
    def replay_to_partitioned_member(self):
        """Replay 40 old messages to a partitioned member over 40 seconds."""
        simulation = make_simulation()
        process = simulation.running['a']
        kept = []
        receive = process.member.receive
        process.member.receive = lambda now, message: (
            kept.append(message) or receive(now, message)
        )
        simulation.advance(20)
        simulation.storeless = {'a'}
        simulation.split({'a'})
        for message in kept[-40:]:
            simulation.advance(1)
            receive(simulation.now, message)
        return process.member.find_status(simulation.now)

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
        simulation = make_simulation()
        simulation.storeless = {'a', 'b', 'c'}
        simulation.split({'a', 'b', 'c'})
        simulation.advance(120)
        return simulation

    def test_an_expired_lease_does_not_remove_a_member(self):
        simulation = self.partition_majority()
        assert set(read_set(simulation).members) == set(FIVE)
        assert list_statuses(simulation, 'abc') == {Status.OUTAGE}

    def test_a_waiting_change_lists_its_blockers(self):
        simulation = self.partition_majority()
        member_register = simulation.running['d'].member.register
        assert member_register.list_blockers(simulation.now, {}) == (
            'a',
            'b',
            'c',
        )

    def test_an_operator_can_remove_a_member(self):
        simulation = self.partition_majority()
        member_register = simulation.running['d'].member.register
        write = member_register.plan_forget('a')
        assert set(write.member_set.members) == set(FIVE) - {'a'}
        assert member_register.plan_forget('x') is None

    def test_a_dead_minority_is_removed(self):
        simulation = make_simulation()
        simulation.running.pop('a')
        simulation.advance(90)
        assert set(read_set(simulation).members) == set(FIVE) - {'a'}

    def test_without_confirmations_a_partitioned_majority_is_removed(
        self,
        monkeypatch,
    ):
        monkeypatch.setattr(SetTransition, 'list_blockers', lambda *args: ())
        with pytest.raises(AssertionError, match='no majority knew'):
            self.partition_majority()

    def join_during_partition(self):
        """Let a member join just after a partition, and return the simulation.

        Members ``a`` and ``b`` are cut off from the store and the others.
        """
        simulation = Simulation((*FIVE, 'f'))
        simulation.running.pop('f')
        simulation.advance(20)
        simulation.storeless = set(FIVE)
        simulation.advance(10)
        simulation.storeless = {'a', 'b'}
        simulation.split({'a', 'b'})
        simulation.start('f')
        simulation.advance(60)
        return simulation

    def test_a_change_waits_until_unreachable_members_have_stopped(self):
        simulation = self.join_during_partition()
        assert 'f' in read_set(simulation).members

    def test_without_the_wait_an_earlier_majority_continues(self, monkeypatch):
        monkeypatch.setattr(register, 'SILENCE_FACTOR', 0)
        with pytest.raises(AssertionError, match='earlier majority'):
            self.join_during_partition()

    def test_joins_during_a_partition_do_not_replace_a_majority(self):
        simulation = Simulation(tuple('abcde'))
        for name in 'cde':
            simulation.running.pop(name)
        simulation.start('c')
        simulation.advance(20)
        simulation.storeless = {'a', 'b'}
        simulation.split({'a', 'b'})
        simulation.start('d')
        simulation.start('e')
        simulation.advance(60)
        assert set(read_set(simulation).members) == {'a', 'b', 'c'}
        assert list_statuses(simulation, 'ab') == {Status.OUTAGE}
