"""Checks of the at-most-once rules on histories of concurrent owners."""

import pytest
from result import Err

from verbenapost.coordination.claims.owner import ClaimOwner
from verbenapost.coordination.claims.tests.histories import (
    History,
    check_history,
    run_history,
)
from verbenapost.protocol.claims import ClaimGranted
from verbenapost.protocol.errors import ErrorKind, Outcome
from verbenapost.state.claims import pack_slot

SEEDS = range(12)


class UnfencedOwner(ClaimOwner):
    """Owner that overwrites records of other owners in the next slot."""

    async def _settle(self, write):
        outcome = await super()._settle(write)
        while isinstance(outcome, Err):
            if outcome.err_value.kind is not ErrorKind.CONFLICT:
                return outcome
            key = self._arbiter.ring.next_key
            reading = await self._ports.store.get(key)
            if isinstance(reading, Err):
                return reading
            entry = reading.ok_value
            if entry is None:
                return outcome
            outcome = await self._ports.store.swap(
                key, entry.revision, pack_slot(write.record)
            )
        return outcome


class EarlyGrantOwner(ClaimOwner):
    """Owner that grants claims before the outcome of the write is known."""

    async def _write(self, write):
        attempts = [
            attempt for attempt in write.list_open() if attempt.deadline
        ]
        for attempt in attempts:
            self._arbiter._backlog.in_flight.answered.add(attempt.key)
            claim = attempt.claim_request
            self._ports.post(
                attempt.sender,
                ClaimGranted(claim.key, claim.attempt),
            )
        await super()._write(write)


class TestHistories:
    @pytest.mark.parametrize('seed', SEEDS)
    def test_at_most_once_rules_hold(self, seed):
        simulation = run_history(seed)
        assert not check_history(simulation.history)
        assert simulation.history.runs

    @pytest.mark.parametrize('seed', range(4))
    def test_every_key_is_granted_without_faults(self, seed):
        simulation = run_history(seed, kinds=(), slots=4000)
        keys = {request.key for request in simulation.history.requests}
        assert not check_history(simulation.history)
        assert simulation.history.granted == keys


class TestTheChecker:
    """The checker must find violations when a protection is removed."""

    def run_until_fault(self, owner_type):
        for seed in SEEDS:
            history = run_history(seed, owner_type).history
            faults = check_history(history)
            if faults:
                return faults
        return []

    def test_the_swap_on_the_known_revision_is_needed(self):
        faults = self.run_until_fault(UnfencedOwner)
        assert any('ran twice' in fault for fault in faults)

    def test_the_write_before_the_grant_is_needed(self):
        faults = self.run_until_fault(EarlyGrantOwner)
        assert any('ran twice' in fault for fault in faults)

    def test_constructed_histories(self):
        history = History()
        first = history.add('k')
        second = history.add('k')
        history.run(first)
        assert not check_history(history)
        first.outcome = Outcome.NOT_RUN
        assert 'after not_run' in check_history(history)[0]
        first.outcome = None
        second.answer = b'k 1'
        assert 'wrong answer' in check_history(history)[0]
        history.run(second)
        assert 'ran twice' in check_history(history)[0]
