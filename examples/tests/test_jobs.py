"""Tests of accepted jobs over real processes."""

import asyncio
import os
import signal

import aiohttp
import uuid_utils

from examples.layout import OPERATOR_TOKEN
from examples.tests.test_site import run_local_site

SHORT = {'X-Job-Seconds': '0.2', 'X-Job-Cpu': '1', 'X-Team': 'shop'}
LONG = {'X-Job-Seconds': '600', 'X-Team': 'shop'}


class TestJobs:
    async def test_a_keyed_job_runs_once_and_another_is_cancelled(
        self, tmp_path
    ):
        async with (
            run_local_site('caledon', tmp_path) as local,
            aiohttp.ClientSession() as session,
        ):
            first, second = local.describe()['entries'][:2]
            key = {'Idempotency-Key': str(uuid_utils.uuid7())}
            locations = [
                await submit(session, entry, {**SHORT, **key})
                for entry in (first, second)
            ]
            long = await submit(session, first, LONG)
            await wait_for(session, f'{second["url"]}{long}', 'running')
            async with session.delete(
                f'{second["url"]}{long}', headers=LONG
            ) as answer:
                cancelled = await answer.json()
            done = await wait_for(
                session, f'{second["url"]}{locations[0]}', 'done'
            )
            other_team = {'X-Team': 'other'}
            async with session.get(
                f'{first["url"]}{locations[0]}', headers=other_team
            ) as hidden:
                assert hidden.status == 404
            runs = await count_runs(session, local, done['job'])
        assert locations[0] == locations[1]
        assert cancelled['state'] == 'cancelled'
        assert done['result'] == f'{done["job"]} done'
        assert runs == 1


async def submit(session, entry, headers):
    url = f'{entry["url"]}/weighing/jobs/reports'
    async with session.post(url, headers=headers, data=b'x') as answer:
        assert answer.status == 202, await answer.text()
        return answer.headers['Location']


async def wait_for(session, url, state):
    for _ in range(200):
        async with session.get(url, headers={'X-Team': 'shop'}) as answer:
            fields = await answer.json()
        if fields['state'] == state:
            return fields
        await asyncio.sleep(0.1)
    raise AssertionError(fields)


async def count_runs(session, local, job):
    total = 0
    for target in local.describe()['targets']:
        async with session.get(f'{target["url"]}/-/runs') as answer:
            total += (await answer.json())['task_runs'].get(job, 0)
    return total


class TestOwnerLoss:
    async def test_a_running_job_survives_the_kill_of_its_owner(self, tmp_path):
        async with (
            run_local_site('caledon', tmp_path) as local,
            aiohttp.ClientSession() as session,
        ):
            entries = local.describe()['entries']
            headers = {**SHORT, 'X-Job-Seconds': '6'}
            location = await submit(session, entries[0], headers)
            await wait_for(session, f'{entries[0]["url"]}{location}', 'running')
            owner = await find_owner(session, entries, 'jobs/weighing')
            os.kill(owner['pid'], signal.SIGKILL)
            survivor = next(entry for entry in entries if entry != owner)
            done = await wait_for(
                session, f'{survivor["url"]}{location}', 'done'
            )
            runs = await count_runs(session, local, done['job'])
        assert done['attempt'] == 1
        assert runs == 1


async def find_owner(session, entries, duty):
    headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
    for entry in entries:
        async with session.get(
            f'{entry["url"]}/-/status', headers=headers
        ) as answer:
            fields = await answer.json()
        if duty in fields['duties']:
            return entry
    raise AssertionError(f'no daemon has {duty}')
