"""The simulated metadata store over HTTP."""

import asyncio
import base64

from aiohttp import web
from result import Err

from verbenapost.platform import names
from verbenapost.protocol.orders import (
    ExpectedRevision,
    KeyValue,
    Transaction,
    TransactionConflict,
    Write,
)

#: Decoded body of a call.
FIELDS = web.RequestKey('fields', dict)

#: Longest time for which a call without an answer is kept open, in seconds.
SILENT_SECONDS = 30.0

#: Seconds after which a late transaction is applied.
LATE_SECONDS = (1.0, 6.0)


def add_store_routes(router, world):
    """Add the routes of a world's store."""
    routes = StoreRoutes(world.store)
    for method, path, handler in (
        ('GET', names.KEY_PATH, routes.read_key),
        ('GET', names.RANGE_PATH, routes.read_range),
        ('GET', names.WATCH_PATH, routes.watch),
        ('POST', names.TRANSACTION_PATH, routes.commit),
        ('POST', names.LEASE_PATH, routes.grant),
        ('POST', f'{names.RENEW_PATH}/{{lease}}', routes.renew),
        ('DELETE', f'{names.REVOKE_PATH}/{{lease}}', routes.revoke),
    ):
        router.add_route(method, path, handler)


def abort(request):
    """Reset the connection of a call."""
    if request.transport is not None:
        request.transport.abort()
    raise web.HTTPServiceUnavailable


async def lose_answer(request):
    """Leave a call without an answer."""
    await asyncio.sleep(SILENT_SECONDS)
    abort(request)


class StoreRoutes:
    """Handlers of the store's calls.

    :param store: keys, leases and history.
    """

    def __init__(self, store):
        self._store = store
        self._lease_seconds = {}

    async def read_key(self, request):
        """Return a key."""
        await self._prepare()
        item = self._store.items.get(request.query['key'])
        revision = {'store_revision': self._store.revision}
        if item is None:
            return web.json_response(revision, status=404)
        return web.json_response(_encode_item(item) | revision)

    async def read_range(self, request):
        """Return a page of the keys under a prefix."""
        await self._prepare()
        prefix = request.query['prefix']
        after = request.query.get('after', '')
        found = [
            _encode_item(item)
            for key, item in sorted(self._store.items.items())
            if key.startswith(prefix) and key > after
        ]
        return web.json_response(
            {
                'items': found[:500],
                'truncated': len(found) > 500,
                'store_revision': self._store.revision,
            }
        )

    async def watch(self, request):
        """Wait for changes under a prefix."""
        await self._prepare()
        prefix = request.query['prefix']
        after = int(request.query['after'])
        until = self._store.now() + int(request.query['wait_ms']) / 1000
        while True:
            found = [
                _encode_change(row)
                for row in self._store.history
                if row.revision > after and row.key.startswith(prefix)
            ]
            if found or self._store.now() >= until:
                return web.json_response(
                    {'events': found, 'store_revision': self._store.revision}
                )
            await self._store.wait_change(until - self._store.now())

    async def commit(self, request):
        """Commit a transaction, perhaps late or without an answer."""
        await self._prepare()
        transaction = _decode_transaction(request[FIELDS])
        draw = self._store.rng.random()
        faults = self._store.faults
        if draw < faults.late:
            await asyncio.sleep(self._store.rng.uniform(*LATE_SECONDS))
        outcome = self._store.apply(transaction)
        if draw < faults.late + faults.lose:
            await lose_answer(request)
        if not isinstance(outcome, Err):
            return web.json_response({'revision': outcome.ok_value})
        if isinstance(outcome.err_value, TransactionConflict):
            found = [_encode_item(item) for item in outcome.err_value.items]
            return web.json_response({'items': found}, status=412)
        return web.json_response({}, status=404)

    async def grant(self, request):
        """Create a lease."""
        await self._prepare()
        ttl_ms = max(1000, request[FIELDS]['ttl_ms'])
        lease = self._store.rng.getrandbits(40) + 1
        self._lease_seconds[lease] = ttl_ms / 1000
        self._store.leases[lease] = self._store.now() + ttl_ms / 1000
        return web.json_response({'lease': lease, 'ttl_ms': ttl_ms})

    async def renew(self, request):
        """Renew a lease."""
        await self._prepare()
        lease = int(request.match_info['lease'])
        if lease not in self._store.leases:
            return web.json_response({}, status=404)
        seconds = self._lease_seconds[lease]
        self._store.leases[lease] = self._store.now() + seconds
        return web.json_response({'ttl_ms': round(seconds * 1000)})

    async def revoke(self, request):
        """End a lease."""
        await self._prepare()
        ended = self._store.end_lease(int(request.match_info['lease']))
        return web.json_response({}, status=200 if ended else 404)

    async def _prepare(self):
        if self._store.faults.silent:
            await asyncio.sleep(SILENT_SECONDS)
        if self._store.faults.down:
            raise web.HTTPServiceUnavailable
        await asyncio.sleep(self._store.faults.latency)


def _encode_item(item):
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'created': item.revision,
        'lease': item.lease,
    }


def _encode_change(change):
    if change.value is None:
        return {
            'key': change.key,
            'revision': change.revision,
            'removed': True,
        }
    return _encode_item(KeyValue(change.key, change.value, change.revision))


def _decode_transaction(fields):
    return Transaction(
        [
            ExpectedRevision(row['key'], row['revision'])
            for row in fields.get('expect', ())
        ],
        [
            Write(
                row['key'],
                base64.b64decode(row['value']),
                row.get('lease', 0),
            )
            for row in fields.get('writes', ())
        ],
        fields.get('remove', ()),
    )
