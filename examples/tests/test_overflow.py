"""Tests of requests that borrow spare slots, over real processes."""

import asyncio
import collections

import aiohttp

from examples.tests.test_site import run_local_site

#: Number of concurrent requests; the service has 48 slots of its own.
FLOOD_REQUESTS = 110

#: Duration of one run in seconds.
RUN_SECONDS = 0.4


async def call(session, url):
    headers = {'X-Run-Seconds': str(RUN_SECONDS), 'X-Request-Timeout': '10'}
    async with session.post(url, headers=headers) as answer:
        fields = await answer.json()
    return fields.get('service') if answer.status == 200 else answer.status


async def call_many(session, url, count):
    return await asyncio.gather(*(call(session, url) for _ in range(count)))


class TestOverflow:
    async def test_a_flood_runs_on_idle_slots_of_the_spare_pool(self, tmp_path):
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            run_local_site('caledon', tmp_path) as local,
            aiohttp.ClientSession(connector=connector) as session,
        ):
            url = local.describe()['entries'][0]['url']
            booking = f'{url}/booking/visits'
            spare = f'{url}/administration/notes'
            flood = asyncio.create_task(
                call_many(session, booking, FLOOD_REQUESTS)
            )
            await asyncio.sleep(RUN_SECONDS)
            spare_services = await call_many(session, spare, 6)
            service_counts = collections.Counter(await flood)
        assert set(spare_services) == {'administration'}
        assert (
            service_counts['booking'] + service_counts['administration']
            == FLOOD_REQUESTS
        )
        assert service_counts['administration'] > 0
