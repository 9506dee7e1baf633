"""An address of another writer that no connection can be made to."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from verbenapost.platform.addresses import parse_address
from verbenapost.platform.http import EncodedCall, HttpTransport
from verbenapost.platform.records import decode_worker
from verbenapost.platform.tests.entries import encode
from verbenapost.protocol.orders import CallFaultKind

ADDRESSES = (
    '127.0.0.1:1',
    '10.0.0.1:65535',
    '[::1]:7070',
    '[2001:db8::1]:80',
    'localhost:80',
    'worker-1.a.example:80',
    'worker_1:80',
)

ODD_ADDRESSES = (
    '',
    ':',
    ':80',
    '127.0.0.1',
    '127.0.0.1:',
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '127.0.0.1:99999999',
    '127.0.0.1:-1',
    '127.0.0.1:+1',
    '127.0.0.1:1.5',
    '127.0.0.1:http',
    '127.0.0.1:\u0669',
    '127.0.0.1:' + '9' * 5000,
    '127.0.0.1: 9',
    '127.0.0.1 :9',
    ' 127.0.0.1:9',
    '127.0.0.1:9\n',
    '127.0.0.1:9\r\nX: y',
    '127.0.0.1\x00:9',
    '127.0.0.1:9/path',
    '127.0.0.1:9?query',
    '127.0.0.1:9#part',
    '127.0.0.1:9@10.0.0.1:9',
    'user:secret@127.0.0.1:9',
    'http://127.0.0.1:9',
    '//127.0.0.1:9',
    '127.0.0.1:9:9',
    '127.0.0.1.:9',
    '127.1:9',
    '127.0.0.01:9',
    '0x7f.1:9',
    '256.0.0.1:9',
    '1' * 20 + ':9',
    '0.0.0.0:9',
    '[::]:9',
    '::1:9',
    '[::1:9',
    '[::1]9',
    '[::g]:9',
    '[::1%eth0]:9',
    '[127.0.0.1]:9',
    '.:9',
    '..:9',
    'a..b:9',
    '-a:9',
    'a-:9',
    'x' * 64 + ':9',
    'x.' * 130 + 'x:9',
    '\u00e9:9',
    '\ud800:9',
    'a b:9',
)

#: Those without a host of another VM, and without a name to resolve.
LOOPBACK_ADDRESSES = (
    '',
    ':80',
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '127.0.0.1:99999999',
    '127.0.0.1:-1',
    '127.0.0.1:http',
    '127.0.0.1:' + '9' * 5000,
    '127.0.0.1:9\r\nX: y',
    '[::1:9',
    '.:9',
    '..:9',
    'x' * 64 + ':9',
    '\ud800:9',
)


class TestAddresses:
    """An address that no connection can be made to is refused."""

    @pytest.mark.parametrize('address', ADDRESSES)
    def test_usual_address_is_kept(self, address):
        entry = decode_worker('i-1', encode(address=address)).ok_value
        assert entry.address == address
        found = parse_address(address)
        host = f'[{found.host}]' if '[' in address else found.host
        assert address == f'{host}:{found.port}'

    @pytest.mark.parametrize('address', [*ODD_ADDRESSES, None, 7, ['a:1'], {}])
    def test_odd_address_is_refused(self, address):
        decoded = decode_worker('i-1', encode(address=address))
        assert decoded.err_value.startswith('address ')

    @settings(derandomize=True, max_examples=300)
    @given(st.text('0123456789abfx.:[]-_@/ \u0660', max_size=12))
    def test_any_text_gives_an_address_or_a_value_error(self, text):
        try:
            found = parse_address(text)
        except ValueError:
            return
        assert found.host
        assert 0 < found.port < 65536


class TestConnections:
    """A call to any address over real sockets gives an answer or a fault."""

    async def send(self, address, headers=None):
        transport = HttpTransport()
        call = EncodedCall('POST', address, '/', b'{}', headers or {}, 1)
        try:
            return await transport.send(call)
        finally:
            await transport.close()

    @pytest.mark.parametrize('address', LOOPBACK_ADDRESSES)
    async def test_odd_address_gives_a_fault(self, address):
        answer = await self.send(address)
        assert isinstance(answer, Err)

    async def test_header_with_a_line_break_gives_a_fault(self):
        closed = asyncio.Event()

        async def answer(reader, writer):
            await reader.read(1)
            writer.close()
            closed.set()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            found = await self.send(f'127.0.0.1:{port}', {'X-Id': 'a\nb: c'})
            await closed.wait()
        assert found.err_value.kind is CallFaultKind.UNKNOWN
