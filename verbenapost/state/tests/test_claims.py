"""Tests of the records of a claim ring."""

import msgpack
import pytest

from verbenapost.state import claims


class TestRingSlotRecords:
    def test_round_trip(self):
        row = claims.ClaimRow(bytes(range(16)), 2**64 - 1, b'12345678')
        outcome = claims.OutcomeRow(row.key, 7, False, 201, 'text/plain', b'x')
        packed = claims.pack_claims([row, row])
        record = claims.RingSlotRecord(9, 3, 'w', 5, packed, (outcome,))
        assert claims.unpack_slot(claims.pack_slot(record)) == record
        rows = list(claims.split_claims(packed))
        assert [claims.unpack_claim(part) for part in rows] == [row, row]
        assert len(packed) == 64

    @pytest.mark.parametrize(
        'content',
        [
            b'',
            b'\xc1',
            msgpack.packb([2, 9, 3, 'w', 5, b'', []]),
            msgpack.packb([1, 9]),
            msgpack.packb([1, 9, 3, 'w', 5, b'x', []]),
            msgpack.packb(7),
        ],
    )
    def test_malformed_bytes_are_refused(self, content):
        with pytest.raises(claims.RingSlotRecordError):
            claims.unpack_slot(content)
