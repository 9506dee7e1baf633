"""Stand-in for the platform's VM list and pool interface over HTTP.

Run it with ``python -m standins.vm_list --port 7200 --vms vms.json``; the
file holds a JSON array of VMs.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, final

import xxhash
from aiohttp import web

from standins.vm_platform import (
    Platform,
    PlatformVm,
    RefusedError,
    UnknownVmError,
)

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@final
class VmListServer:
    """HTTP interface of a :class:`Platform`."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self.calls: dict[str, int] = {}

    def build_app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(middlewares=[self._apply_faults])
        app.router.add_get('/vms', self._list_vms)
        app.router.add_get('/vms/{name}', self._inspect)
        app.router.add_post('/vms/{name}/drain', self._drain)
        app.router.add_post('/vms/{name}/reboot', self._reboot)
        app.router.add_post('/-/faults', self._set_faults)
        app.router.add_get('/-/calls', self._get_calls)
        app.router.add_post('/-/vms/{name}', self._change_vm)
        return app

    @web.middleware
    async def _apply_faults(
        self,
        request: web.Request,
        handler: _Handler,
    ) -> web.StreamResponse:
        if request.path.startswith('/-/'):
            return await handler(request)
        faults = self._platform.faults
        rng = self._platform.random
        await asyncio.sleep(faults.latency)
        if rng.random() < faults.refuse:
            return _make_error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, 'refused'
            )
        answer = await self._answer(request, handler)
        if rng.random() < faults.lose and request.transport is not None:
            request.transport.abort()
        return answer

    async def _answer(
        self,
        request: web.Request,
        handler: _Handler,
    ) -> web.StreamResponse:
        route = request.path.rpartition('/')[2]
        call = f'{request.method} {route}'
        if route not in {'vms', 'drain', 'reboot'}:
            call = f'{request.method} inspect'
        self.calls[call] = self.calls.get(call, 0) + 1
        try:
            return await handler(request)
        except UnknownVmError as missing:
            return _make_error_response(HTTPStatus.NOT_FOUND, str(missing))
        except RefusedError as refused:
            return _make_error_response(HTTPStatus.CONFLICT, str(refused))

    async def _list_vms(self, request: web.Request) -> web.Response:
        body = json.dumps({'vms': self._platform.list_vms()}).encode()
        headers = {'ETag': f'"{xxhash.xxh3_64_hexdigest(body)}"'}
        if request.headers.get('If-None-Match') == headers['ETag']:
            return web.Response(
                status=HTTPStatus.NOT_MODIFIED,
                headers=headers,
            )
        return web.Response(
            body=body,
            content_type='application/json',
            headers=headers,
        )

    async def _inspect(self, request: web.Request) -> web.Response:
        return _describe(self._platform.inspect(request.match_info['name']))

    async def _drain(self, request: web.Request) -> web.Response:
        body = await _read_json(request)
        name = request.match_info['name']
        return _describe(self._platform.drain(name, body.get('boot')))

    async def _reboot(self, request: web.Request) -> web.Response:
        body = await _read_json(request)
        platform_vm = self._platform.reboot(
            request.match_info['name'],
            body.get('pool', ''),
            body.get('boot'),
        )
        return _describe(platform_vm)

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            faults = self._platform.change_faults(await request.json())
        except TypeError as error:
            return _make_error_response(HTTPStatus.BAD_REQUEST, str(error))
        return web.json_response(dataclasses.asdict(faults))

    async def _get_calls(self, _request: web.Request) -> web.Response:
        return web.json_response(self.calls)

    async def _change_vm(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        body = await _read_json(request)
        try:
            platform_vm = self._change(name, body)
        except (TypeError, KeyError) as error:
            return _make_error_response(HTTPStatus.BAD_REQUEST, str(error))
        return _describe(platform_vm)

    def _change(self, name: str, body: dict[str, Any]) -> PlatformVm:
        if 'address' in body:
            return self._platform.add({**body, 'name': name})
        return self._platform.set_list_state(name, body['state'])


async def _read_json(request: web.Request) -> dict[str, Any]:
    if not request.can_read_body:
        return {}
    body: dict[str, Any] = await request.json()
    return body


def _describe(platform_vm: PlatformVm) -> web.Response:
    return web.json_response(
        {
            'name': platform_vm.name,
            'state': platform_vm.operation,
            'boot': platform_vm.boot,
            'pool': platform_vm.pool,
            'list_state': platform_vm.state,
        }
    )


def _make_error_response(status: HTTPStatus, detail: str) -> web.Response:
    return web.json_response({'detail': detail}, status=status)


def main() -> None:
    """Serve the VMs of a file until stopped."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--vms', type=pathlib.Path, required=True)
    parser.add_argument('--seed', type=int, default=0)
    options = parser.parse_args()
    platform = Platform(time.monotonic, options.seed)
    for row in json.loads(options.vms.read_text()):
        platform.add(row)
    app = VmListServer(platform).build_app()
    web.run_app(app, host=options.host, port=options.port, print=None)


if __name__ == '__main__':
    main()
