"""Demonstrates the product on a local site, step by step.

``python -m examples.demo --site=caledon`` prints a table, exits with 0 when
every step succeeded, and leaves no process running.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import aiohttp
import fire
import uuid_utils

from examples.operatorclient import OperatorClient, OperatorError
from examples.site import LocalSite
from examples.sites import SITES, Site, make_team_document

#: Longest wait for a VM to reach the requested state in seconds.
VM_STATE_SECONDS = 15.0

#: Duration of the load during which a daemon is killed, in seconds.
LOAD_SECONDS = 4.0

#: Number of concurrent requests during the load.
LOAD_CONCURRENCY = 8

#: Seconds between two reads of the state of a VM.
POLL_SECONDS = 0.2

#: Services and paths that are called, by site.
CALLS = {
    'caledon': ('booking/visits', 'certification/certificates'),
    'hai_phong': ('counter/checks', 'counter/orders'),
}


@dataclasses.dataclass(frozen=True)
class StepResult:
    """Result of one step, a row of the table.

    :param step: name of the step.
    :param found: what was observed.
    :param passed: whether the observation is the expected one.
    """

    step: str
    found: str
    passed: bool


class Demo:
    """The steps of the demonstration, on a running site.

    :param local: processes of the site.
    :param session: HTTP session of all calls.
    """

    def __init__(
        self,
        local: LocalSite,
        session: aiohttp.ClientSession,
    ) -> None:
        self._local = local
        self._session = session
        self._site: Site = local.layout.site
        self._urls = [entry['url'] for entry in local.describe()['entries']]
        self._operator = OperatorClient(session, self._urls[0])

    async def run(self) -> list[StepResult]:
        """Run each step and return the results."""
        steps: dict[str, Callable[[], Awaitable[StepResult]]] = {
            'a request served': self._serve,
            'a key sent twice': self._repeat_key,
            'a configuration change': self._change_configuration,
            'a VM moved': self._move,
            'a VM drained': self._drain,
            'a daemon killed under load': self._kill,
        }
        return [await _run_step(name, step) for name, step in steps.items()]

    async def _serve(self) -> StepResult:
        path = CALLS[self._site.name][0]
        url = f'{self._urls[0]}/{path}'
        async with self._session.post(url, json={'sacks': 4}) as answer:
            status = answer.status
            fields = await answer.json()
        observed = f'POST /{path}: {status} from {fields.get("target")}'
        return StepResult('a request served', observed, status == 200)

    async def _repeat_key(self) -> StepResult:
        path = CALLS[self._site.name][1]
        key = str(uuid_utils.uuid7())
        bodies = [
            await self._send_key(f'{url}/{path}', key) for url in self._urls[:2]
        ]
        runs = await self._count_runs(key)
        equal = bodies[0] == bodies[1]
        observed = (
            f'POST /{path} on 2 daemons: {runs} run, answers equal: {equal}'
        )
        return StepResult('a key sent twice', observed, equal and runs == 1)

    async def _change_configuration(self) -> StepResult:
        team = self._site.team
        document = make_team_document(self._site)
        service = self._site.services[0]
        document['services'][service]['weights'] = {'default': 2}
        started = time.monotonic()
        answer = await self._operator.apply(team, document, 'demo')
        seconds = time.monotonic() - started
        lagging = answer.get('lagging') or []
        observed = (
            f'revision {answer["revision"]} in force on all daemons after '
            f'{seconds:.2f} s'
        )
        if lagging:
            observed = f'not in force on {lagging}'
        return StepResult('a configuration change', observed, not lagging)

    async def _move(self) -> StepResult:
        first, second = self._site.services[2:4]
        name = f'{first}-1'
        content = {'pool': second, 'reason': 'demo'}
        started = time.monotonic()
        await self._operator.post(f'vms/{name}/move', content)
        record = await self._wait_vm(name, 'in_service', second)
        seconds = time.monotonic() - started
        observed = (
            f'{name}: {first} to {record["pool"]} with a reboot, '
            f'{record["state"]}, {seconds:.1f} s'
        )
        return StepResult('a VM moved', observed, record['pool'] == second)

    async def _drain(self) -> StepResult:
        service = self._site.services[0]
        name = f'{service}-2'
        await self._operator.post(f'vms/{name}/drain', {'reason': 'demo'})
        record = await self._wait_vm(name, 'in_maintenance', service)
        before = await self._count_requests(name)
        await self._send_to_all_daemons(service)
        received = await self._count_requests(name) - before
        observed = f'{name}: {record["state"]}, {received} of 60 later requests'
        passed = record['state'] == 'in_maintenance' and not received
        return StepResult('a VM drained', observed, passed)

    async def _kill(self) -> StepResult:
        names = list(self._local.layout.http_ports)
        victim = names[-1]
        urls = self._urls[:-1]
        load = asyncio.create_task(self._load(urls))
        await asyncio.sleep(LOAD_SECONDS / 4)
        self._local.processes.send_signal(victim, signal.SIGKILL)
        statuses = await load
        served = statuses.count(200)
        observed = f'{victim} killed: {served} of {len(statuses)} answered 200'
        passed = bool(statuses) and served == len(statuses)
        return StepResult('a daemon killed', observed, passed)

    async def _load(self, urls: list[str]) -> list[int]:
        end = time.monotonic() + LOAD_SECONDS
        tasks = [
            self._load_one(urls[number % len(urls)], end)
            for number in range(LOAD_CONCURRENCY)
        ]
        return list(itertools.chain(*await asyncio.gather(*tasks)))

    async def _load_one(self, url: str, end: float) -> list[int]:
        path = CALLS[self._site.name][0]
        statuses = []
        while time.monotonic() < end:
            headers = {'X-Run-Seconds': '0.01'}
            async with self._session.post(
                f'{url}/{path}',
                headers=headers,
            ) as answer:
                await answer.read()
                statuses.append(answer.status)
        return statuses

    async def _send_to_all_daemons(self, service: str) -> None:
        for url in self._urls:
            for _ in range(10):
                async with self._session.get(f'{url}/{service}/x') as answer:
                    await answer.read()

    async def _send_key(self, url: str, key: str) -> bytes:
        headers = {'Idempotency-Key': key}
        async with self._session.post(url, headers=headers) as answer:
            return await answer.read()

    async def _wait_vm(
        self,
        name: str,
        state: str,
        pool: str,
    ) -> dict[str, Any]:
        deadline = time.monotonic() + VM_STATE_SECONDS
        while True:
            record = await self._operator.find_vm(name)
            if (record['state'], record['pool']) == (state, pool):
                return record
            if time.monotonic() > deadline:
                return record
            await asyncio.sleep(POLL_SECONDS)

    async def _count_runs(self, key: str) -> int:
        all_runs = [
            await self._read_runs(target['url'])
            for target in self._local.describe()['targets']
        ]
        return sum(runs['keys'].get(key, 0) for runs in all_runs)

    async def _count_requests(self, name: str) -> int:
        targets = self._local.describe()['targets']
        url = next(row['url'] for row in targets if row['name'] == name)
        runs = await self._read_runs(url)
        return sum(runs['requests'].values())

    async def _read_runs(self, url: str) -> dict[str, Any]:
        async with self._session.get(f'{url}/-/runs') as answer:
            fields: dict[str, Any] = await answer.json()
        return fields


async def _run_step(
    name: str,
    step: Callable[[], Awaitable[StepResult]],
) -> StepResult:
    try:
        return await step()
    except (OperatorError, aiohttp.ClientError, KeyError) as error:
        return StepResult(name, repr(error), passed=False)


@contextlib.contextmanager
def _start_site(site: Site, folder: Path) -> Iterator[LocalSite]:
    local = LocalSite(site, folder)
    try:
        yield local
    finally:
        local.stop()


async def run_demo(site: Site, folder: Path) -> list[StepResult]:
    """Start a site, run the steps and stop the site."""
    with _start_site(site, folder) as local:
        started = time.monotonic()
        await local.start()
        seconds = time.monotonic() - started
        rows = [
            StepResult(
                'site started', f'6 daemons, {seconds:.1f} s', passed=True
            )
        ]
        async with aiohttp.ClientSession() as session:
            rows.extend(await Demo(local, session).run())
    return rows


def format_table(rows: list[StepResult]) -> str:
    """Format the results as a text table."""
    width = max(len(row.step) for row in rows)
    return '\n'.join(
        f'{"ok" if row.passed else "FAILED":6}  {row.step:{width}}  {row.found}'
        for row in rows
    )


def main(site: str = 'caledon') -> None:
    """Show what the product does on a local site.

    :param site: ``caledon`` or ``hai_phong``.
    """
    if site not in SITES:
        sys.exit(f'site: there is no {site}; take one of {", ".join(SITES)}')
    with tempfile.TemporaryDirectory(prefix='verbenapost-') as folder:
        rows = asyncio.run(run_demo(SITES[site], Path(folder)))
    sys.stdout.write(f'{format_table(rows)}\n')
    if not all(row.passed for row in rows):
        sys.exit(1)


if __name__ == '__main__':
    fire.Fire(main)
