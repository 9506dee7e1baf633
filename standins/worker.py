"""Stand-in for workers: several targets in one process.

The header ``X-Run-Seconds`` gives the duration of a run and
``X-Answer-Bytes`` the least size of its answer. ``GET /-/runs`` returns the
number of runs by key, by request identifier and by task, and
``GET /-/history`` each run with its start in Unix time; ``POST /-/faults``
sets faults. Accepted jobs run as tasks under ``/-/tasks``.
"""

import asyncio
import collections
import dataclasses
import json
import signal
import sys
import time
from typing import Any

import fire
from aiohttp import web

from standins.taskroutes import TaskRoutes
from standins.tasks import TaskRunner

#: Largest accepted request body in bytes.
MAX_BODY_BYTES = 64 * 1024 * 1024

_FAULT_NAMES = ('slow', 'fail_all', 'cut', 'cross', 'late', 'refuse')


@dataclasses.dataclass
class Faults:
    """Faults of one target.

    :param slow: seconds added to each run.
    :param fail_all: answer 500 at once, as a broken worker does.
    :param cut: break the connection in the middle of each answer.
    :param cross: send the whole answer of the previous request.
    :param late: seconds between the end of a run and its answer.
    :param refuse: close each connection before a request runs.
    """

    slow: float = 0
    fail_all: bool = False
    cut: bool = False
    cross: bool = False
    late: float = 0
    refuse: bool = False


class Target:
    """One target with its own port, runs and faults."""

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.faults = Faults()
        self.keys: collections.Counter[str] = collections.Counter()
        self.requests: collections.Counter[str] = collections.Counter()
        self.starts: dict[str, float] = {}
        self.running = 0
        self.most_running = 0
        self.history: list[dict[str, Any]] = []
        self._previous: tuple[str, bytes] = ('none', b'{}')
        self.tasks = TaskRoutes(TaskRunner())

    def make_app(self) -> web.Application:
        """Return the web application of this target."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get('/-/runs', self.list_runs)
        app.router.add_get('/-/history', self.list_history)
        app.router.add_post('/-/faults', self.set_faults)
        self.tasks.register(app)
        app.router.add_route('*', '/{path:.*}', self.run)
        return app

    async def list_runs(self, _request: web.Request) -> web.Response:
        """Return the numbers of runs by key, request and task."""
        return web.json_response(
            {
                'name': self.name,
                'service': self.service,
                'keys': self.keys,
                'requests': self.requests,
                'starts': self.starts,
                'running': self.running,
                'most_running': self.most_running,
                **self.tasks.count_tasks(),
            }
        )

    async def list_history(self, _request: web.Request) -> web.Response:
        """Return all runs in the order of their starts."""
        return web.json_response({'name': self.name, 'runs': self.history})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace all faults by those in the body."""
        new_faults = await request.json()
        unknown = set(new_faults) - set(_FAULT_NAMES)
        if unknown:
            raise web.HTTPBadRequest(text=f'unknown faults {sorted(unknown)}')
        self.faults = Faults(**new_faults)
        self.tasks.runner.fail_all = self.faults.fail_all
        return web.json_response(dataclasses.asdict(self.faults))

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Run a request and answer it."""
        if self.faults.refuse and request.transport is not None:
            request.transport.abort()
            return web.Response()
        body = await request.read()
        self._record_start(request)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await self._simulate_run(request)
        finally:
            self.running -= 1
        return await self._answer(request, body)

    def _record_start(self, request: web.Request) -> None:
        key = request.headers.get('Idempotency-Key')
        request_id = request.headers.get('X-Request-Id', '')
        self.requests[request_id] += 1
        self.starts[request_id] = asyncio.get_running_loop().time()
        if key:
            self.keys[key] += 1
        self.history.append(
            {
                'request_id': request_id,
                'key': key or '',
                'path': request.path,
                'started_at': time.time(),
            }
        )

    async def _simulate_run(self, request: web.Request) -> None:
        if self.faults.fail_all:
            return
        seconds = float(request.headers.get('X-Run-Seconds', 0))
        seconds += self.faults.slow
        if seconds > 0:
            await asyncio.sleep(seconds)

    async def _answer(
        self,
        request: web.Request,
        body: bytes,
    ) -> web.StreamResponse:
        faults = self.faults
        request_id = request.headers.get('X-Request-Id', '')
        if faults.late > 0:
            await asyncio.sleep(faults.late)
        content = self._make_content(request, request_id, len(body))
        own_answer = (request_id, content)
        shown_id, content = self._previous if faults.cross else own_answer
        self._previous = own_answer
        if faults.cut:
            return await self._send_truncated(request, shown_id, content)
        return web.Response(
            status=500 if faults.fail_all else 200,
            body=content,
            content_type='application/json',
            headers={'X-Request-Id': shown_id},
        )

    def _make_content(
        self,
        request: web.Request,
        request_id: str,
        received: int,
    ) -> bytes:
        size = int(request.headers.get('X-Answer-Bytes', 0))
        fields: dict[str, Any] = {
            'target': self.name,
            'service': self.service,
            'path': request.path,
            'request_id': request_id,
            'received': received,
        }
        content = json.dumps(fields).encode()
        return content.ljust(size)

    async def _send_truncated(
        self,
        request: web.Request,
        shown_id: str,
        content: bytes,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={'X-Request-Id': shown_id})
        response.content_length = len(content)
        await response.prepare(request)
        await response.write(content[: len(content) // 2])
        if request.transport is not None:
            request.transport.close()
        return response


async def serve(targets: list[dict[str, Any]], host: str) -> None:
    """Serve each target on its port until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    runners = []
    for row in targets:
        target = Target(row['name'], row['service'])
        runner = web.AppRunner(target.make_app(), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host, row['port']).start()
        runners.append(runner)
    sys.stderr.write(f'worker: serving {len(runners)} targets\n')
    await stop.wait()
    for served in runners:
        await served.cleanup()


def main(targets: str, host: str = '127.0.0.1') -> None:
    """Serve the targets of a JSON text ``[{"name","service","port"}]``.

    :param targets: JSON text, or as fire has already parsed it.
    """
    rows = json.loads(targets) if isinstance(targets, str) else targets
    asyncio.run(serve(list(rows), host))


if __name__ == '__main__':
    fire.Fire(main)
