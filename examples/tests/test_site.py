"""Tests of the whole path over real processes."""

import contextlib

import aiohttp
import pytest

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
    async def test_requests_go_through_every_entry(self, name, tmp_path):
        async with (
            run_local_site(name, tmp_path) as local,
            aiohttp.ClientSession() as session,
        ):
            for entry in local.describe()['entries']:
                for service in local.layout.site.services:
                    url = f'{entry["url"]}/{service}/things?size=1'
                    async with session.post(url, data=b'abc') as answer:
                        shown = await answer.json()
                    assert shown['service'] == service
                    assert shown['received'] == 3
