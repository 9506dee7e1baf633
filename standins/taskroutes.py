"""HTTP routes for the tasks of a stand-in worker."""

import asyncio
import base64
import dataclasses
from typing import Any

from aiohttp import web

from standins.tasks import TaskRunner
from verbenapost.protocol.tasks import TaskOrder, TaskReports


class TaskRoutes:
    """Serves the tasks of one worker under ``/-/tasks``.

    :param runner: tasks of the worker.
    """

    def __init__(self, runner: TaskRunner) -> None:
        self.runner = runner

    def register(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_get('/-/tasks', self.list_tasks)
        app.router.add_post('/-/tasks', self.start)
        app.router.add_post('/-/tasks/renew', self.renew)
        app.router.add_post('/-/tasks/{task}/{action}', self.handle_action)

    async def list_tasks(self, _request: web.Request) -> web.Response:
        """Return the report of all tasks."""
        return _make_report_response(self.runner.report(_read_clock()))

    async def start(self, request: web.Request) -> web.Response:
        """Start a task; answer 409 when its attempt was replaced."""
        body = await request.json()
        body['task'] = body.pop('id')
        body['content'] = base64.b64decode(body.get('content', ''))
        return _make_response(
            self.runner.start(TaskOrder(**body), _read_clock())
        )

    async def renew(self, request: web.Request) -> web.Response:
        """Renew leases of tasks and return the report of all tasks."""
        body = await request.json()
        attempts = body['attempts']
        return _make_report_response(
            self.runner.renew(attempts, body['lease'], _read_clock())
        )

    async def handle_action(self, request: web.Request) -> web.Response:
        """Checkpoint, throttle or stop a task."""
        body = await request.json()
        task = request.match_info['task']
        attempt = body['attempt']
        now = _read_clock()
        match request.match_info['action']:
            case 'checkpoint':
                return _make_response(
                    self.runner.checkpoint(task, attempt, now)
                )
            case 'throttle':
                share = body['share']
                return _make_response(
                    self.runner.throttle(task, attempt, share, now)
                )
            case 'stop':
                return _make_response(self.runner.stop(task, attempt, now))
        raise web.HTTPNotFound

    def count_tasks(self) -> dict[str, Any]:
        """Return the task starts and completions by attempt or task."""
        self.runner.advance(_read_clock())
        return {
            'task_starts': self.runner.starts,
            'task_completions': self.runner.completions,
            'task_runs': self.runner.runs,
        }


def _read_clock() -> float:
    return asyncio.get_running_loop().time()


def _make_report_response(report: TaskReports) -> web.Response:
    return web.json_response(dataclasses.asdict(report))


def _make_response(accepted: bool) -> web.Response:  # noqa: FBT001
    if accepted:
        return web.json_response({})
    return web.json_response({'detail': 'replaced or unknown'}, status=409)
