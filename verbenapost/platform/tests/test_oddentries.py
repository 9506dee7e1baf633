"""An entry that another writer left names no worker and raises nothing."""

import asyncio
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from verbenapost.platform import workers
from verbenapost.platform.addresses import parse_address
from verbenapost.platform.fields import MAX_NUMBER, FieldError
from verbenapost.platform.http import (
    Answer,
    EncodedCall,
    HttpTransport,
    decode_body,
)
from verbenapost.platform.records import (
    MAX_CAPACITY,
    decode_configuration,
    decode_wave,
    decode_worker,
    read_vm,
)
from verbenapost.platform.store import PlatformStore
from verbenapost.platform.submissions import decode_job
from verbenapost.platform.tests.test_formats import IgnoredCalls, OneAnswer
from verbenapost.protocol.orders import CallFaultKind
from verbenapost.state.submissions import pack_job, unpack_job
from verbenapost.state.workloads import Route

JOB = '5c0e7a21d94b36f8'
ROUTE = Route('q', '', '', 's')

VALID = {
    'service': 'routing',
    'address': '10.0.0.1:999',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'capacity': {'cpu': 8000, 'mem_mb': 8000, 'gpu': 0},
    'labels': ['a', 'r0'],
    'machine': 'vm-1',
    'born': 1_700_000_000_000,
}

#: Numbers as JSON that a count must not be.
ODD_COUNTS = (
    '1e999',
    '-1e999',
    'NaN',
    '-1',
    '-0.0',
    '1.5',
    '1e3',
    'true',
    'null',
    '"7"',
    '[7]',
    str(2**63),
    str(10**400),
    '9' * 5000,
)

#: Numbers as JSON that a time must not be.
ODD_TIMES = ('1e999', 'NaN', '-1', 'true', '"7"', str(10**400), '9' * 5000)

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

NUMBERS = st.integers() | st.floats() | st.integers(2**60, 2**70)
JSON = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=8,
)


def encode(**changed):
    return json.dumps(VALID | changed).encode()


def encode_number(name, number):
    """Return an entry with a number as it stands in the text."""
    return encode(**{name: 'HERE'}).replace(b'"HERE"', number.encode())


class TestNumbers:
    """A number out of range is refused, so that no later sum raises."""

    def test_entry_within_bounds_is_decoded(self):
        entry = decode_worker('i-1', encode(born=MAX_NUMBER)).ok_value
        assert entry.started_at_ms / 1000 > 0
        assert entry.capacity.cpu == 8000

    @pytest.mark.parametrize('number', ODD_COUNTS)
    def test_start_time_out_of_range_is_refused(self, number):
        decoded = decode_worker('i-1', encode_number('born', number))
        assert isinstance(decoded, Err)

    @pytest.mark.parametrize('name', ['cpu', 'mem_mb', 'gpu'])
    @pytest.mark.parametrize('number', [*ODD_COUNTS, str(MAX_CAPACITY + 1)])
    def test_capacity_out_of_range_is_refused(self, name, number):
        value = encode(capacity={name: 'HERE'})
        value = value.replace(b'"HERE"', number.encode())
        assert isinstance(decode_worker('i-1', value), Err)

    @pytest.mark.parametrize('number', ODD_TIMES)
    def test_wave_without_a_finite_duration_is_refused(self, number):
        value = b'{"wave":1,"machines":[],"duration_s":HERE}'
        value = value.replace(b'HERE', number.encode())
        assert isinstance(decode_wave(value), Err)

    @pytest.mark.parametrize('number', ODD_TIMES)
    def test_submission_without_a_finite_time_is_refused(self, number):
        body = b'{"steps":[{"count":1}],"start_at_ms":HERE}'
        body = body.replace(b'HERE', number.encode())
        with pytest.raises(FieldError):
            decode_job(JOB, ROUTE, body)

    @pytest.mark.parametrize('number', [2**63, 10**30, 10**400])
    def test_submission_that_cannot_be_packed_is_refused(self, number):
        body = json.dumps({'steps': [{'count': 1, 'cpu': number}]}).encode()
        with pytest.raises(FieldError):
            decode_job(JOB, ROUTE, body)

    def test_submission_at_the_bound_is_packed(self):
        body = json.dumps({'steps': [{'count': 1, 'cpu': MAX_NUMBER}]}).encode()
        spec = decode_job(JOB, ROUTE, body)
        assert unpack_job(pack_job(spec)) == spec


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


class TestTexts:
    """A text that can be neither sent nor packed is refused."""

    @pytest.mark.parametrize(
        'name', ['service', 'address', 'zone', 'state', 'machine']
    )
    @pytest.mark.parametrize('text', ['\ud800', 'a\udfff', None, 7, [], {}])
    def test_odd_text_of_an_entry_is_refused(self, name, text):
        assert isinstance(decode_worker('i-1', encode(**{name: text})), Err)

    @pytest.mark.parametrize('labels', ['a', {'a': 1}, [7], [None], ['\ud800']])
    def test_odd_labels_are_refused(self, labels):
        assert isinstance(decode_worker('i-1', encode(labels=labels)), Err)

    @pytest.mark.parametrize(
        'name',
        ['', ' ', 'a b', 'a\nb', 'a\r\nX: y', 'a\x00', '\u00e9', '\ud800'],
    )
    def test_worker_whose_identity_no_header_can_hold_is_refused(self, name):
        assert isinstance(decode_worker(name, encode()), Err)

    def test_reason_repeats_only_the_beginning_of_a_text(self):
        decoded = decode_worker('i-1', encode(state='x' * 100_000))
        assert len(decoded.err_value) < 100

    @pytest.mark.parametrize('name', ['spec', 'requires', 'affinity', 'image'])
    def test_submission_that_cannot_be_packed_is_refused(self, name):
        fields = {'steps': [{'count': 1, name: '\ud800'}], name: '\ud800'}
        if name == 'spec':
            fields['steps'] = [{'count': 1}]
        with pytest.raises(FieldError) as refusal:
            decode_job(JOB, ROUTE, json.dumps(fields).encode())
        assert refusal.value.field == name

    @pytest.mark.parametrize('vms', [['\ud800'], [7], 'vm-1'])
    def test_wave_of_odd_vms_is_refused(self, vms):
        value = json.dumps({'wave': 1, 'machines': vms}).encode()
        assert isinstance(decode_wave(value), Err)

    @pytest.mark.parametrize('worker', [['w'], {'w': 1}, 7, True, '\ud800'])
    def test_vm_whose_worker_is_no_text_is_refused(self, worker):
        row = {
            'machine': 'vm-1',
            'pool': 'routing',
            'state': 'up',
            'capacity': {},
            'id': worker,
        }
        with pytest.raises(FieldError):
            read_vm(row)
        assert read_vm(row | {'id': None}).worker == ''


class PagesWithOddKeys:
    """Answers range reads with a key that UTF-8 can't encode on each page."""

    def __init__(self):
        self.paths = []

    async def exchange(self, call):
        self.paths.append(call.path)
        fields = {
            'items': [
                {
                    'key': f'p/{len(self.paths)}\ud800',
                    'value': '',
                    'revision': 1,
                }
            ],
            'truncated': len(self.paths) < 3,
            'store_revision': 5,
        }
        return Ok(Answer(200, fields))


class TestKeys:
    """An odd key costs nothing but itself: the other keys are still read."""

    async def test_pages_go_on_after_a_key_that_cannot_be_encoded(self):
        http = PagesWithOddKeys()
        store = PlatformStore(http, '127.0.0.1:1', IgnoredCalls())
        found = await store.read_range('p/')
        assert len(found.ok_value.items) == 3
        assert all(path.isascii() for path in http.paths)

    async def test_value_that_is_no_base64_is_a_fault(self):
        item = {'key': 'k', 'value': '\u00e9', 'revision': 1}
        store = PlatformStore(
            OneAnswer(200, item), '127.0.0.1:1', IgnoredCalls()
        )
        found = await store.read_key('k')
        assert found.err_value.kind is CallFaultKind.UNKNOWN


class TestReports:
    """What answers at an entry's address may be any server."""

    TASK = f'{JOB}.0.1.17'

    def read(self, **fields):
        body = json.dumps({'clock_ms': 1} | fields).encode()
        answer = Answer(200, decode_body(body))
        return workers._read_report(answer)

    @pytest.mark.parametrize(
        'row',
        [
            None,
            7,
            [],
            {},
            [TASK],
            [TASK, float('inf')],
            [TASK, float('nan')],
            [TASK, -1],
            [TASK, 2**63],
            [TASK, 10**400],
            [TASK, None],
            [TASK, 1, '\ud800'],
            [TASK, 1, ['x']],
            [TASK, 1, '', float('inf')],
            [TASK, 1, '', 100, float('inf')],
            [TASK, 1, '', 100, 10**400],
            [TASK, 1, '', 100, -1],
            [f'{JOB}.0.1.' + '9' * 5000, 1],
        ],
    )
    def test_odd_run_is_a_fault(self, row):
        kind = self.read(running=[row]).err_value.kind
        assert kind is CallFaultKind.UNKNOWN
        end = [1, *row[:2], 'done'] if isinstance(row, list) else row
        found = self.read(ended_runs=[end])
        assert isinstance(found, Ok) or (
            found.err_value.kind is CallFaultKind.UNKNOWN
        )

    @pytest.mark.parametrize('number', [*ODD_COUNTS, '{}'])
    def test_odd_clock_is_a_fault(self, number):
        body = decode_body(f'{{"clock_ms":{number}}}'.encode())
        answer = Answer(200, body or {})
        assert isinstance(workers._read_report(answer), Err)
        assert isinstance(workers._read_clock(answer), Err)
        refused = workers._check_status(Answer(409, body or {}))
        assert refused.err_value.clock is None

    @settings(derandomize=True, max_examples=400)
    @given(
        st.lists(JSON, max_size=6), st.sampled_from(('running', 'ended_runs'))
    )
    def test_any_row_gives_a_report_or_a_fault(self, row, name):
        found = self.read(**{name: [row], 'born': 1})
        assert isinstance(found, Ok) or (
            found.err_value.kind is CallFaultKind.UNKNOWN
        )


class TestAnyEntry:
    """No bytes and no JSON value make the decoding raise."""

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=60))
    def test_any_bytes_give_an_entry_or_a_reason(self, value):
        decoded = decode_worker('i-1', value)
        assert isinstance(decoded, Ok) or decoded.err_value

    @settings(derandomize=True, max_examples=600)
    @given(
        st.text(max_size=8),
        st.dictionaries(st.sampled_from(sorted(VALID)), JSON, max_size=2),
        st.sets(st.sampled_from(sorted(VALID)), max_size=2),
    )
    def test_any_field_gives_an_entry_or_a_reason(self, name, changed, missing):
        fields = {
            key: found
            for key, found in (VALID | changed).items()
            if key not in missing
        }
        decoded = decode_worker(name, json.dumps(fields).encode())
        assert isinstance(decoded, Ok) or decoded.err_value

    @settings(derandomize=True, max_examples=300)
    @given(JSON)
    def test_any_json_gives_a_record_or_a_reason(self, found):
        value = json.dumps(found).encode()
        for decoded in (
            decode_worker('i-1', value),
            decode_wave(value),
            decode_configuration(value),
        ):
            assert isinstance(decoded, Ok) or decoded.err_value

    @pytest.mark.parametrize('depth', [100, 900, 5000, 200_000])
    @pytest.mark.parametrize('name', ['labels', 'capacity', 'sequence'])
    def test_nesting_of_any_depth_raises_nothing(self, name, depth):
        nested = b'[' * depth + b']' * depth
        value = encode(**{name: 'HERE'}).replace(b'"HERE"', nested)
        decoded = decode_worker('i-1', value)
        assert isinstance(decoded, Err) or name == 'sequence'
