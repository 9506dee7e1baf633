"""Tests of the membership over real processes."""

import asyncio
import contextlib
import dataclasses
import json
import signal
import time

import aiohttp
import pytest

from examples.layout import make_settings
from examples.operatorclient import OperatorClient, OperatorError
from examples.ports import find_free_ports
from examples.site import LocalSite
from examples.sites import CALEDON

#: Longest wait for an expected state in seconds.
WAIT_SECONDS = 40.0

NEW_DAEMON = 'entry-7'

#: Seconds after which the view timeout is surely over.
STALE_SECONDS = 3.1


class MemberSite:
    """A local site with the calls of these tests."""

    def __init__(self, session, local):
        self.session = session
        self.local = local
        self.processes = local.processes

    def operator(self, name):
        return OperatorClient(self.session, self.local.layout.find_url(name))

    async def read_members(self, name):
        answer = await self.operator(name).get('members')
        return {row['name']: row['state'] for row in answer['items']}

    async def find_live(self, name):
        members = await self.read_members(name)
        return {name for name, state in members.items() if state == 'live'}

    async def find_duties(self, name):
        status = await self.operator(name).get('status')
        return set(status['duties'])

    async def read_reason(self, name):
        status = await self.operator(name).get('status')
        return status['reason']

    async def set_store_faults(self, **faults):
        url = f'{self.local.layout.store_url}/-/faults'
        async with self.session.post(url, json=faults) as answer:
            assert answer.status < 300

    async def send(self, name, service='weighing'):
        status, _ = await self.ask(name, service)
        return status

    async def ask(self, name, service='weighing'):
        """Send a request and return the status and the body of the answer."""
        url = f'{self.local.layout.find_url(name)}/{service}/things'
        async with self.session.post(url, data=b'1') as answer:
            return answer.status, await answer.text()

    async def find_refusals(self, names):
        """Send a request to each daemon and return the refusals, with reasons.

        :returns: answers and states of the daemons, by their names.
        """
        refusals = {}
        for name in names:
            status, text = await self.ask(name)
            if status != 200:
                state = await self.operator(name).get('status')
                refusals[name] = (status, text, state)
        return refusals

    def add_daemon(self, seeds):
        """Add a seventh daemon, whose settings name only some seed members."""
        layout = self.local.layout
        http_port, peer_port = find_free_ports(2)
        layout.http_ports[NEW_DAEMON] = http_port
        layout.data_centres[NEW_DAEMON] = layout.data_centres['entry-1']
        ports = {**layout.peer_ports, NEW_DAEMON: peer_port}
        known = {name: ports[name] for name in (*seeds, NEW_DAEMON)}
        new_layout = dataclasses.replace(layout, peer_ports=known)
        path = self.local._folder / f'{NEW_DAEMON}.json'
        path.write_text(json.dumps(make_settings(new_layout, NEW_DAEMON)))
        self.local._settings[NEW_DAEMON] = path

    async def kill(self, name):
        self.processes.send_signal(name, signal.SIGKILL)
        await asyncio.to_thread(self.processes.wait, name)


async def wait_until(query, expected=None):
    """Wait until a query returns the expected value, or any true one."""
    deadline = time.monotonic() + WAIT_SECONDS
    latest = None
    while time.monotonic() < deadline:
        with contextlib.suppress(OperatorError, aiohttp.ClientError, OSError):
            latest = await query()
            if latest if expected is None else latest == expected:
                return latest
        await asyncio.sleep(0.05)
    pytest.fail(f'still {latest}')


@contextlib.asynccontextmanager
async def run_site(folder):
    local = LocalSite(CALEDON, folder)
    try:
        await local.start()
        async with aiohttp.ClientSession() as session:
            yield MemberSite(session, local)
    finally:
        local.stop()


class TestMembership:
    async def test_a_join_a_kill_and_a_forget(self, tmp_path):
        async with run_site(tmp_path) as site:
            initial = set(site.local.layout.http_ports)
            for name in sorted(initial):
                await wait_until(
                    lambda name=name: site.find_live(name), initial
                )
            # The settings of the new daemon name one seed member; no other
            # settings name the new daemon.
            site.add_daemon(['entry-2'])
            site.local.start_daemon(NEW_DAEMON)
            for name in sorted(initial | {NEW_DAEMON}):
                await wait_until(
                    lambda name=name: site.find_live(name),
                    initial | {NEW_DAEMON},
                )
            await site.local.wait_ready(NEW_DAEMON)
            assert await site.send(NEW_DAEMON) == 200
            duties = {name: await site.find_duties(name) for name in initial}
            victim = max(initial, key=lambda name: len(duties[name]))
            await site.kill(victim)
            remaining = (initial | {NEW_DAEMON}) - {victim}
            for name in sorted(remaining):
                await wait_until(
                    lambda name=name: site.find_live(name), remaining
                )

            async def holds_all_duties():
                found = [await site.find_duties(name) for name in remaining]
                return set().union(*found) >= duties[victim]

            await wait_until(holds_all_duties)
            assert {await site.send(name) for name in remaining} == {200}
            observer = min(remaining)
            with pytest.raises(OperatorError, match='alive'):
                await forget(site, observer, max(remaining))
            await forget(site, observer, victim)
            for name in sorted(remaining):

                async def list_known(name=name):
                    return set(await site.read_members(name))

                await wait_until(list_known, remaining)

    async def test_daemons_serve_and_restart_in_a_store_outage(self, tmp_path):
        async with run_site(tmp_path) as site:
            names = sorted(site.local.layout.http_ports)
            for name in names:
                await wait_until(
                    lambda name=name: site.find_live(name), {*names}
                )
            before = await read_state(site, names[0])
            await site.set_store_faults(refuse=1)
            for name in names:

                async def is_stale(name=name):
                    status = await site.operator(name).get('status')
                    return status['freshness_age'] > STALE_SECONDS

                await wait_until(is_stale)
                assert await site.send(name) == 200
            assert await site.read_reason(names[0]) == ''
            for name in names:
                await site.kill(name)
                site.local.start_daemon(name)
                await site.local.wait_ready(name)
                assert await site.send(name) == 200
                assert await read_state(site, name) == before
            for name in names:
                await wait_until(
                    lambda name=name: site.find_live(name), {*names}
                )
                assert await read_state(site, name) == before
            await site.set_store_faults(refuse=0)
            for name in names:

                async def is_fresh(name=name):
                    status = await site.operator(name).get('status')
                    return status['freshness_age'] < 2

                await wait_until(is_fresh)
            assert {await site.send(name) for name in names} == {200}

    async def test_frozen_and_isolated(self, tmp_path):
        async with run_site(tmp_path) as site:
            names = sorted(site.local.layout.http_ports)
            for name in names:
                await wait_until(
                    lambda name=name: site.find_live(name), {*names}
                )
            frozen, remaining = names[-1], {*names[:-1]}
            site.processes.send_signal(frozen, signal.SIGSTOP)
            for name in sorted(remaining):
                await wait_until(
                    lambda name=name: site.find_live(name), remaining
                )

            async def has_lease_expired():
                body = {'key': f'alive/{frozen}'}
                url = f'{site.local.layout.store_url}/v1/get'
                async with site.session.post(url, json=body) as answer:
                    return '"revision"' not in await answer.text()

            await wait_until(has_lease_expired)
            operator = site.operator(names[0])
            document = (await operator.get('config/caledon'))['document']
            slots = document['services']['weighing']['slots'] - 1
            document['services']['weighing']['slots'] = slots
            await operator.apply('caledon', document, 'while-one-is-frozen')
            changed = await read_state(site, names[0])
            site.processes.send_signal(frozen, signal.SIGCONT)
            # Requests in the sockets of a frozen daemon are refused or served,
            # never lost.
            assert await site.send(frozen) in {200, 503}
            for name in names:
                await wait_until(
                    lambda name=name: site.find_live(name), {*names}
                )
                await wait_until(
                    lambda name=name: read_state(site, name),
                    changed,
                )
            await site.local.wait_ready(frozen)
            isolated = names[0]
            await site.set_store_faults(refuse=1)
            for name in names[1:]:
                site.processes.send_signal(name, signal.SIGSTOP)

            async def is_isolated():
                return 'Neither' in await site.read_reason(isolated)

            await wait_until(is_isolated)
            assert await site.send(isolated) == 503
            for name in names[1:]:
                site.processes.send_signal(name, signal.SIGCONT)
            await site.local.wait_ready(*names)
            # What a daemon has heard before it was frozen counts until the view
            # timeout is over. It may then take no work until it has heard of a
            # majority again.
            assert {await site.send(name) for name in names} <= {200, 503}
            await asyncio.sleep(STALE_SECONDS)
            await site.local.wait_ready(*names)
            refusals = await site.find_refusals(names)
            assert refusals == {}, json.dumps(refusals)


async def forget(site, observer, name):
    await site.operator(observer).post(f'members/{name}/forget', {})


async def read_state(site, name):
    """Return the configuration and pools that a daemon has in force."""
    operator = site.operator(name)
    teams = (await operator.get('teams'))['items']
    services = (await operator.get('services'))['items']
    vms = (await operator.get('vms'))['items']
    return (
        {row['team']: row['revision'] for row in teams},
        {row['name']: (row['pool'], row['slots']) for row in services},
        {row['name']: (row['pool'], row['state']) for row in vms},
    )
