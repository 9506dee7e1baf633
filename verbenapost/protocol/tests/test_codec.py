"""Tests of the message codec."""

import dataclasses

import msgpack
import pytest

from verbenapost.protocol import codec


@codec.register_message(9001)
@dataclasses.dataclass(frozen=True)
class Sample:
    name: str
    count: int = 3


class TestCodec:
    def test_round_trip(self):
        row = msgpack.unpackb(codec.encode(Sample('a', 7)))
        assert codec.decode(row) == Sample('a', 7)

    def test_unknown_fields_are_dropped(self):
        assert codec.decode([9001, 'a', 7, 'newer']) == Sample('a', 7)

    def test_missing_fields_take_defaults(self):
        assert codec.decode([9001, 'a']) == Sample('a')

    @pytest.mark.parametrize('row', [[], 5, ['x'], [8999], [9001]])
    def test_malformed_rows_are_refused(self, row):
        with pytest.raises(codec.CodecError):
            codec.decode(row)

    def test_codes_are_unique(self):
        with pytest.raises(codec.CodecError):
            codec.register_message(9001)(Sample)

    def test_unregistered_types_are_refused(self):
        with pytest.raises(codec.CodecError):
            codec.encode(object())
