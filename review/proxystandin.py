"""A proxy in front of one server, whose open connections can go silent."""

import asyncio
import contextlib

CHUNK_BYTES = 65536


class Proxy:
    """Forwards connections to one port on loopback.

    :param port: port of the server.
    """

    def __init__(self, port):
        self._port = port
        self._server = None
        self._tasks = set()
        self._connections = {}
        self._numbers = 0
        self.refusing = False

    async def start(self):
        """Listen on a free port and return its address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def silence(self):
        """Let all open connections go silent for good, without a reset.

        :returns: number of these connections.
        """
        for number in self._connections:
            self._connections[number] = True
        return len(self._connections)

    def reset(self):
        """Close all connections, as a process that ends does."""
        for task in list(self._tasks):
            task.cancel()

    async def stop(self):
        """Close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        self._numbers += 1
        number = self._numbers
        self._connections[number] = False
        upstream = None
        try:
            server_reader, upstream = await asyncio.open_connection(
                '127.0.0.1', self._port
            )
            copies = (
                asyncio.create_task(self._copy(number, reader, upstream)),
                asyncio.create_task(self._copy(number, server_reader, writer)),
            )
            try:
                await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for copy in copies:
                    copy.cancel()
        except OSError:
            pass
        finally:
            self._connections.pop(number, None)
            self._tasks.discard(task)
            for opened in (writer, upstream):
                if opened is not None:
                    opened.close()

    async def _copy(self, number, reader, writer):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if not self._connections.get(number):
                    writer.write(chunk)
                    await writer.drain()
