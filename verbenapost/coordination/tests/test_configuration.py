"""Tests of the configuration service with one or more daemons."""

import pytest
from result import Err

from standins.storecore import StoreCore
from standins.virtualtime import run_virtual
from verbenapost.coordination.rights import OperatorToken, Rights
from verbenapost.coordination.tests.configuration_helpers import (
    PLATFORM,
    make_service,
    make_team,
    publish,
)
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.membership import ViewOffer


def run_service(scenario):
    """Run a scenario against a service with a platform document."""

    async def start(now):
        service, store = make_service(StoreCore(), now)
        await publish(service, 'platform', PLATFORM)
        await service.load()
        return await scenario(service, store)

    return run_virtual(start)


class TestApply:
    def test_a_change_is_in_force_after_a_watch(self):
        async def scenario(service, store):
            applied = (await publish(service, 'shop', make_team())).unwrap()
            views = []
            service.subscribe(views.append)
            await service.follow(wait=0)
            return applied, service.view, views

        applied, view, views = run_service(scenario)
        assert view.revisions['shop'] == applied.revision <= view.revision
        assert view.services['counter-orders'].team == 'shop'
        assert views == [view]

    def test_a_change_holds_its_audit_entry(self):
        async def scenario(service, store):
            first = (await publish(service, 'shop', make_team())).unwrap()
            await publish(service, 'shop', make_team(slots=4))
            return first, (await service.load_history('shop')).unwrap()

        first, history = run_service(scenario)
        assert [entry.number for entry in history] == [1, 2]
        assert history[1].revision_before == first.revision
        assert [change.path for change in history[1].changes] == [
            '/services/counter-orders/slots'
        ]

    def test_an_outdated_expected_revision_is_refused(self):
        async def scenario(service, store):
            applied = (await publish(service, 'shop', make_team())).unwrap()
            second = make_team(slots=4)
            before = applied.revision
            won = await publish(service, 'shop', second, before)
            lost = await publish(service, 'shop', make_team(), before)
            return won, lost

        won, lost = run_service(scenario)
        assert won.is_ok()
        assert lost.err().kind is ErrorKind.CONFLICT

    def test_a_read_role_does_not_allow_a_change(self):
        rights = Rights('lan', (OperatorToken('lan', '', '/teams/shop'),))

        async def scenario(service, store):
            return await publish(service, 'shop', make_team(), rights=rights)

        assert run_service(scenario).err().kind is ErrorKind.FORBIDDEN

    def test_two_teams_can_not_define_the_same_service(self):
        async def scenario(service, store):
            await publish(service, 'works', make_team())
            return await publish(service, 'shop', make_team())

        refusal = run_service(scenario).err()
        assert refusal.kind is ErrorKind.INVALID
        assert '/teams/shop/services/counter-orders' in refusal.detail

    def test_a_used_pool_can_not_be_removed(self):
        async def scenario(service, store):
            await publish(service, 'shop', make_team())
            return await publish(service, 'platform', {'pools': {}})

        refusal = run_service(scenario).err()
        assert 'services/counter-orders/pool' in refusal.detail

    def test_an_abandoned_proposal_expires(self):
        async def scenario(now):
            core = StoreCore()
            service, _ = make_service(core, now)
            await publish(service, 'platform', PLATFORM)
            other, store = make_service(core, now, 'b')
            store.swap = _fail_later_swaps(store.swap)
            left = await publish(other, 'works', make_team())
            soon = await publish(service, 'shop', make_team())
            later, _ = make_service(core, lambda: now() + 60, 'c')
            return left, soon, await publish(later, 'shop', make_team())

        left, soon, later = run_virtual(scenario)
        assert left.err().kind is ErrorKind.STORE_UNAVAILABLE
        assert soon.err().kind is ErrorKind.CONFLICT
        assert later.is_ok()


def _fail_later_swaps(swap):
    calls = []

    async def swap_first(key, expected, value, lease=''):
        calls.append(key)
        if len(calls) == 1:
            return await swap(key, expected, value, lease)
        return await _refuse()

    return swap_first


async def _refuse():
    return Err(Failure(ErrorKind.STORE_UNAVAILABLE))


class TestValidation:
    @pytest.mark.parametrize(
        ('fields', 'path'),
        [
            ({'pool': 'tacks'}, 'pool'),
            ({'budget': {'min_healthy': 7}}, 'budget/min_healthy'),
            ({'overflow': 'tacks'}, 'overflow'),
            ({'overflow': 'ledger'}, 'overflow'),
            ({'pool': 'clerical', 'overflow': 'clerical'}, 'overflow'),
            ({'routes': [{'method': 'get'}]}, 'routes/0/method'),
            ({'routes': [{'path': 'x'}]}, 'routes/0/path'),
            ({'weights': {'bulk': 2}}, 'weights'),
            ({'slots': 0}, 'slots'),
        ],
    )
    def test_a_refusal_contains_the_path(self, fields, path):
        async def scenario(service, store):
            before = store.core.revision
            answer = await publish(service, 'shop', make_team(**fields))
            return answer, store.core.revision - before

        answer, writes = run_service(scenario)
        assert answer.err().kind is ErrorKind.INVALID
        assert f'/teams/shop/services/counter-orders/{path}' in (
            answer.err().detail
        )
        assert writes == 0

    def test_quotas_of_other_teams_services_are_refused(self):
        document = {**make_team(), 'quotas': {'*': {'tacks': {'rate': 1}}}}

        async def scenario(service, store):
            return await publish(service, 'shop', document)

        assert '/teams/shop/quotas/*' in run_service(scenario).err().detail


class TestFollow:
    def test_a_truncated_watch_falls_back_to_a_listing(self):
        async def scenario(service, store):
            applied = (await publish(service, 'shop', make_team())).unwrap()
            store.core.truncate_history()
            return applied, await service.follow(wait=0), service.view

        applied, answer, view = run_service(scenario)
        assert answer.ok() is True
        assert view.revisions['shop'] == applied.revision

    def test_a_stale_listing_does_not_confirm_the_view(self):
        async def scenario(service, store):
            await publish(service, 'shop', make_team())
            await service.load()
            before = service.view
            store.faults.stale = 1
            return before, await service.load(), service.view

        before, answer, after = run_service(scenario)
        assert answer.err().kind is ErrorKind.STORE_UNAVAILABLE
        assert after == before

    def test_an_unreadable_document_keeps_the_last_readable_one(self):
        async def scenario(service, store):
            applied = (await publish(service, 'shop', make_team())).unwrap()
            await service.load()
            newer = applied.revision + 1
            row = ('config/shop', b'{"document": {"new": 1}}', newer)
            service.adopt_offer(ViewOffer(newer, (row,)))
            return applied, service

        applied, service = run_service(scenario)
        assert service.unreadable == ('shop',)
        assert 'counter-orders' in service.view.services
        assert service.view.revision == applied.revision

    def test_an_old_offer_does_not_revert_the_view(self):
        async def scenario(service, store):
            await publish(service, 'shop', make_team())
            await service.load()
            old = service.offer_after(0)
            await publish(service, 'shop', make_team(slots=2))
            await service.load()
            return service.adopt_offer(old), service.view.teams

        adopted, teams = run_service(scenario)
        assert not adopted
        assert teams['shop'].services['counter-orders'].slots == 2

    def test_an_offer_brings_a_new_member_up_to_date(self):
        async def scenario(service, store):
            await publish(service, 'shop', make_team())
            await service.load()
            other, _ = make_service(StoreCore(), lambda: 0, 'b')
            other.adopt_offer(service.offer_after(other.newest))
            return service, other

        service, other = run_service(scenario)
        assert other.view == service.view
        assert other.applied == service.newest
