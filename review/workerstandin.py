"""A worker that runs subtasks under leases, as the platform's pages tell.

Its runs take the time that the job's payload names: ``work_ms=4000``.
"""

import asyncio
import dataclasses
import re
import time

from aiohttp import web

from proxystandin import Proxy

#: Longest lease of a run in milliseconds (``max_hold_ms``).
MAX_HOLD_MS = 6000

#: Milliseconds from the start of a lasting subtask until it is at work.
STARTUP_MS = 700

#: Seconds between two pings.
HEARTBEAT_SECONDS = 1.5

#: Ends of runs that one report lists at most.
MAX_LISTED_ENDS = 500

_WORK = re.compile(r'work_ms=(\d+)')


@dataclasses.dataclass
class Run:
    """A run of a subtask on a worker."""

    number: int
    started_ms: int
    ends_ms: float
    how: str


class Worker:
    """One life of a machine.

    :param name: identity, the part of its key after ``servers/``.
    :param machine: name of its machine.
    :param platform: the platform, which has the record and the store.
    """

    def __init__(self, name, machine, service, capacity, rack, platform):
        self.name = name
        self.machine = machine
        self.service = service
        self.capacity = capacity
        self.rack = rack
        self.platform = platform
        self.address = ''
        self.up = True
        self._begin_life()
        self.proxy = None
        self._runner = None
        self._clock_task = None

    def _begin_life(self):
        """Begin anew: a life holds and knows nothing of those before."""
        self.born = round(time.time() * 1000)
        self.runs = {}
        self.ends = []
        self._origin = time.monotonic()
        self._token = 0
        self._deadline_ms = 0
        self._numbers = 0
        self._refused_runs = {}
        self._ended = asyncio.Event()

    async def restart(self, seconds):
        """Crash, and start again under the same id and address.

        The entry is written at the start and with each ping until the store
        has taken it.
        """
        self.platform.record(f'worker {self.name}: crashes')
        for task, run in list(self.runs.items()):
            self.platform.note_end(self, task, run.number, 'killed')
        self.runs.clear()
        self.proxy.refusing = True
        self.proxy.reset()
        await asyncio.sleep(seconds)
        self._begin_life()
        self.proxy.refusing = False
        self.platform.record(f'worker {self.name}: starts again')
        while not self.platform.register(self):
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def start(self):
        """Listen on a free port and register."""
        app = web.Application(middlewares=[self._check_instance])
        app.router.add_post('/-/run-start', self._handle_start)
        app.router.add_post('/-/run-stop', self._handle_stop)
        app.router.add_post('/-/hold', self._handle_hold)
        app.router.add_post('/-/pace', self._handle_pace)
        app.router.add_get('/health', self._handle_health)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.proxy = Proxy(port)
        self.address = await self.proxy.start()
        self._clock_task = asyncio.create_task(self._advance())
        self.platform.register(self)

    async def end(self):
        """End this life: all that runs here ends and nothing answers."""
        if not self.up:
            return
        self.up = False
        for task, run in list(self.runs.items()):
            self.platform.note_end(self, task, run.number, 'killed')
        self.runs.clear()
        self._clock_task.cancel()
        await self.proxy.stop()
        await self._runner.cleanup()

    def read_clock(self):
        """Return milliseconds on the worker's steady clock."""
        return 5000 + round((time.monotonic() - self._origin) * 1000)

    async def _advance(self):
        while self.up:
            await asyncio.sleep(0.01)
            now = self.read_clock()
            for task, run in list(self.runs.items()):
                if now > self._deadline_ms:
                    self._end_run(task, 'lapsed')
                elif now >= run.ends_ms:
                    self._end_run(task, run.how)

    def _end_run(self, task, how):
        run = self.runs.pop(task)
        self._numbers += 1
        self.ends.append([self._numbers, task, run.number, how, ''])
        self._refuse_up_to(task, run.number)
        self.platform.note_end(self, task, run.number, how)
        self._ended.set()
        self._ended = asyncio.Event()

    def _refuse_up_to(self, task, run):
        self._refused_runs[task] = max(self._refused_runs.get(task, 0), run)

    def _extend(self, deadline_ms):
        latest = self.read_clock() + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))

    def _is_fenced(self, fields):
        token = fields.get('fencing_token', 0)
        if token < self._token:
            return True
        self._token = token
        return False

    @web.middleware
    async def _check_instance(self, request, handler):
        expected = request.headers.get('X-Verbenapost-Expect-Instance')
        if expected is not None and expected != self.name:
            return web.json_response({}, status=421)
        return await handler(request)

    def _answer(self, fields=None, status=200):
        body = {'clock_ms': self.read_clock(), 'born': self.born}
        return web.json_response(body | (fields or {}), status=status)

    async def _handle_health(self, _request):
        return web.Response()

    async def _handle_start(self, request):
        fields = await request.json()
        task, number = fields['task'], fields['run']
        reason = self._find_refusal(fields)
        self.platform.record(
            f'worker {self.name}: start {task} run {number} '
            f'token {fields.get("fencing_token", 0)} -> {reason or "ok"}'
        )
        if reason:
            return self._answer({'reason': reason}, 409)
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return self._answer()
        if current is not None:
            self._end_run(task, 'stopped')
        self._extend(fields['deadline_ms'])
        now = self.read_clock()
        lasting = self.platform.is_lasting(task)
        seconds, how = self.platform.draw_run(self, task, number)
        match = _WORK.search(fields['spec'])
        work_ms = int(match[1]) if match else 1000
        if seconds is not None:
            work_ms = seconds * 1000
        ends_ms = float('inf') if lasting else now + work_ms
        self.runs[task] = Run(number, now, ends_ms, how)
        self.platform.note_start(self, task, number, fields)
        return self._answer()

    def _find_refusal(self, fields):
        task, number = fields['task'], fields['run']
        if self._is_fenced(fields):
            return 'fence'
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return ''
        if number <= self._refused_runs.get(task, 0):
            self._extend(fields['deadline_ms'])
            return 'old'
        if self.read_clock() > fields['deadline_ms']:
            return 'late'
        if not self.platform.is_ticket_valid(self, task, fields.get('ticket')):
            return 'ticket'
        return ''

    async def _handle_stop(self, request):
        fields = await request.json()
        if self._is_fenced(fields):
            return self._answer({'reason': 'fence'}, 409)
        task, number = fields['task'], fields['run']
        self.platform.record(f'worker {self.name}: stop {task} run {number}')
        self._refuse_up_to(task, number)
        current = self.runs.get(task)
        if current is not None and current.number <= number:
            self._end_run(task, 'stopped')
        return self._answer()

    async def _handle_pace(self, request):
        fields = await request.json()
        if self._is_fenced(fields):
            return self._answer({'reason': 'fence'}, 409)
        return self._answer()

    async def _handle_hold(self, request):
        fields = await request.json()
        if self._is_fenced(fields):
            return self._answer({'reason': 'fence'}, 409)
        seen = fields.get('last_seen', 0)
        for row in self.ends:
            if row[0] <= seen:
                self.platform.note_taken(self, row)
        self.ends = [row for row in self.ends if row[0] > seen]
        if 'deadline_ms' in fields:
            self._extend(fields['deadline_ms'])
        wait = min(fields.get('wait_ms', 0), 2000) / 1000
        if wait and not self.ends:
            try:
                async with asyncio.timeout(wait):
                    await self._ended.wait()
            except TimeoutError:
                pass
        return self._answer(
            {
                'running': [
                    self._list(task, run) for task, run in self.runs.items()
                ],
                'ended_runs': self.ends[:MAX_LISTED_ENDS],
            }
        )

    def _list(self, task, run):
        passed = self.read_clock() - run.started_ms
        whole = min(run.ends_ms - run.started_ms, STARTUP_MS)
        percent = min(100, round(passed / max(whole, 1) * 100))
        return [task, run.number, '', percent, 500]
