"""Start of a small deployment on loopback, with its daemons and callers."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp

from platformstandin import Platform

ROOT = Path(__file__).resolve().parent.parent

#: Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

#: Seconds after which a case is ended, whatever it does.
LONGEST_SECONDS = 110

#: Bounds of the first users' sheets.
BOUNDS = {
    'contact_ms': 3000,
    'ack_ms': 4000,
    'drain_ms': 2000,
    'grace_s': 6,
    'config_apply_ms': 2000,
    'max_hold_ms': 6000,
    'stop_timeout_ms': 200,
    'gang_timeout_ms': 3000,
    'cancel_ms': 3000,
    'early_ms': 250,
    'status_s': 120,
    'spread_factor': 2,
    'notice_ms': 4500,
    'move_s': 1.5,
    'maintenance_s': 2,
    'fencing_required': True,
    'lease_ms': 3000,
    'harm_ms': 4000,
}


class NotRunError(Exception):
    """Raised when a case could not get as far as its check."""


class Daemon:
    """A process of the project, started with the deploy file's command."""

    def __init__(self, name, folder, platform, *, advice):
        self.name = name
        front, ready, first = find_ports()
        self.front = f'127.0.0.1:{front}'
        self.process = None
        self._log = folder / f'{name}.log'
        self._settings = folder / f'{name}.json'
        fields = {
            'daemon': name,
            'data_centre': 'zone-a',
            'address': '127.0.0.1',
            'listen': {
                'callers': self.front,
                'probes': f'127.0.0.1:{ready}',
                'internal_ports': [first, first + 1],
            },
            'store': {
                'address': platform.address,
                'writes_per_second': 400,
                'reads_per_second': 2000,
            },
            'cloud': {'address': platform.address, 'orders_per_second': 64},
            'processor': {'share': 1.0, 'speed': 1},
            'advice_address': platform.address if advice else None,
            'bounds': BOUNDS,
        }
        self._settings.write_text(json.dumps(fields))

    async def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['entry']['run'].split()
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/tmp'),
            'VERBENAPOST_BOOT': str(self._settings),
            'PYTHONPATH': 'target/deps',
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """Kill the process."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def restart(self):
        """Stop with SIGTERM, as the platform does, and start again."""
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(BOUNDS['grace_s']):
                await self.process.wait()
        except TimeoutError:
            await self.end()
        await self.start()

    def read_events(self):
        """Return the lines of the daemon's log."""
        with contextlib.suppress(OSError):
            for line in self._log.read_text().splitlines():
                with contextlib.suppress(ValueError):
                    yield json.loads(line)

    def read_log(self):
        """Return the text of the daemon's log."""
        return self._log.read_text() if self._log.exists() else ''


class Deployment:
    """Platform, daemons and callers of one case."""

    def __init__(self, folder, record_file):
        self.folder = folder
        self.host = 'queues.example'
        self.daemons = []
        self._file = record_file
        self._origin = time.monotonic()
        self.platform = Platform(self.record)
        self._session = None

    def record(self, line):
        """Write a line into the record."""
        passed = time.monotonic() - self._origin
        self._file.write(f'{passed:9.3f} {line}\n')
        self._file.flush()

    async def start_daemons(self, count, *, advice=False):
        """Start the daemons and wait until all are ready."""
        self._session = aiohttp.ClientSession()
        for number in range(count):
            daemon = Daemon(
                f'front-{number + 1}', self.folder, self.platform, advice=advice
            )
            self.daemons.append(daemon)
            await daemon.start()
        await self.wait_ready()

    async def wait_ready(self):
        """Wait until a daemon leads and each answers callers."""
        until = time.monotonic() + 25
        while time.monotonic() < until:
            await asyncio.sleep(0.1)
            if 'vp/leader' not in self.platform.store.items:
                continue
            answers = [
                await self.call(
                    'GET', '/ready-probe', daemon=daemon, quiet=True
                )
                for daemon in self.daemons
            ]
            if all(status == 404 for status, _ in answers):
                return
        raise NotRunError('the daemons did not become ready')

    def find_leader(self):
        """Return the daemon that leads, by its lines of log."""
        won = []
        for daemon in self.daemons:
            for event in daemon.read_events():
                if str(event.get('event')).endswith('leadership won'):
                    won.append((event['term'], daemon))
        if not won:
            raise NotRunError('no daemon leads')
        return max(won, key=lambda row: row[0])[1]

    async def submit(self, prefix, job, steps, spec):
        """Submit a job, again at the next daemon as long as it is refused."""
        for attempt in range(20):
            daemon = self.daemons[attempt % len(self.daemons)]
            if await self.submit_once(prefix, job, steps, spec, daemon) == 200:
                return
            await asyncio.sleep(0.3)
        raise NotRunError(f'job {job} was not accepted')

    async def submit_once(
        self, prefix, job, steps, spec, daemon=None, *, advised=False
    ):
        """Submit a job once and return the status of the answer."""
        self.platform.jobs[job] = {'steps': steps, 'advised': advised}
        body = {'spec': spec, 'steps': steps}
        status, _ = await self.call('POST', prefix + job, body, daemon)
        return status

    async def call(self, method, path, body=None, daemon=None, *, quiet=False):
        """Send a caller's request and return the status and the body."""
        target = daemon or self.daemons[0]
        headers = {
            'Host': self.host,
            'X-Verbenapost-Deadline-Ms': '3000',
            'Content-Type': 'application/json',
        }
        data = None if body is None else json.dumps(body)
        try:
            async with (
                asyncio.timeout(4),
                self._session.request(
                    method,
                    f'http://{target.front}{path}',
                    data=data,
                    headers=headers,
                ) as response,
            ):
                status, text = response.status, await response.text()
        except (aiohttp.ClientError, OSError, TimeoutError) as fault:
            status, text = 0, repr(fault)
        if not quiet:
            self.record(
                f'caller -> {target.name}: {method} {path} -> {status} {text}'
            )
        return status, text

    async def read_state(self, prefix, job, daemon=None):
        """Return the state of a job, or the status of another answer."""
        status, text = await self.call('GET', prefix + job, daemon=daemon)
        return json.loads(text)['state'] if status == 200 else str(status)

    async def close(self):
        """End all processes and servers."""
        for daemon in self.daemons:
            await daemon.end()
        if self._session is not None:
            await self._session.close()
        await self.platform.stop()


def find_ports():
    """Return two free ports, and the first of two free ports in sequence."""
    with contextlib.ExitStack() as stack:
        found = []
        while len(found) < 2:
            found.append(_bind(stack, 0))
        while True:
            first = _bind(stack, 0)
            with contextlib.suppress(OSError, OverflowError):
                _bind(stack, first + 1)
                return found[0], found[1], first


def _bind(stack, port):
    opened = stack.enter_context(socket.socket())
    opened.bind(('127.0.0.1', port))
    return opened.getsockname()[1]


def make_route(name, prefix, service, **fields):
    """Return a queue of a manifest."""
    return {
        'name': name,
        'hostname': 'queues.example',
        'prefix': prefix,
        'route_type': 'unsafe',
        'timeout_ms': 3000,
        'target_latency_ms': 600,
        'priority': 0,
        'service': service,
        'max_attempts': 3,
        'slack_factor': 1.6,
        **fields,
    }


def make_service(name, *, standby=False):
    """Return a service of a manifest."""
    return {
        'name': name,
        'health_path': '/health',
        'max_connections': 64,
        'protocol': 'h1',
        'tls': False,
        'enforce_limits': False,
        'standby': standby,
    }


def run_case(play, case_file):
    """Play a case and exit with its status.

    :param play: coroutine function of a deployment and of whether there is
        trouble; returns the lines that say how the rule was broken.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    path = Path(case_file).with_name('record.txt')
    sys.exit(asyncio.run(_run(play, path, trouble=trouble)))


async def _run(play, path, *, trouble):
    with tempfile.TemporaryDirectory() as folder, path.open('w') as record:
        deployment = Deployment(Path(folder), record)
        deployment.record(f'trouble: {trouble}')
        await deployment.platform.start()
        try:
            async with asyncio.timeout(LONGEST_SECONDS):
                broken = await play(deployment, trouble)
        except Exception as fault:
            # Any fault of the case itself is no verdict on the rule.
            deployment.record(f'not run: {fault!r}')
            print(f'not run: {fault!r}')
            return NOT_RUN
        finally:
            with contextlib.suppress(Exception):
                await deployment.close()
            _keep_logs(deployment)
        for line in broken:
            deployment.record(f'BROKEN: {line}')
            print(f'broken: {line}')
        if not broken:
            deployment.record('held')
            print('held')
        return BROKEN if broken else HELD


def _keep_logs(deployment):
    folder = os.environ.get('KEEP_LOGS')
    if not folder:
        return
    for daemon in deployment.daemons:
        (Path(folder) / f'{daemon.name}.log').write_text(daemon.read_log())
