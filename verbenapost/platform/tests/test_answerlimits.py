"""Guards against servers whose answers would fill the memory."""

import asyncio

import pytest

from verbenapost.platform.http import EncodedCall, HttpTransport
from verbenapost.protocol.orders import CallFaultKind
from verbenapost.transport.answerlimits import DEFAULT_ANSWER_BYTES

CHUNK = b'a' * 65_536


async def send_large(reader, writer, head):
    """Send more than the limit, and note how much."""
    await reader.readuntil(b'\r\n\r\n')
    writer.write(b'HTTP/1.1 200 OK\r\n%b\r\n' % head)
    for _ in range(2 * DEFAULT_ANSWER_BYTES // len(CHUNK)):
        writer.write(b'%x\r\n%b\r\n' % (len(CHUNK), CHUNK))
        await writer.drain()
    writer.write(b'0\r\n\r\n')


class TestLargeAnswers:
    """An answer above the limit counts as one without a valid body."""

    @pytest.mark.parametrize(
        'head',
        [
            b'Transfer-Encoding: chunked\r\n',
            b'Content-Length: %d\r\n' % (2 * DEFAULT_ANSWER_BYTES),
        ],
    )
    async def test_outcome_is_unknown(self, head):
        async def serve(reader, writer):
            try:
                await send_large(reader, writer, head)
            except OSError:
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        transport = HttpTransport()
        call = EncodedCall('POST', f'127.0.0.1:{port}', '/', b'{}', {}, 20)
        async with server:
            answer = await transport.send(call)
            await transport.close()
        assert answer.err_value.kind is CallFaultKind.UNKNOWN
        assert 'above' in answer.err_value.detail
