"""A relay without any of the product's work, for comparison.

``python -m bench.barerelay PORT ADDRESS`` passes each request on to one
target with uvicorn and aiohttp, as an entry does.
"""

import asyncio
import sys

import aiohttp
import uvicorn


class BareRelay:
    """ASGI application that relays to one target."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._session: aiohttp.ClientSession | None = None

    async def __call__(self, scope, receive, send):
        """Relay one request."""
        if self._session is None:
            self._session = aiohttp.ClientSession(auto_decompress=False)
        body = await read_body(receive)
        headers = [
            (name.decode(), text.decode())
            for name, text in scope['headers']
            if name not in {b'host', b'content-length'}
        ]
        url = f'http://{self._address}{scope["path"]}'
        async with self._session.request(
            scope['method'],
            url,
            data=body or None,
            headers=headers,
        ) as answer:
            content = await answer.read()
            await send(
                {
                    'type': 'http.response.start',
                    'status': answer.status,
                    'headers': [
                        (b'content-type', b'application/json'),
                        (b'content-length', str(len(content)).encode()),
                    ],
                }
            )
            await send({'type': 'http.response.body', 'body': content})


async def read_body(receive):
    """Return the whole body of a request."""
    chunks = []
    while True:
        event = await receive()
        chunks.append(event.get('body', b''))
        if not event.get('more_body'):
            return b''.join(chunks)


async def serve(port, address):
    """Serve until SIGTERM."""
    config = uvicorn.Config(
        BareRelay(address),
        host='127.0.0.1',
        port=port,
        loop='asyncio',
        http='httptools',
        lifespan='off',
        access_log=False,
        log_level='error',
    )
    await uvicorn.Server(config).serve()


if __name__ == '__main__':
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2]))
