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

from verbenapost.coordination.tests.membership_simulation import (
    SET_KEY,
    Simulation,
)
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
        self.simulation = Simulation(NAMES, seed, loss=0.1)
        self.slots = 1
        self.simulation.apply(1)
        self.simulation.advance(10)

    @rule(seconds=strategies.integers(1, 12))
    def wait(self, seconds):
        self.simulation.advance(seconds)

    @rule(group=groups)
    def split(self, group):
        self.simulation.split(group)

    @rule(group=groups)
    def cut_from_store(self, group):
        self.simulation.storeless = set(group)
        self.simulation.change()

    @rule()
    def stop_store(self):
        self.simulation.storeless = set(NAMES)
        self.simulation.change()

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
        self.simulation.start(name)

    @precondition(lambda self: len(self.simulation.running) > 3)
    @rule(name=names)
    def kill(self, name):
        self.simulation.running.pop(name, None)
        self.simulation.change()

    @rule()
    def apply(self):
        self.slots += 1
        self.simulation.apply(self.slots)

    @rule()
    def settle(self):
        self._advance_without_loss(SETTLE_SECONDS)
        self.simulation.check_settled()

    @rule()
    def complete(self):
        self.simulation.split(())
        self.simulation.storeless = set()
        for name in NAMES:
            self._set(name, paused=False, delays_writes=False)
        self.simulation.list_vms(self.simulation.running)
        self._advance_without_loss(COMPLETE_SECONDS)
        self.simulation.list_vms(NAMES)
        self.simulation.check_settled()
        entry = self.simulation.core.get(SET_KEY, self.simulation.now)
        identities = {
            name: record.identity
            for name, record in unpack_set(entry.value).members.items()
        }
        assert identities == {
            name: process.record.identity
            for name, process in self.simulation.running.items()
        }

    def _set(self, name, **changes):
        process = self.simulation.running.get(name)
        if process is not None:
            for field, value in changes.items():
                setattr(process, field, value)
            self.simulation.change()

    def _advance_without_loss(self, seconds):
        loss, self.simulation.loss = self.simulation.loss, 0
        self.simulation.advance(seconds)
        self.simulation.loss = loss


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
