"""Tests of the platform client against the VM list stand-in."""

import aiohttp
import pytest
from aiohttp import test_utils

from standins.vm_list import VmListServer
from standins.vm_platform import Platform
from verbenapost.protocol.errors import ErrorKind
from verbenapost.protocol.platform import ListedVmState, VmOperation
from verbenapost.transport.platformclient import HttpPlatformClient

VMS = (
    {'name': 'cs-1', 'address': '127.0.0.1:1', 'rack': 'r1'},
    {'name': 'cs-2', 'address': '127.0.0.1:2', 'rack': 'r2'},
)


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
async def environment():
    clock = Clock()
    platform = Platform(clock, seed=3)
    for row in VMS:
        platform.add(row)
    app = VmListServer(platform).build_app()
    async with (
        test_utils.TestServer(app) as server,
        aiohttp.ClientSession() as session,
    ):
        yield (
            clock,
            platform,
            HttpPlatformClient(session, str(server.make_url(''))),
        )


async def list_names(client):
    return [vm.name for vm in (await client.list_vms()).unwrap()]


class TestList:
    async def test_list_lags_and_shows_states(self, environment):
        clock, platform, client = environment
        platform.change_faults({'lag': 5})
        clock.now += 10
        platform.set_list_state('cs-1', 'leaving')
        platform.set_list_state('cs-2', 'dead')
        assert await list_names(client) == ['cs-1', 'cs-2']
        clock.now += 5
        (entry,) = (await client.list_vms()).unwrap()
        assert (entry.name, entry.state) == ('cs-1', ListedVmState.LEAVING)

    async def test_duplicates_are_dropped_by_the_client(self, environment):
        _, platform, client = environment
        platform.change_faults({'duplicates': 1})
        assert len(platform.list_vms()) == 4
        assert await list_names(client) == ['cs-1', 'cs-2']

    async def test_list_with_gaps(self, environment):
        _, platform, client = environment
        platform.change_faults({'gaps': 1})
        assert await list_names(client) == []


class TestPoolInterface:
    async def test_drain_and_reboot(self, environment):
        clock, _, client = environment
        for _repeat in range(2):
            status = (await client.drain('cs-1', 1)).unwrap()
            assert status.operation is VmOperation.DRAINING
        refused = (await client.reboot('cs-1', 1, 'booking')).unwrap_err()
        assert refused.kind is ErrorKind.CONFLICT
        clock.now += 1
        for _repeat in range(2):
            status = (await client.reboot('cs-1', 1, 'booking')).unwrap()
            assert status.operation is VmOperation.REBOOTING
        clock.now += 1
        status = (await client.inspect('cs-1')).unwrap()
        assert status.operation is VmOperation.RUNNING
        assert (status.boot, status.pool) == (2, 'booking')

    async def test_delayed_call_is_refused_after_a_reboot(self, environment):
        _, platform, client = environment
        # The VM has rebooted since the caller read its boot count.
        platform.vms['cs-1'].boot = 2
        refused = (await client.drain('cs-1', 1)).unwrap_err()
        assert refused.kind is ErrorKind.CONFLICT

    async def test_failures(self, environment):
        _, platform, client = environment
        platform.set_list_state('cs-2', 'dead')
        missing = (await client.inspect('cs-2')).unwrap_err()
        assert missing.kind is ErrorKind.NOT_FOUND
        platform.change_faults({'refuse': 1})
        refused = (await client.drain('cs-1', 1)).unwrap_err()
        assert refused.kind is ErrorKind.STORE_UNAVAILABLE
        platform.change_faults({'refuse': 0, 'lose': 1})
        # The stand-in applies the call and loses only the answer.
        lost = (await client.drain('cs-1', 1)).unwrap_err()
        assert lost.kind is ErrorKind.STORE_UNKNOWN
        assert platform.inspect('cs-1').operation == 'draining'
