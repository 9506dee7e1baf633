"""Minimal HTTP relay, the baseline of ``bench.relay``.

``python -m bench.barerelay PORT ADDRESS`` forwards each request to one target
with uvicorn and aiohttp, the libraries of an entry, and does nothing else.
"""

import asyncio
import sys

import aiohttp
import uvicorn


class BareRelay:
    """ASGI application that forwards each request to one target.

    :param address: host and port of the target.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._session: aiohttp.ClientSession | None = None

    async def __call__(self, scope, receive, send):
        """Forward one request and send the response of the target."""
        if self._session is None:
            self._session = aiohttp.ClientSession(auto_decompress=False)
        body = await read_body(receive)
        headers = [
            (name.decode(), value.decode())
            for name, value in scope['headers']
            if name not in {b'host', b'content-length'}
        ]
        url = f'http://{self._address}{scope["path"]}'
        async with self._session.request(
            scope['method'],
            url,
            data=body or None,
            headers=headers,
        ) as response:
            content = await response.read()
            await send(
                {
                    'type': 'http.response.start',
                    'status': response.status,
                    'headers': [
                        (b'content-type', b'application/json'),
                        (b'content-length', str(len(content)).encode()),
                    ],
                }
            )
            await send({'type': 'http.response.body', 'body': content})


async def read_body(receive):
    """Return the whole body of a request.

    :param receive: ASGI callable that returns the next message.
    """
    chunks = []
    while True:
        message = await receive()
        chunks.append(message.get('body', b''))
        if not message.get('more_body'):
            return b''.join(chunks)


async def serve(port, address):
    """Serve until SIGTERM.

    :param port: port to listen on at 127.0.0.1.
    :param address: host and port of the target.
    """
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
