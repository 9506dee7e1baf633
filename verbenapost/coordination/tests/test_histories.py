"""Histories of racing operators, and tests of their checker."""

import asyncio
import random

import pytest

from standins.core import StoreCore
from standins.virtual import run_virtual
from verbenapost.coordination import changes, conflicts, publication
from verbenapost.coordination.tests.histories import (
    Attempt,
    History,
    check_history,
    record_writes,
)
from verbenapost.coordination.tests.sites import (
    PLATFORM,
    make_service,
    make_team,
    publish,
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


async def _operate(service, chance, attempts, count):
    for _ in range(count):
        await asyncio.sleep(chance.random())
        team = chance.choice(TEAMS)
        name = chance.choice(('counter', 'pricing', f'own-{team}'))
        document = make_team(name, slots=len(attempts) + 1)
        expected = chance.choice((None, service.view.revisions.get(team, 0)))
        place = len(attempts)
        attempts.append(None)
        answer = await publish(service, team, document, expected)
        failure = answer.err().kind if answer.is_err() else None
        revision = answer.ok().revision if answer.is_ok() else None
        attempts[place] = Attempt(team, document, expected, revision, failure)


async def _follow(service):
    while True:
        answer = await service.follow(wait=1)
        if answer.is_err():
            await asyncio.sleep(0.1)


async def _race(now, seed, operators=4, count=12):
    core = StoreCore()
    first, _ = make_service(core, now)
    writes = record_writes(core)
    await publish(first, 'platform', PLATFORM)
    chance = random.Random(seed)
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
    following = [asyncio.create_task(_follow(one)) for one in services]
    await asyncio.gather(
        *(_operate(one, chance, attempts, count) for one in services)
    )
    await asyncio.sleep(60)
    for task in following:
        task.cancel()
    audits = {
        team: (await first.load_history(team)).unwrap()
        for team in (*TEAMS, 'platform')
    }
    return History(writes, attempts, audits, views)


def find_final(history):
    """Return the last accepted revision of each document."""
    return {
        team: revision
        for revision, team, record in history.writes
        if record.document is not None and not record.since
    }


def find_clash(seeds):
    """Tell whether two teams took one name in some history."""
    return any(
        'shares a name' in line
        for seed in seeds
        for line in check_history(race(seed))
    )


def race(seed):
    return run_virtual(lambda now: _race(now, seed))


class TestRacingOperators:
    @pytest.mark.parametrize('seed', range(12))
    def test_histories_keep_the_promises(self, seed):
        history = race(seed)
        assert check_history(history) == []
        final = find_final(history)
        for views in history.views.values():
            assert dict(views[-1].revisions) == final

    def test_changes_of_every_outcome_occur(self):
        outcomes = set()
        archived = 0
        for seed in range(6):
            history = race(seed)
            outcomes |= {attempt.failure for attempt in history.attempts}
            archived += sum(len(rows) > 4 for rows in history.audits.values())
        assert {None, ErrorKind.CONFLICT, ErrorKind.INVALID} <= outcomes
        assert ErrorKind.STORE_UNAVAILABLE in outcomes
        assert archived > 3

    def test_names_clash_without_proposals(self, monkeypatch):
        monkeypatch.setattr(
            publication, 'touches_others', lambda before, after: False
        )
        assert find_clash(range(24))

    def test_names_clash_when_no_proposal_gives_way(self, monkeypatch):
        monkeypatch.setattr(
            conflicts.Neighbours, 'find_opponents', lambda *args: ()
        )
        assert find_clash(range(24))


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
    def test_a_good_history_passes(self):
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
    def test_false_answers_are_found(self, attempt):
        assert len(_check(attempts=[attempt])) == 1

    @pytest.mark.parametrize('revisions', [(6, 5), (4,)])
    def test_bad_views_are_found(self, revisions):
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

    def test_a_shared_name_is_found(self):
        other = (7, 'works', _record(ONE, _entry(1, 0)))
        assert 'shares a name' in _check([FIRST, SECOND, other])[0]


class TestLimits:
    def test_a_large_document_is_refused(self):
        async def scenario(now):
            service, _ = make_service(StoreCore(), now)
            document = {'x': 'y' * changes.MAX_DOCUMENT_BYTES}
            return await publish(service, 'shop', document)

        assert run_virtual(scenario).err().kind is ErrorKind.TOO_LARGE
