"""Tests of owner selection by rendezvous hashing."""

from collections import Counter

from verbenapost.coordination.ownership import pick_owner

MEMBERS = [f'member-{number}' for number in range(7)]
ROLES = [f'queue/{number}' for number in range(700)]


class TestOwnership:
    def test_only_the_roles_of_a_lost_member_move(self):
        left = MEMBERS[1:]
        moved = [
            role
            for role in ROLES
            if pick_owner(role, MEMBERS) != pick_owner(role, left)
        ]
        assert {pick_owner(role, MEMBERS) for role in moved} == {MEMBERS[0]}

    def test_roles_are_distributed_evenly(self):
        counts = Counter(pick_owner(role, MEMBERS) for role in ROLES)
        assert len(counts) == 7
        assert max(counts.values()) < 140
