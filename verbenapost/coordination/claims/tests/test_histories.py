"""Tests of at-most-once by checking histories of concurrent runs."""

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
    """Owner that overwrites what another owner put into the next slot."""

    async def _settle(self, write):
        outcome = await super()._settle(write)
        while isinstance(outcome, Err):
            if outcome.err_value.kind is not ErrorKind.CONFLICT:
                return outcome
            key = self._desk.ring.next_key
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


class HastyOwner(ClaimOwner):
    """Owner that grants before its write is decided."""

    async def _write(self, write):
        replies = [attempt for attempt in write.list_open() if attempt.deadline]
        for attempt in replies:
            self._desk._backlog.flight.answered.add(attempt.key)
            granted = attempt.asked
            self._ports.post(
                attempt.sender, ClaimGranted(granted.key, granted.attempt)
            )
        await super()._write(write)


class TestHistories:
    @pytest.mark.parametrize('seed', SEEDS)
    def test_no_promise_is_broken(self, seed):
        site = run_history(seed)
        assert not check_history(site.history)
        assert site.history.runs

    def test_callers_get_answers_without_faults(self):
        site = run_history(1, kinds=(), slots=4000)
        keys = {request.key for request in site.history.requests}
        assert not check_history(site.history)
        assert site.history.granted == keys


class TestTheChecker:
    """Each protection that is taken away must show in some history."""

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
        faults = self.run_until_fault(HastyOwner)
        assert any('ran twice' in fault for fault in faults)

    def test_made_up_histories(self):
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
