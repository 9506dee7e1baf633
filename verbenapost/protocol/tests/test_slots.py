"""Tests of the messages between entries and queue owners."""

import dataclasses

import msgpack
import pytest

from verbenapost.protocol import codec, slots

REQUEST = slots.SlotRequest(
    'a-1', 'booking', 'portal', 'visit', avoid=('vm-1',), entry='e-1'
)
GRANT = slots.RunningGrant(4, 'a-2', 'vm-2', 'portal', 'visit', 0.5)


class TestMessages:
    @pytest.mark.parametrize(
        'message',
        [
            REQUEST,
            slots.GrantSlot('a-1', 1, 'vm-1', '127.0.0.1:80', 2.5),
            slots.RefuseSlot('a-1', 'overloaded', 1.5),
            slots.CancelSlotRequest('a-1', 'booking'),
            slots.ReleaseSlot(1, 'a-1', 'ok', 0.25, 'booking'),
            slots.ReportSlots(
                'e-1', 3, (GRANT,), (slots.pack_slot_request(REQUEST),)
            ),
            slots.RequestReport('booking', 3),
            slots.BorrowSlots('booking', 4, 'admin'),
            slots.LendSlots('admin', 'booking', 'vm-1', '127.0.0.1:80', 2, 5),
            slots.ReturnSlots('booking', 'admin', 'vm-1', 1),
        ],
    )
    def test_round_trip(self, message):
        row = msgpack.unpackb(codec.encode(message), use_list=False)
        assert codec.decode(row) == message

    def test_rows_of_a_report_become_messages_again(self):
        report = slots.ReportSlots(
            'e', 1, (GRANT,), (slots.pack_slot_request(REQUEST),)
        )
        row = msgpack.unpackb(codec.encode(report), use_list=False)
        decoded = codec.decode(row)
        assert slots.RunningGrant(*decoded.running[0]) == GRANT
        assert slots.SlotRequest(*decoded.waiting[0]) == REQUEST

    def test_messages_are_frozen(self):
        with pytest.raises(dataclasses.FrozenInstanceError):
            REQUEST.team = 'other'
