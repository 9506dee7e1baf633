"""Stateful property tests of membership in virtual time."""

import pytest
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from verbenapost.coordination.tests.membership_simulation import SET_KEY, Site
from verbenapost.coordination.transition import SetTransition
from verbenapost.state.members import unpack_set

NAMES = ('a', 'b', 'c', 'd', 'e')

#: Seconds after which an update has reached each connected member.
SETTLE_SECONDS = 15

#: Seconds after which each due change of the member set is committed.
COMPLETE_SECONDS = 90

names = strategies.sampled_from(NAMES)
groups = strategies.sets(names, max_size=4)


class MembershipMachine(RuleBasedStateMachine):
    """Applies faults in random order; checks invariants after each step."""

    @initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed):
        self.site = Site(NAMES, seed, loss=0.1)
        self.slots = 1
        self.site.apply(1)
        self.site.advance(10)

    @rule(seconds=strategies.integers(1, 12))
    def wait(self, seconds):
        self.site.advance(seconds)

    @rule(group=groups)
    def split(self, group):
        self.site.split(group)

    @rule(group=groups)
    def cut_from_store(self, group):
        self.site.storeless = set(group)
        self.site.change()

    @rule()
    def stop_store(self):
        self.site.storeless = set(NAMES)
        self.site.change()

    @rule(name=names)
    def pause(self, name):
        self._set(name, paused=True)

    @rule(name=names)
    def delay_write(self, name):
        self._set(name, delays_writes=True)

    @rule(name=names)
    def resume(self, name):
        self._set(name, paused=False, delays_writes=False)

    @rule(name=names)
    def restart(self, name):
        self.site.start(name)

    @precondition(lambda self: len(self.site.running) > 3)
    @rule(name=names)
    def kill(self, name):
        self.site.running.pop(name, None)
        self.site.change()

    @rule()
    def apply(self):
        self.slots += 1
        self.site.apply(self.slots)

    @rule()
    def settle(self):
        self._advance_without_loss(SETTLE_SECONDS)
        self.site.check_settled()

    @rule()
    def complete(self):
        self.site.split(())
        self.site.storeless = set()
        for name in NAMES:
            self._set(name, paused=False, delays_writes=False)
        self.site.list_vms(self.site.running)
        self._advance_without_loss(COMPLETE_SECONDS)
        self.site.list_vms(NAMES)
        self.site.check_settled()
        entry = self.site.core.get(SET_KEY, self.site.now)
        identities = {
            name: record.identity
            for name, record in unpack_set(entry.value).members.items()
        }
        assert identities == {
            name: process.record.identity
            for name, process in self.site.running.items()
        }

    def _set(self, name, **changes):
        process = self.site.running.get(name)
        if process is not None:
            for field, value in changes.items():
                setattr(process, field, value)
            self.site.change()

    def _advance_without_loss(self, seconds):
        loss, self.site.loss = self.site.loss, 0
        self.site.advance(seconds)
        self.site.loss = loss


def run_machine(examples):
    run_state_machine_as_test(
        MembershipMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=examples,
            stateful_step_count=14,
            phases=[Phase.generate],
            print_blob=False,
        ),
    )


class TestMembershipMachine:
    def test_invariants_hold(self):
        run_machine(15)

    def test_invariants_break_without_confirmations(self, monkeypatch):
        monkeypatch.setattr(SetTransition, 'list_blockers', lambda *args: ())
        with pytest.raises(AssertionError):
            run_machine(40)
