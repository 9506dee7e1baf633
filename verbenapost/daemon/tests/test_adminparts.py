"""Tests of the administration's parts over a store in memory."""

import pytest
from result import Err, Ok

from standins.core import StoreCore
from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.pools.budget_store import BudgetStore
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.records import VmRecords
from verbenapost.coordination.pools.swap import MarkedWriter
from verbenapost.coordination.tests.sites import (
    PLATFORM,
    make_service,
    make_team,
    publish,
)
from verbenapost.daemon.configurationadmin import ConfigurationAdmin
from verbenapost.daemon.fleetadmin import FleetAdmin, FleetViews
from verbenapost.daemon.waveadmin import WaveAdmin
from verbenapost.protocol.admin import (
    VmAction,
    VmRequest,
    WaveAction,
    WaveRequest,
)
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.vms import VmRecord, VmState

NOW = 10_000_000.0
DAY = 86_400


class Parts:
    """The parts of one daemon, with four VMs and one service."""

    def __init__(self):
        self.core = StoreCore()
        self.service, self.store = make_service(self.core, lambda: 0.0)
        self.writer = MarkedWriter(self.store, 'a')
        self.directory = VmDirectory(self.store)
        self.requests = []
        self.behind = [['d-2'], []]

    def list_behind(self, revision):
        return self.behind.pop(0) if len(self.behind) > 1 else self.behind[0]

    async def change_vm(self, request):
        self.requests.append(request)
        return Err(Failure(ErrorKind.CONFLICT, 'max_planned is reached'))

    async def prepare(self):
        await publish(self.service, 'platform', PLATFORM)
        await publish(self.service, 'shop', make_team(slots=9))
        records = VmRecords(self.writer)
        states = (VmState.IN_SERVICE, VmState.IN_SERVICE, VmState.FAILED)
        for number, state in enumerate(states):
            vm = VmRecord(
                f'vm-{number}',
                f'127.0.0.1:{number}',
                'counter',
                state,
                rack=f'r{number}',
                maintained_at=NOW - number * DAY,
            )
            assert isinstance(await records.create(vm), Ok)
        await self.service.load()
        await self.directory.load()

    def make_policy(self):
        view = self.service.view
        services = {name: row.spec for name, row in view.services.items()}
        return FleetPolicy(view.pools, services)

    def make_configuration_admin(self):
        return ConfigurationAdmin(self.service, self.store, self.list_behind)

    def make_fleet_admin(self):
        views = FleetViews(
            self.directory,
            lambda: self.service.view,
            lambda service: 'd-1',
            lambda service: 4,
        )
        return FleetAdmin(views, BudgetStore(self.writer), self.change_vm)

    def make_wave_admin(self):
        return WaveAdmin(self.writer, self.make_policy, lambda: NOW)


@pytest.fixture
async def parts():
    made = Parts()
    await made.prepare()
    return made


class TestConfigurationAdmin:
    async def test_documents_are_as_written(self, parts):
        admin = parts.make_configuration_admin()
        status = (await admin.load_document('shop')).unwrap()
        assert status.document == make_team(slots=9)
        assert status.revision == parts.service.view.revisions['shop']
        assert (await admin.load_document('none')).unwrap().revision == 0
        assert [row.team for row in admin.list_teams()] == [
            'shop',
            'platform',
        ]
        assert len((await admin.load_history('shop')).unwrap()) == 1

    @pytest.mark.parametrize('team', ['shop', 'platform'])
    async def test_own_copy_while_the_store_is_down(self, parts, team):
        admin = parts.make_configuration_admin()
        before = (await admin.load_document(team)).unwrap()
        parts.store.faults.refuse = 1.0
        assert (await admin.load_document(team)).unwrap() == before
        failure = (await admin.load_document('none')).unwrap_err()
        assert failure.kind is ErrorKind.STORE_UNAVAILABLE

    async def test_wait_ends_when_all_have_applied(self, parts):
        admin = parts.make_configuration_admin()
        assert await admin.wait_for_members(7, 60) == []

    async def test_members_behind_are_named(self, parts):
        parts.behind = [['d-2']]
        admin = parts.make_configuration_admin()
        assert await admin.wait_for_members(7, 0.01) == ['d-2']


class TestFleetAdmin:
    async def test_lists(self, parts):
        admin = parts.make_fleet_admin()
        assert len((await admin.list_vms()).unwrap()) == 3
        pool = (await admin.list_pools()).unwrap()[1]
        assert (pool.name, pool.need, pool.in_service) == ('counter', 6, 2)
        assert (pool.failed, pool.leaving) == (1, 0)
        service = (await admin.list_services()).unwrap()[0]
        assert (service.targets, service.slots) == (2, 18)
        assert (service.owner, service.waiting) == ('d-1', 4)
        budget = (await admin.list_budgets()).unwrap()[0]
        assert (budget.healthy, budget.unplanned) == (2, 1)
        assert (budget.planned, budget.team) == (0, 'shop')

    async def test_changes_are_passed_on(self, parts):
        admin = parts.make_fleet_admin()
        request = VmRequest(VmAction.MOVE, 'vm-0', 'ledger', 'hot', 'kim')
        refusal = (await admin.change_vm(request)).unwrap_err()
        assert refusal.detail == 'max_planned is reached'
        assert parts.requests == [request]

    async def test_store_is_down(self, parts):
        admin = parts.make_fleet_admin()
        parts.store.faults.refuse = 1.0
        answer = await admin.list_budgets()
        assert answer.unwrap_err().kind is ErrorKind.STORE_UNAVAILABLE


class TestWaveAdmin:
    async def change(self, parts, action, days=0.5):
        request = WaveRequest(action, 'w1', days, 'spring', 'kim')
        return (await parts.make_wave_admin().change_wave(request)).unwrap()

    async def test_life_of_a_wave(self, parts):
        before = (await parts.make_wave_admin().read_wave()).unwrap()
        assert before.state == 'none'
        started = await self.change(parts, WaveAction.START)
        assert (started.name, started.state) == ('w1', 'running')
        assert (started.total, started.done) == (3, 1)
        assert started.reason == 'kim: spring'
        assert started.waiting['vm-2'] == 'counter-orders: it is failed'
        assert started.binding.startswith('counter: counter-orders: ')
        paused = await self.change(parts, WaveAction.PAUSE)
        assert paused.state == 'paused'
        assert paused.waiting['vm-1'] == 'stopped'
        resumed = await self.change(parts, WaveAction.RESUME)
        assert resumed.state == 'running'
        ended = await self.change(parts, WaveAction.STOP)
        assert (ended.name, ended.state) == ('', 'none')
        assert not ended.waiting

    async def test_wave_without_due_vms_is_done(self, parts):
        status = await self.change(parts, WaveAction.START, days=30)
        assert status.state == 'done'

    async def test_late_vms_are_named(self, parts):
        status = await self.change(parts, WaveAction.START)
        assert status.full_round_seconds == 900
        assert status.late == []

    async def test_store_is_down(self, parts):
        parts.store.faults.refuse = 1.0
        answer = await parts.make_wave_admin().read_wave()
        assert answer.unwrap_err().kind is ErrorKind.STORE_UNAVAILABLE
