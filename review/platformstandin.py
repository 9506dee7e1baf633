"""The platform of a small deployment: its store, its machines and its policy.

It does what the platform's pages tell. A case sets ``choose_fate``, which says
what happens to a call that orders a machine.
"""

import asyncio
import base64
import itertools
import json
import time

from aiohttp import web

from workerstandin import HEARTBEAT_SECONDS, Worker

#: Seconds of a move and of an upkeep.
MOVE_SECONDS = 1.5
MAINTENANCE_SECONDS = 2.0

#: What happens to an order: it is carried out and answered; it is carried out
#: and its answer is lost; it gets no answer and is carried out late.
ANSWERED = 'answered'
LOST = 'answer lost'
LATE = 'late'

#: Longest time for which a call without an answer is kept open, in seconds.
SILENT_SECONDS = 30


class Store:
    """The metadata store: keys, one revision, leases and a history."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.history = []
        self._changed = asyncio.Event()
        self._numbers = itertools.count(1001)
        self.down = False

    @web.middleware
    async def refuse_while_down(self, request, handler):
        """Answer 503 while the store is down; nothing is done then."""
        if self.down and request.path.startswith('/-/kv-'):
            return web.json_response({}, status=503)
        return await handler(request)

    async def go_down(self, seconds):
        """Be down for some seconds; leases pause meanwhile."""
        self.down = True
        await asyncio.sleep(seconds)
        self.leases = {
            lease: (ttl_ms, until + seconds)
            for lease, (ttl_ms, until) in self.leases.items()
        }
        self.down = False

    def put(self, key, value, lease=0):
        """Write a key as the operator or a worker does."""
        self.revision += 1
        self._write(key, value, lease)
        self._notify()

    def remove(self, key):
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            self._drop(key)
            self._notify()

    def add_routes(self, router):
        """Add the routes of the store."""
        router.add_get('/-/kv-key', self._handle_key)
        router.add_get('/-/kv-range', self._handle_range)
        router.add_get('/-/kv-watch', self._handle_watch)
        router.add_post('/-/kv-txn', self._handle_transaction)
        router.add_post('/-/kv-lease', self._handle_lease)
        router.add_post('/-/kv-keep/{lease}', self._handle_keep)
        router.add_delete('/-/kv-lease-end/{lease}', self._handle_lease_end)

    async def expire_leases(self):
        """End the leases that have expired until cancelled."""
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if now > until and not self.down:
                    self._end_lease(lease)

    def _write(self, key, value, lease):
        known = self.items.get(key)
        created = known['created'] if known else self.revision
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _drop(self, key):
        self.items.pop(key)
        self.history.append(
            {'key': key, 'revision': self.revision, 'removed': True}
        )

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)
        return True

    def _get_revision(self, key):
        item = self.items.get(key)
        return item['revision'] if item else 0

    async def _handle_key(self, request):
        item = self.items.get(request.query['key'])
        if item is None:
            body = {'store_revision': self.revision}
            return web.json_response(body, status=404)
        return web.json_response(item | {'store_revision': self.revision})

    async def _handle_range(self, request):
        prefix, after = request.query['prefix'], request.query.get('after', '')
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        return web.json_response(
            {
                'items': found[:500],
                'truncated': len(found) > 500,
                'store_revision': self.revision,
            }
        )

    async def _handle_watch(self, request):
        prefix = request.query['prefix']
        after = int(request.query['after'])
        until = time.monotonic() + int(request.query['wait_ms']) / 1000
        while True:
            found = [
                row
                for row in self.history
                if row['revision'] > after and row['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if self.down:
                return web.json_response({}, status=503)
            if found or left <= 0:
                body = {'events': found, 'store_revision': self.revision}
                return web.json_response(body)
            try:
                async with asyncio.timeout(min(left, 0.1)):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _handle_transaction(self, request):
        fields = await request.json()
        expected = fields.get('expect', [])
        writes, removed = fields.get('writes', []), fields.get('remove', [])
        if len(expected) + len(writes) + len(removed) > 32:
            return web.json_response({}, status=400)
        if any(
            self._get_revision(row['key']) != row['revision']
            for row in expected
        ):
            found = [
                self.items[row['key']]
                for row in expected
                if row['key'] in self.items
            ]
            return web.json_response({'items': found}, status=412)
        for row in writes:
            if row.get('lease') and row['lease'] not in self.leases:
                return web.json_response({}, status=404)
            if row['key'].startswith(('op/', 'servers/')):
                return web.json_response({}, status=403)
        self.revision += 1
        for row in writes:
            value = base64.b64decode(row['value'])
            self._write(row['key'], value, row.get('lease', 0))
        for key in removed:
            if key in self.items:
                self._drop(key)
        self._notify()
        return web.json_response({'revision': self.revision})

    async def _handle_lease(self, request):
        ttl_ms = max(1000, (await request.json())['ttl_ms'])
        lease = next(self._numbers)
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return web.json_response({'lease': lease, 'ttl_ms': ttl_ms})

    async def _handle_keep(self, request):
        lease = int(request.match_info['lease'])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        ttl_ms, _ = self.leases[lease]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return web.json_response({'ttl_ms': ttl_ms})

    async def _handle_lease_end(self, request):
        ended = self._end_lease(int(request.match_info['lease']))
        return web.json_response({}, status=200 if ended else 404)


class Machine:
    """A machine of the platform, which has one worker at a time."""

    def __init__(self, name, pool, capacity, rack):
        self.name = name
        self.pool = pool
        self.capacity = capacity
        self.rack = rack
        self.state = 'up'
        self.worker = None
        self.token = 0
        self.waves = set()


class Platform:
    """Store, machines, workers and the service that gives advice.

    :param record: writes a line into the record of the case.
    :ivar starts: starts of runs: time, worker, subtask, run.
    :ivar ends: ends of runs: time, worker, subtask, run, how.
    :ivar upkeeps: begun upkeeps: time, machine, wave, machines then down.
    :ivar choose_fate: returns what happens to an order for a machine.
    :ivar draw_run: returns the seconds of a run, or None for those of the
        payload, and how it ends.
    """

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.machines = {}
        self.standby = ''
        self.jobs = {}
        self.starts = []
        self.ends = []
        self.taken = []
        self.upkeeps = []
        self.advice = {}
        self.choose_fate = lambda kind, machine: (ANSWERED, 0)
        self.draw_run = lambda worker, task, run: (None, 'done')
        self.address = ''
        self._tickets = {}
        self._numbers = itertools.count(1)
        self._tasks = set()
        self._runner = None

    async def start(self):
        """Listen on a free port."""
        app = web.Application(middlewares=[self.store.refuse_while_down])
        self.store.add_routes(app.router)
        app.router.add_get('/-/machines', self._handle_machines)
        app.router.add_post('/-/machine-move', self._handle_move)
        app.router.add_post('/-/machine-upkeep', self._handle_upkeep)
        app.router.add_post('/-/advise', self._handle_advise)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        self.address = f'127.0.0.1:{self._runner.addresses[0][1]}'
        self.spawn(self.store.expire_leases())

    async def stop(self):
        """End all workers and stop to listen."""
        for task in list(self._tasks):
            task.cancel()
        for machine in self.machines.values():
            if machine.worker is not None:
                await machine.worker.end()
        await self._runner.cleanup()

    def spawn(self, work):
        """Run a coroutine in the background."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def add_machine(self, pool, cpu=4000, rack='r1'):
        """Add a machine to a pool."""
        name = f'm-{next(self._numbers):03d}'
        capacity = {'cpu': cpu, 'mem_mb': 16000, 'gpu': 0}
        machine = Machine(name, pool, capacity, rack)
        self.machines[name] = machine
        await self._bring_up(machine)
        return machine

    def register(self, worker):
        """Write the entry of a worker and return whether that succeeded."""
        if self.store.down:
            return False
        entry = {
            'service': worker.service,
            'address': worker.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'capacity': worker.capacity,
            'labels': ['a', worker.rack],
            'machine': worker.machine,
            'born': worker.born,
        }
        self.record(
            f'worker {worker.name}: registers, machine {worker.machine}, '
            f'service {worker.service}'
        )
        self.store.put(f'servers/{worker.name}', json.dumps(entry).encode())
        return True

    def configure(self, version, routes, services):
        """Write a manifest; its confirmation is immediate."""
        manifest = {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': {},
        }
        self.record(
            f'operator: manifest {version}, queues '
            f'{[row["name"] for row in routes]}'
        )
        self.store.put('op/config', json.dumps(manifest).encode())

    def request_wave(self, number, machines, duration, cap):
        """Request an upkeep of machines."""
        wave = {
            'wave': number,
            'machines': machines,
            'duration_s': duration,
            'cap': cap,
        }
        self.record(f'operator: wave {number}, cap {cap}, {machines}')
        self.store.put(f'op/wave/{number}', json.dumps(wave).encode())

    def is_lasting(self, task):
        """Return whether a subtask lasts until its job is cancelled."""
        return self._find_step(task).get('long_running', False)

    def is_ticket_valid(self, worker, task, ticket):
        """Return whether a start carries a ticket, where it needs one."""
        job = task.partition('.')[0]
        if not self.jobs.get(job, {}).get('advised'):
            return True
        known = self._tickets.get((task.rpartition('.')[0], worker.name))
        return (
            known is not None
            and known == (ticket, known[1])
            and (time.monotonic() < known[1])
        )

    def note_start(self, worker, task, run, fields):
        """Record a start."""
        self.starts.append((time.monotonic(), worker.name, task, run))

    def note_end(self, worker, task, run, how):
        """Record the end of a run."""
        self.record(f'worker {worker.name}: end {task} run {run} {how}')
        self.ends.append((time.monotonic(), worker.name, task, run, how))

    def note_taken(self, worker, row):
        """Record that an end was taken note of."""
        self.record(
            f'worker {worker.name}: end {row[0]} of {row[1]} run {row[2]} '
            f'{row[3]} is taken note of'
        )
        self.taken.append((time.monotonic(), worker.name, *row[1:4]))

    def silence_workers(self):
        """Let all open connections to workers go silent; new ones work."""
        counts = {
            machine.worker.name: machine.worker.proxy.silence()
            for machine in self.machines.values()
            if machine.worker is not None
        }
        self.record(f'open connections to workers go silent: {counts}')

    def find_overlaps(self):
        """Return the pairs of runs of one subtask that ran side by side."""
        spans = {}
        for at, worker, task, run in self.starts:
            spans.setdefault(task, []).append([at, float('inf'), worker, run])
        for at, worker, task, run, _how in self.ends:
            for span in spans.get(task, ()):
                if span[2:] == [worker, run]:
                    span[1] = at
        now = time.monotonic()
        found = []
        for task, rows in spans.items():
            for first, second in itertools.combinations(sorted(rows), 2):
                shared = min(first[1], second[1], now) - second[0]
                if shared > 0:
                    found.append((task, first, second, shared))
        return found

    def _find_step(self, task):
        job, _, number, _ = task.split('.')
        return self.jobs[job]['steps'][int(number)]

    async def crash_rack(self, rack, seconds):
        """Let the workers of a rack crash; they are back after some seconds."""
        machines = [row for row in self.machines.values() if row.rack == rack]
        self.record(f'rack {rack} crashes: {[row.name for row in machines]}')
        for machine in machines:
            await self._take_down(machine, 'down', seconds)

    async def _bring_up(self, machine):
        machine.state = 'up'
        if machine.pool == self.standby:
            return
        worker = Worker(
            f'i-{next(self._numbers):04d}',
            machine.name,
            machine.pool,
            machine.capacity,
            machine.rack,
            self,
        )
        machine.worker = worker
        await worker.start()

    async def _take_down(self, machine, state, seconds):
        machine.state = state
        worker, machine.worker = machine.worker, None
        if worker is not None:
            self.spawn(self._remove_entry(worker))
            await worker.end()
        self.spawn(self._return_later(machine, seconds))

    async def _return_later(self, machine, seconds):
        await asyncio.sleep(seconds)
        await self._bring_up(machine)

    async def _remove_entry(self, worker):
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        self.store.remove(f'servers/{worker.name}')

    async def _handle_machines(self, _request):
        rows = []
        for machine in self.machines.values():
            worker = machine.worker
            rows.append(
                {
                    'machine': machine.name,
                    'pool': machine.pool,
                    'state': machine.state,
                    'zone': 'zone-a',
                    'labels': ['a', machine.rack],
                    'capacity': machine.capacity,
                    'id': worker.name if worker else None,
                }
            )
        return web.json_response({'machines': rows, 'next_token': None})

    async def _handle_move(self, request):
        fields = await request.json()

        async def execute(machine):
            if machine.pool == fields['pool']:
                return ''
            if machine.state != 'up':
                return 'busy'
            machine.pool = fields['pool']
            await self._take_down(machine, 'moving', MOVE_SECONDS)
            return ''

        return await self._order('move', request, fields, execute)

    async def _handle_upkeep(self, request):
        fields = await request.json()
        wave = fields['wave']

        async def execute(machine):
            if wave in machine.waves:
                return ''
            if machine.state != 'up':
                return 'busy'
            machine.waves.add(wave)
            down = [
                row.name
                for row in self.machines.values()
                if row.state == 'upkeep'
            ]
            self.upkeeps.append((time.monotonic(), machine.name, wave, down))
            self.record(
                f'machine {machine.name}: upkeep of wave {wave} begins, '
                f'down already: {down}'
            )
            await self._take_down(machine, 'upkeep', MAINTENANCE_SECONDS)
            return ''

        return await self._order('upkeep', request, fields, execute)

    async def _order(self, kind, request, fields, execute):
        machine = self.machines.get(fields['machine'])
        if machine is None:
            return web.json_response({}, status=400)
        holder = request.headers['X-Verbenapost-Duty-Holder']
        token = int(request.headers['X-Verbenapost-Fencing-Token'])
        fate, delay = self.choose_fate(kind, machine.name)
        name = f'order by {holder} token {token}: {kind} {machine.name}'

        async def carry_out():
            if token < machine.token:
                return 'fence'
            machine.token = token
            return await execute(machine)

        if fate == LATE:
            self.record(f'{name}: no answer, carried out in {delay} s')
            self.spawn(self._carry_out_later(name, carry_out, delay))
            await asyncio.sleep(SILENT_SECONDS)
        reason = await carry_out()
        if fate == LOST:
            self.record(f'{name}: {reason or "carried out"}, answer lost')
            await asyncio.sleep(SILENT_SECONDS)
        self.record(f'{name}: {reason or "ok"}')
        if reason:
            return web.json_response({'reason': reason}, status=409)
        return web.json_response({})

    async def _carry_out_later(self, name, carry_out, delay):
        await asyncio.sleep(delay)
        reason = await carry_out()
        self.record(f'{name}: late, {reason or "carried out"}')

    async def _handle_advise(self, request):
        fields = await request.json()
        terms = self.advice
        named = fields['workers']
        seconds = terms['decide_ms'] + terms['period_ms'] * len(named)
        await asyncio.sleep(seconds / 1000)
        good = []
        until = time.monotonic() + terms['valid_ms'] / 1000
        for name in named:
            ticket = f'c{next(self._numbers)}'
            self._tickets[fields['step'], name] = (ticket, until)
            good.append([name, ticket])
        self.record(f'advice: step {fields["step"]}, {len(named)} workers')
        return web.json_response({'good': good, 'valid_ms': terms['valid_ms']})
