"""Tests of the wait estimate of a share."""

import pytest

from verbenapost.coordination.sharequeue import QueuedRequest
from verbenapost.coordination.shares import FairShares
from verbenapost.protocol.slots import SlotRequest

KEY = ('portal', 'visit')


def add(shares, slot_request_id, now, deadline_in, urgency=3):
    slot_request = SlotRequest(
        slot_request_id, 'booking', *KEY, urgency=urgency
    )
    share = shares.get_share(KEY)
    return shares.add(
        QueuedRequest(slot_request, share, now, now + deadline_in)
    )


class TestEstimate:
    def test_every_request_ahead_counts(self):
        shares = FairShares()
        for number in range(10):
            add(shares, str(number), 0, 50)
        wait = shares.get_share(KEY).estimate_wait(0, 3, 0.5)
        assert wait == pytest.approx(5)

    def test_requests_that_will_be_refused_do_not_count(self):
        shares = FairShares()
        for number in range(100):
            add(shares, str(number), 0, 5)
        wait = shares.get_share(KEY).estimate_wait(3, 3, 0.5)
        assert wait == pytest.approx(2)

    def test_less_urgent_requests_do_not_count(self):
        shares = FairShares()
        add(shares, 'a', 0, 50, urgency=5)
        assert not shares.get_share(KEY).estimate_wait(0, 3, 0.5)

    def test_cancelled_requests_do_not_count(self):
        shares = FairShares()
        shares.remove(add(shares, 'a', 0, 50))
        assert not shares.get_share(KEY).estimate_wait(0, 3, 0.5)
