"""Tests of requests through a whole site of real processes."""

import contextlib

import aiohttp
import pytest
import uuid_utils

from examples.site import LocalSite
from examples.sites import SITES


@contextlib.asynccontextmanager
async def run_local_site(name, folder):
    local = LocalSite(SITES[name], folder)
    try:
        await local.start()
        yield local
    finally:
        local.stop()


class TestLocalSite:
    @pytest.mark.parametrize('name', sorted(SITES))
    async def test_every_daemon_serves_every_service(self, name, tmp_path):
        async with (
            run_local_site(name, tmp_path) as local,
            aiohttp.ClientSession() as session,
        ):
            for entry in local.describe()['entries']:
                for service in local.layout.site.services:
                    url = f'{entry["url"]}/{service}/things?size=1'
                    async with session.post(url, data=b'abc') as answer:
                        fields = await answer.json()
                    assert fields['service'] == service
                    assert fields['received'] == 3

    async def test_a_repeated_key_runs_once_and_gets_the_same_answer(
        self, tmp_path
    ):
        async with (
            run_local_site('caledon', tmp_path) as local,
            aiohttp.ClientSession() as session,
        ):
            headers = {'Idempotency-Key': str(uuid_utils.uuid7())}
            answers = []
            for entry in local.describe()['entries']:
                url = f'{entry["url"]}/certification/certificates'
                async with session.post(url, headers=headers) as answer:
                    answers.append((answer.status, await answer.read()))
            runs = await count_runs(session, local, headers)
        assert {status for status, _ in answers} == {200}
        assert len({content for _, content in answers}) == 1
        assert runs == 1

    async def test_another_request_with_the_key_is_refused(self, tmp_path):
        async with (
            run_local_site('caledon', tmp_path) as local,
            aiohttp.ClientSession() as session,
        ):
            headers = {'Idempotency-Key': str(uuid_utils.uuid7())}
            base = local.describe()['entries'][0]['url']
            url = f'{base}/certification/certificates'
            first = await session.post(url, headers=headers, data=b'1')
            first.release()
            async with session.post(url, headers=headers, data=b'2') as second:
                problem = await second.json()
            runs = await count_runs(session, local, headers)
        assert problem['kind'] == 'key_reused'
        assert problem['outcome'] == 'not_run'
        assert runs == 1


async def count_runs(session, local, headers):
    total = 0
    for target in local.describe()['targets']:
        async with session.get(f'{target["url"]}/-/runs') as answer:
            fields = await answer.json()
        total += fields['keys'].get(headers['Idempotency-Key'], 0)
    return total
