"""Tests of random histories with competing owners and faults."""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.virtualtime import run_virtual
from verbenapost.coordination.jobs import transitions
from verbenapost.coordination.jobs.tests.site import (
    POOL,
    JobSite,
    find_faults,
    find_record_faults,
    make_job,
)
from verbenapost.state.jobs import JobState

#: Seconds of a history with faults, and of the time without faults after it.
FAULTY_SECONDS = 60
QUIET_SECONDS = 300

ACTIONS = (
    'submit',
    'cancel',
    'fail',
    'swap_owner',
    'both_own',
    'pause',
    'cut',
    'mend',
    'lose_answers',
    'hang',
)


class History:
    """Random actions on two members, either or both of which own the pool."""

    def __init__(self, site, seed):
        self.site = site
        self.rng = random.Random(seed)
        self.members = [site.make_member('m1'), site.make_member('m2')]
        self.accepted = []
        self.pending = []

    async def run(self, actions):
        self.members[0].own()
        for action in ('submit', *actions):
            getattr(self, action)()
            await asyncio.sleep(self.rng.random() * 10)
        self._clear_faults()
        await asyncio.sleep(QUIET_SECONDS)
        for task in self.pending:
            outcome = await task
            if outcome.is_ok():
                self.accepted.append(outcome.unwrap().record.job)
        return find_faults(self.site, self.accepted)

    def submit(self):
        member = self.rng.choice(self.members)
        for _ in range(self.rng.randint(1, 8)):
            record = make_job(
                urgency=self.rng.randint(0, 7),
                team=self.rng.choice('abc'),
                seconds=self.rng.choice((1, 5, 30)),
                path=self.rng.choice(('/', '/', '/', '/fail')),
            )
            submission = member.record_store.submit(record)
            self.pending.append(asyncio.create_task(submission))

    def cancel(self):
        jobs = sorted(self.site.read_jobs())
        member = self.rng.choice(self.members)
        for job in jobs[: self.rng.randint(0, 3)]:
            transition = transitions.make_cancel('me', self.site.now())
            change = member.record_store.change(POOL, job, transition)
            task = asyncio.create_task(change)
            task.add_done_callback(lambda done: done.result())

    def fail(self):
        runner = self.rng.choice(list(self.site.runners.values()))
        runner.fail_all = not runner.fail_all

    def swap_owner(self):
        first, second = self.members
        if first._owning is None:
            first, second = second, first
        first.disown()
        if second._owning is None:
            second.own()

    def both_own(self):
        for member in self.members:
            if member._owning is None:
                member.own()

    def pause(self):
        """Hide store changes from an owner, as a paused process would."""
        member = self.rng.choice(self.members)
        if member.owner is not None:
            member.owner._feed._last_revision = 10**9

    def cut(self):
        self.site.cut.add(self.rng.choice(list(self.site.runners)))

    def mend(self):
        self.site.cut.clear()

    def lose_answers(self):
        member = self.rng.choice(self.members)
        member.store.faults.lose_answer = 0.3
        member.tasks.lose = 0.3

    def hang(self):
        member = self.rng.choice(self.members)
        member.store.faults.hang = 0.2
        member.store.faults.hang_seconds = 20

    def _clear_faults(self):
        self.site.cut.clear()
        for runner in self.site.runners.values():
            runner.fail_all = False
        for member in self.members:
            member.disown()
            member.store.faults.lose_answer = 0
            member.store.faults.hang = 0
            member.tasks.lose = 0
        self.members[1].own()


def run_history(seed, actions):
    async def scenario(now):
        history = History(JobSite(now, seed), seed)
        faults = await history.run(actions)
        for member in history.members:
            await member.close()
        return faults

    return run_virtual(scenario)


class TestHistories:
    @settings(derandomize=True, deadline=None, max_examples=12)
    @given(
        seed=st.integers(0, 2**32),
        actions=st.lists(st.sampled_from(ACTIONS), min_size=4, max_size=10),
    )
    def test_each_accepted_job_ends_exactly_once(self, seed, actions):
        assert not run_history(seed, actions)


class TestChecker:
    @pytest.mark.parametrize(
        ('states', 'attempts', 'fault'),
        [
            (('queued', 'running'), (0, 1), 'is running'),
            (('running', 'done', 'queued'), (1, 1, 1), 'after its end'),
            (('running', 'queued', 'done'), (1, 1, 1), 'replaced attempt'),
            (('running', 'running', 'done'), (2, 1, 1), 'went back'),
        ],
    )
    def test_each_rule_detects_its_violation(self, states, attempts, fault):
        rows = [
            make_job(job='j', state=JobState(state), attempt=attempt)
            for state, attempt in zip(states, attempts, strict=True)
        ]
        assert any(fault in found for found in find_record_faults('j', rows))

    def test_without_fencing_a_history_is_bad(self, monkeypatch):
        def skip_check(record, attempt):
            return True

        monkeypatch.setattr(transitions, 'is_current', skip_check)
        found = [
            run_history(seed, ('cut', 'both_own', 'submit', 'pause', 'mend'))
            for seed in range(6)
        ]
        assert any(found)
