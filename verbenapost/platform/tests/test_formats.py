"""Invalid input from outside gives a clear error, never a traceback."""

import base64
import json
import string

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from verbenapost.platform import records, workers
from verbenapost.platform.fields import FieldError
from verbenapost.platform.http import Answer, decode_body
from verbenapost.platform.store import PlatformStore
from verbenapost.platform.submissions import (
    MAX_PAYLOAD_BYTES,
    decode_job,
    decode_task,
    encode_task,
)
from verbenapost.protocol.orders import (
    CallFaultKind,
    Transaction,
    TransactionConflict,
)
from verbenapost.state.workloads import Route, TaskKey

JOB = '5c0e7a21d94b36f8'
ROUTE = Route('plan', 'host', '/plan/', 'routing')
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**40), 2**40)
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                (
                    'spec',
                    'steps',
                    'count',
                    'cpu',
                    'after',
                    'mem_mb',
                    'gpu',
                    'routes',
                    'services',
                    'version',
                    'tenants',
                    'api_keys',
                    'weight',
                    'cap',
                    'name',
                    'state',
                    'wave',
                    'capacity',
                    'labels',
                    'machines',
                    'running',
                    'ended_runs',
                    'clock_ms',
                    'items',
                    'events',
                    'revision',
                    'key',
                    'value',
                )
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)


def submit(**fields):
    return decode_job(JOB, ROUTE, json.dumps(fields).encode())


class TestSubmission:
    def test_documented_example_is_decoded(self):
        spec = submit(
            spec='(text)',
            steps=[
                {
                    'count': 4,
                    'cpu': 500,
                    'mem_mb': 256,
                    'estimate_ms': 900,
                    'affinity': 'r1-3',
                },
                {
                    'count': 20,
                    'cpu': 2000,
                    'mem_mb': 1024,
                    'after': [0],
                    'checkpointing': True,
                },
            ],
        )
        assert spec.steps[0].estimate == 0.9
        assert spec.steps[0].affinity == 'r1-3'
        assert spec.steps[1].after == (0,)
        assert spec.steps[1].checkpointing

    @pytest.mark.parametrize(
        ('fields', 'field'),
        [
            ({'steps': []}, 'steps'),
            ({'steps': [{'count': 0}]}, 'steps'),
            ({'steps': [{'count': -1}]}, 'count'),
            ({'steps': [{'count': True}]}, 'count'),
            ({'steps': [{'count': 1, 'cpu': '5'}]}, 'cpu'),
            ({'steps': [{'count': 1, 'after': [0]}]}, 'steps.0.after'),
            ({'steps': [{'count': 1, 'after': [1]}]}, 'steps.0.after'),
            ({'steps': [{'count': 1, 'gang': 1}]}, 'gang'),
            ({'steps': [{'count': 10**9}]}, 'steps'),
            ({'steps': [{'count': 1, 'image': 'x' * 999}]}, 'image'),
            ({'steps': [7]}, 'steps.0'),
            ({'steps': [{'count': 1}], 'spec': 7}, 'spec'),
            (
                {
                    'steps': [{'count': 1}],
                    'spec': 'x' * (MAX_PAYLOAD_BYTES + 1),
                },
                'spec',
            ),
        ],
    )
    def test_error_names_the_invalid_field(self, fields, field):
        with pytest.raises(FieldError) as refusal:
            submit(**fields)
        assert refusal.value.field == field

    @pytest.mark.parametrize('body', [b'', b'[', b'[]', b'\xff', b'[' * 9999])
    def test_body_other_than_an_object_is_rejected(self, body):
        with pytest.raises(FieldError):
            decode_job(JOB, ROUTE, body)

    @settings(derandomize=True, max_examples=300)
    @given(JSON)
    def test_any_body_is_decoded_or_raises_field_error(self, fields):
        try:
            spec = decode_job(JOB, ROUTE, json.dumps(fields).encode())
        except FieldError:
            return
        assert spec.steps


class TestTaskNames:
    def test_encoded_name_is_decoded(self):
        key = TaskKey(JOB, 3, 1, 17)
        assert decode_task(encode_task(key)) == key

    @settings(derandomize=True)
    @given(st.text(string.hexdigits + '.²-', max_size=12) | st.none())
    def test_invalid_names_are_rejected(self, text):
        try:
            found = decode_task(text)
        except FieldError:
            return
        assert encode_task(found).count('.') == 3


class TestStoredEntries:
    @settings(derandomize=True, max_examples=300)
    @given(JSON | st.binary(max_size=20))
    def test_invalid_records_give_a_reason(self, value):
        packed = value
        if not isinstance(value, bytes):
            packed = json.dumps(value).encode()
        for decoded in (
            records.decode_configuration(packed),
            records.decode_wave(packed),
            records.decode_worker('i-1', packed),
        ):
            assert isinstance(decoded, Ok) or decoded.err_value

    def test_worker_with_an_unknown_state_is_rejected(self):
        fields = {
            'service': 's',
            'address': 'a',
            'zone': 'z',
            'state': 'odd',
            'capacity': {},
        }
        decoded = records.decode_worker('i-1', json.dumps(fields).encode())
        assert 'odd' in decoded.err_value


class IgnoredCalls:
    def begin(self, _wait):
        return 0

    def end(self, _number, *, answered):
        pass


class OneAnswer:
    """Returns the same answer to every call."""

    def __init__(self, status, fields):
        self.answer = Answer(status, fields)

    async def exchange(self, _call):
        return Ok(self.answer)


def make_store(status, fields=None):
    return PlatformStore(
        OneAnswer(status, fields or {}), '127.0.0.1:1', IgnoredCalls()
    )


class TestStoreAnswers:
    @pytest.mark.parametrize(
        ('status', 'kind'),
        [
            (404, CallFaultKind.NOT_FOUND),
            (410, CallFaultKind.NOT_FOUND),
            (429, CallFaultKind.LIMITED),
            (503, CallFaultKind.NOT_DONE),
            (400, CallFaultKind.REFUSED),
            (500, CallFaultKind.REFUSED),
        ],
    )
    async def test_status_maps_to_a_fault(self, status, kind):
        answer = await make_store(status).commit(Transaction((), ()))
        assert answer.err_value.kind is kind

    async def test_missing_key_is_none(self):
        assert await make_store(404).read_key('k') == Ok(None)

    async def test_conflict_holds_the_current_items(self):
        value = base64.b64encode(b'x').decode()
        items = [{'key': 'k', 'value': value, 'revision': 7}]
        answer = await make_store(412, {'items': items}).commit(
            Transaction((), ())
        )
        assert isinstance(answer.err_value, TransactionConflict)
        assert answer.err_value.items[0].value == b'x'

    @settings(derandomize=True, max_examples=200)
    @given(st.dictionaries(st.sampled_from(('items', 'events')), JSON))
    async def test_invalid_answers_are_unknown(self, fields):
        for answer in (
            await make_store(200, fields).read_page('p'),
            await make_store(200, fields).watch('p', 1, 0),
            await make_store(200, fields).commit(Transaction((), ())),
        ):
            assert not isinstance(answer, Err) or (
                answer.err_value.kind is CallFaultKind.UNKNOWN
            )


class TestWorkerAnswers:
    @settings(derandomize=True, max_examples=200)
    @given(JSON)
    def test_invalid_reports_are_unknown(self, fields):
        found = decode_body(json.dumps(fields).encode())
        if found is None:
            return
        answer = workers._read_report(Answer(200, found))
        assert not isinstance(answer, Err) or (
            answer.err_value.kind is CallFaultKind.UNKNOWN
        )
