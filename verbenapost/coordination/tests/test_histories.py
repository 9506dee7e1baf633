"""Histories of concurrent operators, and tests of the history checker."""

import asyncio
import random

import pytest

from standins.storecore import StoreCore
from standins.virtualtime import run_virtual
from verbenapost.coordination import changes, conflicts, publication
from verbenapost.coordination.tests.configuration_helpers import (
    PLATFORM,
    make_service,
    make_team,
    publish,
)
from verbenapost.coordination.tests.histories import (
    Attempt,
    History,
    check_history,
    record_writes,
)
from verbenapost.protocol.errors import ErrorKind
from verbenapost.state.audit import AuditEntry
from verbenapost.state.configuration import (
    ConfigurationRecord,
    ConfigurationView,
)

TEAMS = ('shop', 'works')

FAULTS = {
    'latency': 0.002,
    'jitter': 0.02,
    'refuse': 0.05,
    'hang': 0.03,
    'hang_seconds': 30,
    'lose_answer': 0.08,
    'stale': 0.1,
}


async def _apply_changes(service, rng, attempts, count):
    for _ in range(count):
        await asyncio.sleep(rng.random())
        team = rng.choice(TEAMS)
        name = rng.choice(('counter', 'pricing', f'own-{team}'))
        document = make_team(name, slots=len(attempts) + 1)
        expected = rng.choice((None, service.view.revisions.get(team, 0)))
        position = len(attempts)
        attempts.append(None)
        answer = await publish(service, team, document, expected)
        failure = answer.err().kind if answer.is_err() else None
        revision = answer.ok().revision if answer.is_ok() else None
        attempts[position] = Attempt(
            team, document, expected, revision, failure
        )


async def _follow(service):
    while True:
        answer = await service.follow(wait=1)
        if answer.is_err():
            await asyncio.sleep(0.1)


async def _run_operators(now, seed, operators=4, count=12):
    core = StoreCore()
    first, _ = make_service(core, now)
    writes = record_writes(core)
    await publish(first, 'platform', PLATFORM)
    rng = random.Random(seed)
    attempts = []
    views = {}
    services = []
    for number in range(operators):
        name = f'daemon-{number}'
        service, _ = make_service(
            core, now, name, seed * 31 + number, kept=4, **FAULTS
        )
        views[name] = []
        service.subscribe(views[name].append)
        services.append(service)
    followers = [
        asyncio.create_task(_follow(daemon_service))
        for daemon_service in services
    ]
    await asyncio.gather(
        *(
            _apply_changes(daemon_service, rng, attempts, count)
            for daemon_service in services
        )
    )
    await asyncio.sleep(60)
    for task in followers:
        task.cancel()
    audits = {
        team: (await first.load_history(team)).unwrap()
        for team in (*TEAMS, 'platform')
    }
    return History(writes, attempts, audits, views)


def find_final_revisions(history):
    """Return the last revision of each document that was put in force."""
    return {
        team: revision
        for revision, team, record in history.writes
        if record.document is not None and not record.since
    }


def has_name_clash(seeds):
    """Return whether two teams define the same service in any history."""
    return any(
        'shares a name' in line
        for seed in seeds
        for line in check_history(run_operators(seed))
    )


def run_operators(seed):
    return run_virtual(lambda now: _run_operators(now, seed))


class TestConcurrentOperators:
    @pytest.mark.parametrize('seed', range(12))
    def test_histories_keep_the_guarantees(self, seed):
        history = run_operators(seed)
        assert check_history(history) == []
        final = find_final_revisions(history)
        for views in history.views.values():
            assert dict(views[-1].revisions) == final

    def test_all_outcomes_occur(self):
        outcomes = set()
        archived = 0
        for seed in range(6):
            history = run_operators(seed)
            outcomes |= {attempt.failure for attempt in history.attempts}
            archived += sum(len(rows) > 4 for rows in history.audits.values())
        assert {None, ErrorKind.CONFLICT, ErrorKind.INVALID} <= outcomes
        assert ErrorKind.STORE_UNAVAILABLE in outcomes
        assert archived > 3

    def test_without_proposals_names_clash(self, monkeypatch):
        monkeypatch.setattr(
            publication, 'affects_others', lambda before, after: False
        )
        assert has_name_clash(range(24))

    def test_without_conflict_detection_names_clash(self, monkeypatch):
        monkeypatch.setattr(
            conflicts.StoredConfiguration, 'find_conflicts', lambda *args: ()
        )
        assert has_name_clash(range(24))


def _entry(number, before, writer='a:1'):
    return AuditEntry(number, 'kim', 'because', 0, before, writer)


def _record(document, *entries, since=0):
    return ConfigurationRecord(document, entries, 'a:1', None, since)


ONE = make_team(slots=1)
TWO = make_team(slots=2)
FIRST = (5, 'shop', _record(ONE, _entry(1, 0)))
SECOND = (6, 'shop', _record(TWO, _entry(1, 0), _entry(2, 5)))
AUDIT = {'shop': (_entry(1, 0), _entry(2, 5))}


def _check(writes=(FIRST, SECOND), attempts=(), audits=AUDIT, views=()):
    return check_history(
        History(list(writes), list(attempts), audits, {'a': list(views)})
    )


class TestChecker:
    def test_a_valid_history_passes(self):
        attempts = [
            Attempt('shop', ONE, None, 5),
            Attempt('shop', TWO, 5, 6),
            Attempt('shop', {}, 5, None, ErrorKind.CONFLICT),
        ]
        views = [
            ConfigurationView(5, revisions={'shop': 5}),
            ConfigurationView(6, revisions={'shop': 6}),
        ]
        assert _check(attempts=attempts, views=views) == []

    def test_a_reverted_document_is_found(self):
        back = (7, 'shop', _record(ONE, *AUDIT['shop'], since=6))
        assert 'without an audit entry' in _check([FIRST, SECOND, back])[0]

    def test_a_lost_entry_is_found(self):
        assert _check(audits={'shop': (_entry(2, 5),)})

    @pytest.mark.parametrize(
        'attempt',
        [
            Attempt('shop', {}, None, 7),
            Attempt('shop', TWO, None, 5),
            Attempt('shop', TWO, 4, 6),
            Attempt('shop', TWO, 5, None, ErrorKind.CONFLICT),
            Attempt('shop', TWO, 5, None, ErrorKind.STORE_UNAVAILABLE),
        ],
    )
    def test_wrong_outcomes_are_found(self, attempt):
        assert len(_check(attempts=[attempt])) == 1

    @pytest.mark.parametrize('revisions', [(6, 5), (4,)])
    def test_invalid_views_are_found(self, revisions):
        views = [
            ConfigurationView(9, revisions={'shop': revision})
            for revision in revisions
        ]
        assert len(_check(views=views)) == 1

    def test_a_vanished_document_is_found(self):
        views = [
            ConfigurationView(9, revisions={'shop': 6}),
            ConfigurationView(9),
        ]
        assert len(_check(views=views)) == 1

    def test_a_name_clash_is_found(self):
        other = (7, 'works', _record(ONE, _entry(1, 0)))
        assert 'shares a name' in _check([FIRST, SECOND, other])[0]


class TestLimits:
    def test_a_large_document_is_refused(self):
        async def scenario(now):
            service, _ = make_service(StoreCore(), now)
            document = {'x': 'y' * changes.MAX_DOCUMENT_BYTES}
            return await publish(service, 'shop', document)

        assert run_virtual(scenario).err().kind is ErrorKind.TOO_LARGE
