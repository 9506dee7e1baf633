"""A small deployment on loopback addresses, for the cases of review 2.

One process plays the platform (store, cloud, policy service), the workers, the
operator and the callers, as the platform's pages describe them. The daemons
are processes of their own, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
HOST = 'queue.example'
HEARTBEAT_SECONDS = 1.5
MAX_HOLD_MS = 6000
STARTUP_SECONDS = 0.5
RESTART_SECONDS = 0.5
MEMORY_MB = 300

#: The bounds of both sites.
BOUNDS = {
    'drain_ms': 2000,
    'grace_s': 6,
    'config_apply_ms': 2000,
    'max_hold_ms': MAX_HOLD_MS,
    'stop_timeout_ms': 200,
    'gang_timeout_ms': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'early_ms': 250,
    'finish_s': 14,
    'status_s': 120,
    'spread_factor': 2,
    'notice_ms': 4500,
    'move_s': 1.5,
    'maintenance_s': 2,
    'fencing_required': True,
    'lease_ms': 3000,
    'pace_ms': 100,
    'harm_ms': 4000,
    'ack_ms': 4000,
}


class Record:
    """Writes one line for each thing that a client or server sees."""

    def __init__(self, path):
        self._began = time.monotonic()
        self._file = path.open('w')

    def note(self, kind, **fields):
        """Write a line."""
        seconds = time.monotonic() - self._began
        texts = ' '.join(f'{name}={text}' for name, text in fields.items())
        self._file.write(f'{seconds:8.3f} {kind} {texts}\n')
        self._file.flush()


def bind():
    """Return a socket that listens on a free loopback port."""
    opened = socket.socket()
    opened.bind(('127.0.0.1', 0))
    opened.listen(512)
    return opened


def draw_ports(address, count):
    """Return successive ports that are free at a loopback address."""
    while True:
        with contextlib.ExitStack() as stack:
            opened = [
                stack.enter_context(socket.socket()) for _ in range(count)
            ]
            opened[0].bind((address, 0))
            first = opened[0].getsockname()[1]
            with contextlib.suppress(OSError, OverflowError):
                for offset, row in enumerate(opened[1:], 1):
                    row.bind((address, first + offset))
                return range(first, first + count)


def find_address(opened):
    """Return the address of a socket."""
    return f'127.0.0.1:{opened.getsockname()[1]}'


async def serve(app, opened):
    """Serve an application on a socket."""
    runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
    await runner.setup()
    await web.SockSite(runner, opened).start()
    return runner


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        #: Returns the seconds by which a write is late, 0 for one that isn't.
        self.find_delay = lambda body: 0
        self._leases = {}
        self._numbers = itertools.count(1001)
        self._changed = asyncio.Event()

    def make_app(self):
        """Return the HTTP application."""
        app = web.Application(client_max_size=2**24)
        app.router.add_get('/-/kv-key', self._read_key)
        app.router.add_get('/-/kv-range', self._read_range)
        app.router.add_get('/-/kv-watch', self._watch)
        app.router.add_post('/-/kv-txn', self._commit)
        app.router.add_post('/-/kv-lease', self._grant)
        app.router.add_post('/-/kv-keep/{lease}', self._renew)
        app.router.add_delete('/-/kv-lease-end/{lease}', self._end)
        return app

    def write(self, key, value):
        """Write a key as the operator or a worker does."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), 0)

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._announce(
                {'key': key, 'revision': self.revision, 'removed': True}
            )

    async def expire(self):
        """End the leases whose time is over."""
        while True:
            await asyncio.sleep(0.05)
            for lease, (until, _) in list(self._leases.items()):
                if time.monotonic() > until:
                    self._end_lease(lease)

    def _put(self, key, value, lease):
        known = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }
        self._announce(dict(self.items[key]))

    def _announce(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease):
        if self._leases.pop(lease, None) is None:
            return False
        held = [key for key, row in self.items.items() if row['lease'] == lease]
        for key in held:
            self.remove(key)
        return True

    async def _read_key(self, request):
        item = self.items.get(request.query['key'])
        body = {'store_revision': self.revision} | (item or {})
        return web.json_response(body, status=200 if item else 404)

    async def _read_range(self, request):
        prefix = request.query['prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        size = 0
        page = []
        for key in keys[:500]:
            size += len(self.items[key]['value'])
            if page and size > 1_000_000:
                break
            page.append(self.items[key])
        return web.json_response(
            {
                'items': page,
                'truncated': len(page) < len(keys),
                'store_revision': self.revision,
            }
        )

    async def _watch(self, request):
        prefix = request.query['prefix']
        after = int(request.query['after'])
        until = time.monotonic() + int(request.query['wait_ms']) / 1000
        while True:
            changed = self._changed
            events = [
                row
                for row in self.history
                if row['revision'] > after and row['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return web.json_response(
                    {'events': events, 'store_revision': self.revision}
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    async def _commit(self, request):
        body = await request.json()
        delay = self.find_delay(body)
        if delay:
            # Carried out late, if its condition still holds, and not answered.
            await asyncio.sleep(delay)
            self._apply(body)
            await asyncio.sleep(60)
        return self._apply(body)

    def _apply(self, body):
        expected = body.get('expect', ())
        keys = [row['key'] for row in expected]
        if any(self._read(row['key']) != row['revision'] for row in expected):
            found = [self.items[key] for key in keys if key in self.items]
            return web.json_response({'items': found}, status=412)
        writes = body.get('writes', ())
        if any(
            row.get('lease') and row['lease'] not in self._leases
            for row in writes
        ):
            return web.json_response({}, status=404)
        self.revision += 1
        for row in writes:
            self._put(row['key'], row['value'], row.get('lease', 0))
        for key in body.get('remove', ()):
            if self.items.pop(key, None) is not None:
                self._announce(
                    {'key': key, 'revision': self.revision, 'removed': True}
                )
        return web.json_response({'revision': self.revision})

    def _read(self, key):
        item = self.items.get(key)
        return item['revision'] if item else 0

    async def _grant(self, request):
        seconds = max(1.0, (await request.json())['ttl_ms'] / 1000)
        lease = next(self._numbers)
        self._leases[lease] = (time.monotonic() + seconds, seconds)
        return web.json_response(
            {'lease': lease, 'ttl_ms': round(seconds * 1000)}
        )

    async def _renew(self, request):
        lease = int(request.match_info['lease'])
        if lease not in self._leases:
            return web.json_response({}, status=404)
        seconds = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + seconds, seconds)
        return web.json_response({'ttl_ms': round(seconds * 1000)})

    async def _end(self, request):
        ended = self._end_lease(int(request.match_info['lease']))
        return web.json_response({}, status=200 if ended else 404)


class Worker:
    """A worker, which runs subtasks under leases.

    The text of a job, ``spec``, is the seconds that each subtask takes.

    :ivar tickets: returns the valid tickets of a step for this worker, or
        ``None`` where no policy restricts the queue.
    """

    def __init__(self, stage, number, service, cpu, kind='a', rack='r1'):
        self.name = f'i-{number:04d}'
        self.machine = f'm-{number:04d}'
        self.service = service
        self.cpu = cpu
        self.labels = [kind, rack]
        self.up = False
        self.dark = False
        self.draining = False
        self.born = 0
        self.tickets = None
        self.on_start = None
        self._stage = stage
        self._opened = bind()
        self.address = find_address(self._opened)
        self._sequence = 0
        self._transports = set()

    async def start(self):
        """Serve and register."""
        app = web.Application(middlewares=[self._guard])
        app.router.add_post('/-/run-start', self._start_run)
        app.router.add_post('/-/run-stop', self._stop_run)
        app.router.add_post('/-/hold', self._hold)
        app.router.add_post('/-/pace', self._pace)
        await serve(app, self._opened)
        self.begin_life()
        self._stage.keep(self._beat())
        self._stage.keep(self._advance())

    def begin_life(self):
        """Begin a life under the same id, which knows nothing of before."""
        self.born = max(self.born + 1, round(time.time() * 1000))
        self._started = time.monotonic()
        self.running = {}
        self._ends = []
        self._end_count = 0
        self._fence = 0
        self._deadline = 0
        self._highest = {}
        self._ended = asyncio.Event()
        self.up = True
        self.dark = False
        self._register()

    def crash(self):
        """End with everything that runs; the connections are reset."""
        self._stage.record.note('worker-crash', worker=self.name)
        self.up = False
        for task, run in list(self.running.items()):
            self._stage.note_run('crashed', self.name, task, run['run'])
        self.running = {}
        for transport in self._transports:
            transport.abort()
        self._transports = set()

    def darken(self):
        """Crash with the machine: nothing is answered, nothing is reset."""
        self._transports = set()
        self.crash()
        self.dark = True

    def read_clock(self):
        """Return the worker's clock in milliseconds."""
        return round((time.monotonic() - self._started) * 1000) + 5000

    def describe(self):
        """Return the capacity as the pages spell it."""
        return {'cpu': self.cpu, 'mem_mb': 64000, 'gpu': 0}

    def _register(self):
        self._sequence += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if self.draining else 'ready',
            'cold_remaining_ms': 0,
            'capacity': self.describe(),
            'labels': self.labels,
            'machine': self.machine,
            'born': self.born,
            'clock_ms': self.read_clock(),
            'sequence': self._sequence,
        }
        self._stage.store.write(
            f'servers/{self.name}', json.dumps(entry).encode()
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.up:
                self._register()

    async def _advance(self):
        while True:
            await asyncio.sleep(0.01)
            if not self.up:
                continue
            now = time.monotonic()
            lapsed = self.read_clock() > self._deadline
            for task, row in list(self.running.items()):
                if lapsed:
                    self._finish(task, 'lapsed')
                elif now >= row['until']:
                    self._finish(task, row['how'])

    def _finish(self, task, how):
        row = self.running.pop(task)
        self._end_count += 1
        self._ends.append([self._end_count, task, row['run'], how, ''])
        self._highest[task] = max(self._highest.get(task, 0), row['run'])
        self._stage.note_run(how, self.name, task, row['run'])
        self._ended.set()
        self._ended = asyncio.Event()

    @web.middleware
    async def _guard(self, request, handler):
        await self._wait_for_light()
        if not self.up:
            _reset(request)
        self._transports.add(request.transport)
        life = self.born
        expected = request.headers.get('X-Verbenapost-Expect-Instance')
        if expected != self.name:
            raise web.HTTPMisdirectedRequest
        body = await request.json()
        if body['fencing_token'] < self._fence:
            return self._answer({'reason': 'fence'}, 409)
        self._fence = body['fencing_token']
        request['body'] = body
        answer = await handler(request)
        await self._wait_for_light()
        if not self.up or self.born != life:
            _reset(request)
        return answer

    async def _wait_for_light(self):
        while self.dark:
            await asyncio.sleep(0.05)

    def _answer(self, fields, status=200):
        fields = {'clock_ms': self.read_clock(), 'born': self.born} | fields
        return web.json_response(fields, status=status)

    async def _start_run(self, request):
        body = request['body']
        task, run = body['task'], body['run']
        known = self.running.get(task)
        if known is not None and known['run'] == run:
            return self._answer({})
        if run <= self._highest.get(task, 0):
            return self._answer({'reason': 'old'}, 409)
        if body['deadline_ms'] < self.read_clock():
            return self._answer({'reason': 'late'}, 409)
        if self.tickets is not None:
            step = task.rpartition('.')[0]
            if body.get('ticket') not in self.tickets(step, self.name):
                return self._answer({'reason': 'ticket'}, 409)
        self._extend(body['deadline_ms'])
        now = time.monotonic()
        seconds, _, how = body['spec'].partition(' ')
        self.running[task] = {
            'run': run,
            'began': now,
            'until': now + float(seconds),
            'how': how or 'done',
        }
        self._highest[task] = run
        self._stage.note_run('start', self.name, task, run)
        if self.on_start is not None:
            self.on_start(self, task)
        return self._answer({})

    async def _stop_run(self, request):
        body = request['body']
        task, run = body['task'], body['run']
        self._highest[task] = max(self._highest.get(task, 0), run)
        known = self.running.get(task)
        if known is not None and known['run'] <= run:
            self._finish(task, 'stopped')
        return self._answer({})

    async def _pace(self, _request):
        return self._answer({})

    async def _hold(self, request):
        body = request['body']
        if 'deadline_ms' in body:
            self._extend(body['deadline_ms'])
        last_seen = body['last_seen']
        self._ends = [row for row in self._ends if row[0] > last_seen]
        until = time.monotonic() + min(body.get('wait_ms', 0), 2000) / 1000
        while self.up and not self._ends and time.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._ended.wait(), min(0.1, until - time.monotonic())
                )
        now = time.monotonic()
        rows = [
            [task, row['run'], '', self._measure(row, now), 500]
            for task, row in self.running.items()
        ]
        return self._answer({'running': rows, 'ended_runs': self._ends[:500]})

    def _measure(self, row, now):
        span = min(row['until'] - row['began'], STARTUP_SECONDS)
        return min(100, round((now - row['began']) / span * 100))

    def _extend(self, deadline):
        latest = self.read_clock() + MAX_HOLD_MS
        self._deadline = max(self._deadline, min(deadline, latest))


def _reset(request):
    """Reset the connection of a call."""
    if request.transport is not None:
        request.transport.abort()
    raise web.HTTPServiceUnavailable


class Daemon:
    """A process of the project, restarted by the platform when it ends."""

    def __init__(self, stage, number):
        self.name = f'front-{number}'
        self.ends = 0
        self.peak_mb = 0
        self._stage = stage
        self._process = None
        # An address of its own, where no other connection takes the ports.
        self._address = f'127.0.{random.randint(1, 250)}.{number + 10}'
        ports = draw_ports(self._address, 4)
        self.front = f'{self._address}:{ports[0]}'
        self.ready = f'{self._address}:{ports[1]}'
        self._fields = {
            'node': self.name,
            'zone': 'a',
            'ip': self._address,
            'listen': {'front': self.front, 'ready': self.ready},
            'internal_ports': [ports[2], ports[3]],
            'platform': {
                'address': stage.store_address,
                'writes_per_s': 400,
                'reads_per_s': 2000,
            },
            'cloud': {'address': stage.cloud_address, 'duties_per_s': 64.0},
            'limits': {'cpu_share': 0.537, 'cores': 2},
            'recommendation': stage.advice_address,
            'bounds': BOUNDS,
        }
        self._path = stage.folder / f'{self.name}.json'
        self._log = (stage.folder / f'{self.name}.log').open('w')

    @property
    def pid(self):
        """Process id of the running process, or ``None``."""
        process = self._process
        running = process is not None and process.returncode is None
        return process.pid if running else None

    async def run(self):
        """Run the process until the stage ends."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        template = (ROOT / role['template']).read_text()
        words = role['run'].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'VERBENAPOST_BOOT': str(self._path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        while True:
            self._path.write_text(render(template, self._fields))
            self._process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=environment,
                stdout=self._log,
                stderr=self._log,
            )
            self._stage.record.note('daemon-start', daemon=self.name)
            code = await self._process.wait()
            self.ends += 1
            self._stage.record.note('daemon-end', daemon=self.name, code=code)
            await asyncio.sleep(RESTART_SECONDS)

    def send_signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.pid is not None:
            self._stage.record.note(
                'signal', daemon=self.name, number=signal.Signals(number).name
            )
            os.kill(self.pid, number)

    async def limit_memory(self):
        """End the process when it exceeds the memory of its settings."""
        while True:
            await asyncio.sleep(0.2)
            used = self.read_memory()
            self.peak_mb = max(self.peak_mb, used)
            if used > MEMORY_MB:
                self._stage.record.note(
                    'over-memory', daemon=self.name, mb=round(used)
                )
                self.send_signal(signal.SIGKILL)

    def read_memory(self):
        """Return the resident memory in MB, without shared pages of files."""
        if self.pid is None:
            return 0
        with contextlib.suppress(OSError):
            text = Path(f'/proc/{self.pid}/status').read_text()
            found = re.search(r'RssAnon:\s+(\d+) kB', text)
            return int(found[1]) / 1024 if found else 0
        return 0


class Stage:
    """The whole deployment.

    :ivar runs: starts and ends of runs, in order: kind, worker, task, run.
    :ivar choose_good: returns the workers that may run a step, of those named.
    """

    def __init__(self, folder):
        self.record = Record(folder / 'record.txt')
        self.folder = Path(tempfile.mkdtemp())
        self.runs = []
        self.workers = []
        self.daemons = []
        self.choose_good = lambda step, names: names
        self.advice_terms = {'decide_ms': 20, 'period_ms': 5, 'valid_ms': 3000}
        self.store = Store()
        self.session = None
        self._tasks = []
        self._opened = [bind() for _ in range(3)]
        self.store_address, self.cloud_address, self.advice_address = map(
            find_address, self._opened
        )

    def keep(self, work):
        """Run work until the stage ends."""
        self._tasks.append(asyncio.create_task(work))

    async def start(self, config, daemons=3):
        """Start everything and wait until all daemons are ready."""
        cloud = web.Application()
        cloud.router.add_get('/-/machines', self._list_machines)
        cloud.router.add_post('/-/machine-upkeep', self._refuse_order)
        advice = web.Application()
        advice.router.add_post('/-/advise', self._advise)
        apps = (self.store.make_app(), cloud, advice)
        for app, opened in zip(apps, self._opened, strict=True):
            await serve(app, opened)
        self.session = aiohttp.ClientSession()
        self.keep(self.store.expire())
        self.store.write('op/config', json.dumps(config).encode())
        for worker in self.workers:
            await worker.start()
        for number in range(daemons):
            daemon = Daemon(self, number)
            self.daemons.append(daemon)
            self.keep(daemon.run())
            self.keep(daemon.limit_memory())

    async def wait_ready(self, seconds=20):
        """Wait until all daemons are ready; return whether they are."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            found = [await self._probe(daemon) for daemon in self.daemons]
            if all(found) and 'vp/leader' in self.store.items:
                await asyncio.sleep(3)
                return True
            await asyncio.sleep(0.2)
        return False

    async def call(self, method, path, body=None, daemon=0, seconds=3.0):
        """Send a caller's request; return status and body, 0 for none."""
        address = self.daemons[daemon % len(self.daemons)].front
        headers = {
            'Host': HOST,
            'X-Verbenapost-Deadline-Ms': str(round(seconds * 1000)),
        }
        status, found = 0, {}
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self.session.request(
                method,
                f'http://{address}{path}',
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=seconds + 0.5),
            ) as response:
                status = response.status
                found = json.loads(await response.read() or b'{}')
        self.record.note(
            'call', method=method, path=path, status=status, answer=found
        )
        return status, found

    async def submit(self, path, body, tries=4):
        """Submit a job as a client does; return the last status."""
        status = 0
        for attempt in range(tries):
            status, _ = await self.call('POST', path, body, daemon=attempt)
            if status == 200:
                break
            await asyncio.sleep(1)
        return status

    def find_leader(self):
        """Return the daemon that leads, as the store shows, if any."""
        item = self.store.items.get('vp/leader')
        if item is None:
            return None
        packed = base64.b64decode(item['value'])
        return next(
            (row for row in self.daemons if row.name.encode() in packed), None
        )

    def note_run(self, kind, worker, task, run):
        """Record the start or the end of a run."""
        self.runs.append((kind, worker, task, run))
        self.record.note(f'run-{kind}', worker=worker, task=task, run=run)

    async def close(self):
        """End all processes and remove the temporary folder."""
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.pid is not None:
                os.kill(daemon.pid, signal.SIGKILL)
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.session.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _probe(self, daemon):
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self.session.get(
                f'http://{daemon.ready}/-/ready',
                timeout=aiohttp.ClientTimeout(total=1),
            ) as response:
                return response.status == 200
        return False

    async def _list_machines(self, _request):
        rows = [
            {
                'machine': worker.machine,
                'pool': worker.service,
                'state': 'up' if worker.up else 'down',
                'zone': 'a',
                'labels': worker.labels,
                'capacity': worker.describe(),
                'id': worker.name if worker.up else None,
            }
            for worker in self.workers
        ]
        return web.json_response({'machines': rows, 'next_token': None})

    async def _refuse_order(self, _request):
        """Refuse an upkeep; the cases ask for that of leaving machines only."""
        return web.json_response({'reason': 'busy'}, status=409)

    async def _advise(self, request):
        body = await request.json()
        names = body['workers']
        terms = self.advice_terms
        wait = terms['decide_ms'] + terms['period_ms'] * len(names)
        await asyncio.sleep(wait / 1000)
        good = self.choose_good(body['step'], names)
        self.record.note(
            'advice', step=body['step'], workers=len(names), good=len(good)
        )
        rows = [[name, f'{body["step"]}-{name}'] for name in good]
        return web.json_response({'good': rows, 'valid_ms': terms['valid_ms']})


def make_config(routes, services, version=1):
    """Return a manifest; each route is its name, service and other fields."""
    return {
        'version': version,
        'routes': [
            {
                'name': name,
                'hostname': HOST,
                'prefix': f'/{name}/',
                'route_type': 'unsafe',
                'timeout_ms': 3000,
                'target_latency_ms': 600,
                'priority': 0,
                'service': service,
                'max_attempts': 3,
                'slack_factor': 1.6,
            }
            | fields
            for name, service, fields in routes
        ],
        'services': [
            {'name': name, 'enforce_limits': False, 'standby': False}
            for name in services
        ],
        'limits': {'max_body_bytes': 262144},
    }


def render(template, fields):
    """Fill in a template that uses only ``{{a.b|json}}``."""

    def replace(found):
        value = fields
        for name in found[1].split('.'):
            value = value[name]
        return json.dumps(value)

    return re.sub(r'\{\{([\w.]+)\|json\}\}', replace, template)


def has_trouble():
    """Return whether the disruption is wanted."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(play):
    """Run a case and return its exit status: 1 broken, 0 held, 2 no run.

    :param play: coroutine function of a stage; returns whether the rule held,
        or ``None`` when the case couldn't run.
    """
    folder = Path(os.environ['CASE_FOLDER'])
    # Calls that are cut off by the case itself need no trace.
    logging.getLogger('aiohttp').setLevel(logging.CRITICAL)

    async def run():
        own = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, own.cancel
        )
        stage = Stage(folder)
        try:
            async with asyncio.timeout(112):
                return await play(stage)
        except (TimeoutError, asyncio.CancelledError):
            return None
        finally:
            await stage.close()

    try:
        held = asyncio.run(run())
    except Exception:
        # A fault of the stand-ins says nothing about the rule.
        traceback.print_exc()
        held = None
    print({True: 'held', False: 'broken', None: 'could not run'}[held])
    return {True: 0, False: 1, None: 2}[held]
