"""Tests of the shutdown of a daemon under load, over real processes."""

import asyncio
import signal
import time

import aiohttp

from examples.tests.test_site import run_local_site
from verbenapost.coordination.ownership import pick_owner

#: Number of callers, and durations of one run and of the load in seconds.
CALLERS = 12
RUN_SECONDS = 0.05
LOAD_SECONDS = 5.0

#: Longest pause of a caller in seconds; its connection is idle meanwhile.
PAUSE_SECONDS = 0.6

#: Seconds from SIGTERM to a request on a connection that was idle since;
#: the balancer grace of a local site is 1 s.
IDLE_SECONDS = 1.2


class Balancer:
    """Callers that respect readiness and ``Connection: close``."""

    def __init__(self, session, urls):
        self.ready = list(urls)
        self.outcomes = []
        self._session = session
        self._urls = urls

    async def watch(self):
        while True:
            self.ready = [url for url in self._urls if await self._probe(url)]
            await asyncio.sleep(0.1)

    async def call(self, number, end_time):
        headers = {'X-Run-Seconds': str(RUN_SECONDS)}
        pause = PAUSE_SECONDS * number / CALLERS
        while time.monotonic() < end_time:
            url = self.ready[number % len(self.ready)]
            self.outcomes.append(
                await self._send(f'{url}/booking/visits', headers)
            )
            await asyncio.sleep(pause)

    async def _probe(self, url):
        try:
            async with self._session.get(f'{url}/-/ready') as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def _send(self, url, headers):
        try:
            async with self._session.post(url, headers=headers) as answer:
                await answer.read()
                return answer.status
        except aiohttp.ClientError as error:
            return repr(error)


async def use_idle_connection(local, owner):
    url = f'{local.layout.find_url(owner)}/booking/visits'
    async with aiohttp.ClientSession() as session:
        async with session.post(url) as first:
            await first.read()
        local.processes.send_signal(owner, signal.SIGTERM)
        await asyncio.sleep(IDLE_SECONDS)
        async with session.post(url) as last:
            await last.read()
    return last.status, last.headers.get('Connection')


class TestShutdown:
    async def test_no_request_fails_while_the_queue_owner_shuts_down(
        self, tmp_path
    ):
        async with (
            run_local_site('caledon', tmp_path) as local,
            aiohttp.ClientSession() as session,
        ):
            entries = local.describe()['entries']
            names = [entry['name'] for entry in entries]
            owner = pick_owner('queue/booking', names)
            balancer = Balancer(session, [entry['url'] for entry in entries])
            watch = asyncio.create_task(balancer.watch())
            end_time = time.monotonic() + LOAD_SECONDS
            calls = [
                asyncio.create_task(balancer.call(number, end_time))
                for number in range(CALLERS)
            ]
            await asyncio.sleep(1)
            idle = await use_idle_connection(local, owner)
            await asyncio.gather(*calls)
            watch.cancel()
            status = await asyncio.to_thread(local.processes.wait, owner)
        assert set(balancer.outcomes) == {200}
        assert status == 0
        assert idle == (200, 'close')
