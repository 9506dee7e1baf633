"""Starts a local site on the loopback address.

``python -m examples.site --site=caledon`` prints the URLs and process ids as
one line of JSON when all daemons are ready, and runs until SIGINT or SIGTERM.
"""

import asyncio
import json
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
import fire

from examples.layout import Layout, plan_layout, write_settings
from examples.processes import ProcessGroup
from examples.seeds import seed_store
from examples.sites import SITES, Site

#: Longest wait for one process to become ready in seconds.
READY_SECONDS = 30.0

#: Seconds between two readiness probes.
POLL_SECONDS = 0.05

#: Number of processes that share the targets.
WORKER_PROCESSES = 3


class SiteError(RuntimeError):
    """The site did not become ready."""


class LocalSite:
    """The processes of one site.

    :param site: description of the site.
    :param folder: folder of the settings and logs.
    """

    def __init__(self, site: Site, folder: Path) -> None:
        self.layout: Layout = plan_layout(site)
        self.processes = ProcessGroup(folder)
        self._folder = folder
        self._settings: dict[str, Path] = {}
        self._process_by_target: dict[str, str] = {}

    async def start(self) -> None:
        """Start all processes and wait until each daemon is ready.

        :raises SiteError: when a process does not become ready.
        """
        layout = self.layout
        self._settings = write_settings(layout, self._folder)
        port = str(layout.store_port)
        self.processes.start('store', 'standins.store', '--port', port)
        self.processes.start(
            'vm_list',
            'standins.vm_list',
            '--port',
            str(layout.vm_list_port),
            '--vms',
            str(self._folder / 'vms.json'),
        )
        self._start_workers()
        await self._wait_for(f'{layout.store_url}/-/calls')
        await seed_store(layout)
        for name in layout.http_ports:
            self.start_daemon(name)
        await self.wait_ready(*layout.http_ports)

    def start_daemon(self, name: str) -> int:
        """Start one daemon and return its process id."""
        path = str(self._settings[name])
        module = 'verbenapost.daemon.main'
        return self.processes.start(name, module, '--settings', path)

    async def wait_ready(self, *names: str) -> None:
        """Wait until the named daemons are ready.

        :raises SiteError: when a daemon does not become ready.
        """
        for name in names:
            await self._wait_for(f'{self.layout.find_url(name)}/-/ready')

    def describe(self) -> dict[str, Any]:
        """Return the names, URLs and process ids of the site."""
        layout = self.layout
        find_pid = self.processes.find_pid
        return {
            'entries': [
                {
                    'name': name,
                    'url': layout.find_url(name),
                    'pid': find_pid(name),
                    'data_centre': layout.data_centres[name],
                }
                for name in layout.http_ports
            ],
            'targets': [
                {
                    'name': row['name'],
                    'url': f'http://{row["address"]}',
                    'service': row['pool'],
                    'pid': find_pid(self._process_by_target[row['name']]),
                }
                for row in layout.vms
            ],
            'store': {'url': layout.store_url, 'pid': find_pid('store')},
            'vm_list': {
                'url': layout.vm_list_url,
                'pid': find_pid('vm_list'),
            },
        }

    def stop(self) -> None:
        """Stop all processes of the site."""
        self.processes.stop_all()

    def _start_workers(self) -> None:
        for number in range(WORKER_PROCESSES):
            rows = self.layout.vms[number::WORKER_PROCESSES]
            name = f'workers-{number + 1}'
            targets = [
                {
                    'name': row['name'],
                    'service': row['pool'],
                    'port': int(row['address'].rpartition(':')[2]),
                }
                for row in rows
            ]
            text = json.dumps(targets)
            self.processes.start(name, 'standins.worker', '--targets', text)
            self._process_by_target.update({row['name']: name for row in rows})

    async def _wait_for(self, url: str) -> None:
        deadline = time.monotonic() + READY_SECONDS
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < deadline:
                if await _is_answered(session, url):
                    return
                await asyncio.sleep(POLL_SECONDS)
        raise SiteError(f'no answer from {url}; {self.processes.explain()}')


async def _is_answered(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, OSError):
        return False


async def run_site(site: Site, folder: Path) -> None:
    """Run a site until SIGINT or SIGTERM."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    local = LocalSite(site, folder)
    starting = asyncio.create_task(local.start())
    waiting = asyncio.create_task(stopped.wait())
    try:
        await asyncio.wait(
            (starting, waiting),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if starting.done():
            starting.result()
            sys.stdout.write(f'{json.dumps(local.describe())}\n')
            sys.stdout.flush()
        await waiting
    finally:
        starting.cancel()
        local.stop()


def main(site: str = 'caledon') -> None:
    """Start a local site.

    :param site: ``caledon`` or ``hai_phong``.
    """
    if site not in SITES:
        sys.exit(f'site: there is no {site}; take one of {", ".join(SITES)}')
    with tempfile.TemporaryDirectory(prefix='verbenapost-') as folder:
        asyncio.run(run_site(SITES[site], Path(folder)))


if __name__ == '__main__':
    fire.Fire(main)
