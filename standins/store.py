"""The store's stand-in over HTTP and JSON.

Explanation
===========

Each operation is a ``POST /v1/<operation>`` with a JSON object; values are
base64 text. ``GET /-/calls`` shows the number of calls by kind, and
``POST /-/faults`` sets faults.
"""

import asyncio
import base64
import contextlib
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, cast

import fire
import uvicorn
from result import Err, Ok, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from standins.faults import update_faults
from standins.journal import JournaledCore
from standins.memory import MemoryStore
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.store import Entry, Event

#: Seconds that a call without an answer stays open.
HELD_SECONDS = 3600.0

#: Seconds that open calls get to end at shutdown.
SHUTDOWN_SECONDS = 1

Operation = Callable[[MemoryStore, Any], Awaitable[Any]]

_OPERATIONS: dict[str, Operation] = {}


def register_operation(name: str) -> Callable[[Operation], Operation]:
    """Register the handler of an operation under its name."""

    def decorate(operation: Operation) -> Operation:
        _OPERATIONS[name] = operation
        return operation

    return decorate


def show_entry(entry: Entry | None) -> dict[str, Any] | None:
    """Return an entry in its JSON form."""
    if entry is None:
        return None
    return {
        'key': entry.key,
        'value': base64.b64encode(entry.value).decode(),
        'revision': entry.revision,
        'lease': entry.lease,
    }


def show_event(event: Event) -> dict[str, Any]:
    """Return a change in its JSON form."""
    encoded = None
    if event.value is not None:
        encoded = base64.b64encode(event.value).decode()
    return {'key': event.key, 'value': encoded, 'revision': event.revision}


@register_operation('get')
async def get_entry(store: MemoryStore, call: Any) -> Any:
    """Read one key."""
    return (await store.get(call['key'])).map(show_entry)


@register_operation('list')
async def list_entries(store: MemoryStore, call: Any) -> Any:
    """Read all keys that start with a prefix."""
    listing = await store.list_prefix(call['prefix'])
    return listing.map(
        lambda found: {
            'entries': [show_entry(entry) for entry in found.entries],
            'revision': found.revision,
        }
    )


@register_operation('swap')
async def swap_value(store: MemoryStore, call: Any) -> Any:
    """Write a key when its revision is the expected one."""
    value = base64.b64decode(call['value'], validate=True)
    lease = call.get('lease', '')
    return await store.swap(call['key'], call['expected'], value, lease)


@register_operation('delete')
async def delete_key(store: MemoryStore, call: Any) -> Any:
    """Delete a key when its revision is the expected one."""
    return await store.delete(call['key'], call['expected'])


@register_operation('grant_lease')
async def grant_lease(store: MemoryStore, call: Any) -> Any:
    """Create a lease."""
    return await store.grant_lease(call['ttl'])


@register_operation('renew_lease')
async def renew_lease(store: MemoryStore, call: Any) -> Any:
    """Renew a lease."""
    return await store.renew_lease(call['lease'])


@register_operation('revoke_lease')
async def revoke_lease(store: MemoryStore, call: Any) -> Any:
    """End a lease."""
    return await store.revoke_lease(call['lease'])


@register_operation('watch')
async def watch_prefix(store: MemoryStore, call: Any) -> Any:
    """Wait for changes."""
    batch = await store.watch(call['prefix'], call['after'], call['wait'])
    return batch.map(
        lambda found: {
            'events': [show_event(event) for event in found.events],
            'revision': found.revision,
            'truncated': found.truncated,
        }
    )


class StoreApplication:
    """HTTP routes of the stand-in.

    :param seed: seed of all chances of faults.
    :param history: changes that the watch history holds.
    """

    def __init__(self, seed: int, history: int) -> None:
        self._core = JournaledCore(history)
        self.store = MemoryStore(self._core, time.monotonic, seed, HELD_SECONDS)
        self._bytes: Counter[str] = Counter()
        self._open: set[asyncio.Task[Any]] = set()

    def build(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route('/v1/{name}', self.call_operation, methods=['POST']),
                Route('/-/calls', self.show_calls),
                Route('/-/faults', self.set_faults, methods=['POST']),
                Route('/-/journal', self.show_journal),
                Route('/-/ready', self.show_calls),
            ]
        )

    async def call_operation(self, request: Request) -> JSONResponse:
        """Run one operation of the store."""
        name = request.path_params['name']
        operation = _OPERATIONS.get(name)
        if operation is None:
            return JSONResponse({'detail': 'unknown operation'}, 404)
        body = await request.body()
        self._bytes[name] += len(body)
        try:
            outcome = await self._track(operation, await request.json())
        except (KeyError, TypeError, ValueError) as fault:
            return JSONResponse({'detail': repr(fault)}, 400)
        except asyncio.CancelledError:
            return JSONResponse({'detail': 'the server ends'}, 500)
        return answer_result(outcome)

    def end_calls(self) -> None:
        """Answer the calls that still wait, without saying what they did."""
        for task in self._open:
            task.cancel()

    async def show_calls(self, _request: Request) -> JSONResponse:
        """Show the calls and request bytes so far by kind."""
        return JSONResponse(
            {
                'calls': dict(self.store.calls),
                'bytes': dict(self._bytes),
                'revision': self.store.core.revision,
            }
        )

    async def show_journal(self, _request: Request) -> JSONResponse:
        """Show every change of a VM record with its time."""
        rows = [
            {'at': at, **show_event(event)} for at, event in self._core.journal
        ]
        return JSONResponse({'events': rows})

    async def set_faults(self, request: Request) -> JSONResponse:
        """Set faults; ``expire_leases`` and ``truncate`` act at once."""
        changes = await request.json()
        if changes.pop('expire_leases', False):
            self.store.core.expire_all_leases()
        if changes.pop('truncate', False):
            self.store.core.truncate_history()
        try:
            update_faults(self.store.faults, changes)
        except (TypeError, ValueError) as fault:
            return JSONResponse({'detail': str(fault)}, 400)
        return JSONResponse({})

    async def _track(self, operation: Operation, call: Any) -> Any:
        task = asyncio.ensure_future(operation(self.store, call))
        self._open.add(task)
        task.add_done_callback(self._open.discard)
        return await task


def answer_result(outcome: Result[Any, Failure]) -> JSONResponse:
    """Return the HTTP form of a result."""
    if isinstance(outcome, Ok):
        return JSONResponse({'result': outcome.ok_value})
    failure = cast('Err[Failure]', outcome).err_value
    return JSONResponse(
        {'kind': failure.kind, 'detail': failure.detail},
        failure.answer.status,
    )


class StandinServer(uvicorn.Server):
    """Server that reports when it listens and ends with status 0."""

    def __init__(
        self, config: uvicorn.Config, application: StoreApplication
    ) -> None:
        super().__init__(config)
        self._application = application

    async def startup(self, sockets: Any = None) -> None:
        """Listen, then print the address."""
        await super().startup(sockets)
        if self.should_exit:
            return
        address = f'{self.config.host}:{self.config.port}'
        sys.stderr.write(f'store: ready at {address}\n')
        sys.stderr.flush()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """End gracefully on SIGTERM and SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop)
        yield

    def _stop(self) -> None:
        self.should_exit = True
        self._application.end_calls()


def run_store(
    port: int,
    host: str = '127.0.0.1',
    seed: int = 0,
    history: int = 10_000,
) -> None:
    """Run the store's stand-in until SIGTERM or SIGINT.

    :param port: TCP port to listen on.
    :param host: IP number to listen on.
    :param seed: seed of all chances of faults.
    :param history: changes that the watch history holds.
    """
    application = StoreApplication(seed, history)
    config = uvicorn.Config(
        application.build(),
        host=host,
        port=port,
        http='httptools',
        loop='asyncio',
        lifespan='off',
        log_level='error',
        access_log=False,
        timeout_graceful_shutdown=SHUTDOWN_SECONDS,
    )
    asyncio.run(StandinServer(config, application).serve())


if __name__ == '__main__':
    fire.Fire(run_store)
