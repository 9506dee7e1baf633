"""Stand-in for the store over HTTP and JSON.

Explanation
===========

Each operation is a ``POST /v1/<operation>`` with a JSON object; values are
base64 text. ``GET /-/calls`` returns the number of calls by kind, and
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
from standins.memorystore import MemoryStore
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.store import Entry, Event

#: Seconds for which a call without an answer stays open.
UNANSWERED_CALL_SECONDS = 3600.0

#: Longest wait for open calls at shutdown in seconds.
SHUTDOWN_SECONDS = 1

Operation = Callable[[MemoryStore, Any], Awaitable[Any]]

_OPERATIONS: dict[str, Operation] = {}


def register_operation(name: str) -> Callable[[Operation], Operation]:
    """Register the handler of an operation under its name."""

    def decorate(operation: Operation) -> Operation:
        _OPERATIONS[name] = operation
        return operation

    return decorate


def encode_entry(entry: Entry | None) -> dict[str, Any] | None:
    """Encode an entry for JSON."""
    if entry is None:
        return None
    return {
        'key': entry.key,
        'value': base64.b64encode(entry.value).decode(),
        'revision': entry.revision,
        'lease': entry.lease,
    }


def encode_event(event: Event) -> dict[str, Any]:
    """Encode a change for JSON."""
    encoded = None
    if event.value is not None:
        encoded = base64.b64encode(event.value).decode()
    return {'key': event.key, 'value': encoded, 'revision': event.revision}


@register_operation('get')
async def get_entry(store: MemoryStore, arguments: Any) -> Any:
    """Read one key."""
    return (await store.get(arguments['key'])).map(encode_entry)


@register_operation('list')
async def list_entries(store: MemoryStore, arguments: Any) -> Any:
    """Read all keys that start with a prefix."""
    listing = await store.list_prefix(arguments['prefix'])
    return listing.map(
        lambda found: {
            'entries': [encode_entry(entry) for entry in found.entries],
            'revision': found.revision,
        }
    )


@register_operation('swap')
async def swap_value(store: MemoryStore, arguments: Any) -> Any:
    """Write a key when its revision is the expected one."""
    value = base64.b64decode(arguments['value'], validate=True)
    lease = arguments.get('lease', '')
    return await store.swap(
        arguments['key'], arguments['expected'], value, lease
    )


@register_operation('delete')
async def delete_key(store: MemoryStore, arguments: Any) -> Any:
    """Delete a key when its revision is the expected one."""
    return await store.delete(arguments['key'], arguments['expected'])


@register_operation('grant_lease')
async def grant_lease(store: MemoryStore, arguments: Any) -> Any:
    """Create a lease."""
    return await store.grant_lease(arguments['ttl'])


@register_operation('renew_lease')
async def renew_lease(store: MemoryStore, arguments: Any) -> Any:
    """Renew a lease."""
    return await store.renew_lease(arguments['lease'])


@register_operation('revoke_lease')
async def revoke_lease(store: MemoryStore, arguments: Any) -> Any:
    """End a lease."""
    return await store.revoke_lease(arguments['lease'])


@register_operation('watch')
async def watch_prefix(store: MemoryStore, arguments: Any) -> Any:
    """Wait for changes under a prefix."""
    batch = await store.watch(
        arguments['prefix'], arguments['after'], arguments['wait']
    )
    return batch.map(
        lambda found: {
            'events': [encode_event(event) for event in found.events],
            'revision': found.revision,
            'truncated': found.truncated,
        }
    )


class StoreApplication:
    """HTTP routes of the stand-in.

    :param seed: seed of the random faults.
    :param history: number of events that the watch history holds.
    """

    def __init__(self, seed: int, history: int) -> None:
        self._core = JournaledCore(history)
        self.store = MemoryStore(
            self._core, time.monotonic, seed, UNANSWERED_CALL_SECONDS
        )
        self._request_bytes: Counter[str] = Counter()
        self._open_calls: set[asyncio.Task[Any]] = set()

    def build(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route('/v1/{name}', self.call_operation, methods=['POST']),
                Route('/-/calls', self.get_calls),
                Route('/-/faults', self.set_faults, methods=['POST']),
                Route('/-/journal', self.get_journal),
                Route('/-/ready', self.get_calls),
            ]
        )

    async def call_operation(self, request: Request) -> JSONResponse:
        """Run one operation of the store."""
        name = request.path_params['name']
        operation = _OPERATIONS.get(name)
        if operation is None:
            return JSONResponse({'detail': 'unknown operation'}, 404)
        body = await request.body()
        self._request_bytes[name] += len(body)
        try:
            outcome = await self._track(operation, await request.json())
        except (KeyError, TypeError, ValueError) as error:
            return JSONResponse({'detail': repr(error)}, 400)
        except asyncio.CancelledError:
            return JSONResponse({'detail': 'the server ends'}, 500)
        return make_response(outcome)

    def cancel_calls(self) -> None:
        """Cancel the open calls; callers get 500 without an outcome."""
        for task in self._open_calls:
            task.cancel()

    async def get_calls(self, _request: Request) -> JSONResponse:
        """Return the numbers of calls and of request bytes by kind."""
        return JSONResponse(
            {
                'calls': dict(self.store.calls),
                'bytes': dict(self._request_bytes),
                'revision': self.store.core.revision,
            }
        )

    async def get_journal(self, _request: Request) -> JSONResponse:
        """Return every change of a VM record with its time."""
        rows = [
            {'at': at, **encode_event(event)}
            for at, event in self._core.journal
        ]
        return JSONResponse({'events': rows})

    async def set_faults(self, request: Request) -> JSONResponse:
        """Set faults; apply ``expire_leases`` and ``truncate`` once."""
        changes = await request.json()
        if changes.pop('expire_leases', False):
            self.store.core.expire_all_leases()
        if changes.pop('truncate', False):
            self.store.core.truncate_history()
        try:
            update_faults(self.store.faults, changes)
        except (TypeError, ValueError) as error:
            return JSONResponse({'detail': str(error)}, 400)
        return JSONResponse({})

    async def _track(self, operation: Operation, arguments: Any) -> Any:
        task = asyncio.ensure_future(operation(self.store, arguments))
        self._open_calls.add(task)
        task.add_done_callback(self._open_calls.discard)
        return await task


def make_response(outcome: Result[Any, Failure]) -> JSONResponse:
    """Return the HTTP response for a result."""
    if isinstance(outcome, Ok):
        return JSONResponse({'result': outcome.ok_value})
    failure = cast('Err[Failure]', outcome).err_value
    return JSONResponse(
        {'kind': failure.kind, 'detail': failure.detail},
        failure.answer.status,
    )


class StandinServer(uvicorn.Server):
    """Server that prints its address and exits with 0 after a signal."""

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
        """Shut down gracefully on SIGTERM and SIGINT."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop)
        yield

    def _stop(self) -> None:
        self.should_exit = True
        self._application.cancel_calls()


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
