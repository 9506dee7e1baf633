"""An entry that another writer left names no worker and raises nothing."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from verbenapost.platform.fields import MAX_NUMBER, FieldError
from verbenapost.platform.records import (
    MAX_CAPACITY,
    decode_configuration,
    decode_wave,
    decode_worker,
    read_vm,
)
from verbenapost.platform.submissions import decode_job
from verbenapost.platform.tests.entries import (
    ENTRY,
    JSON,
    ODD_COUNTS,
    encode,
    encode_number,
)
from verbenapost.state.submissions import pack_job, unpack_job
from verbenapost.state.workloads import Route

JOB = '5c0e7a21d94b36f8'
ROUTE = Route('q', '', '', 's')

#: Numbers as JSON that a time must not be.
ODD_TIMES = ('1e999', 'NaN', '-1', 'true', '"7"', str(10**400), '9' * 5000)


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
        st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON, max_size=2),
        st.sets(st.sampled_from(sorted(ENTRY)), max_size=2),
    )
    def test_any_field_gives_an_entry_or_a_reason(self, name, changed, missing):
        fields = {
            key: found
            for key, found in (ENTRY | changed).items()
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
