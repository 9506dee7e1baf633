"""Tests of the static slot shares of an entry."""

import pytest

from verbenapost.coordination.staticshares import StaticShares
from verbenapost.coordination.targets import Target

TARGETS = [Target(f'vm-{index}', '127.0.0.1:80', 8) for index in range(6)]


class TestStaticShares:
    @pytest.mark.parametrize('count', [1, 3, 6, 7, 11])
    def test_the_shares_of_all_members_add_up_to_the_slots(self, count):
        members = [f'e-{index}' for index in range(count)]
        total = 0
        for member in members:
            shares = StaticShares(member)
            shares.set_members(members)
            shares.set_targets(TARGETS)
            total += shares.count_slots()
        assert total == 48

    def test_a_used_slot_is_not_given_twice(self):
        shares = StaticShares('e-1')
        shares.set_targets(TARGETS[:1])
        assert all(shares.acquire() for _ in range(8))
        assert shares.acquire() is None
        shares.release('vm-0')
        assert shares.acquire() == TARGETS[0]

    def test_a_leaving_target_is_not_used(self):
        shares = StaticShares('e-1')
        shares.set_targets(TARGETS[:1])
        shares.mark_leaving('vm-0')
        assert shares.acquire() is None
