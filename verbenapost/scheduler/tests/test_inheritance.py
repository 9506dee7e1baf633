"""Tests of the pause of jobs that a former leader may have started."""

import pytest

from verbenapost.coordination.scheduling.leases import compute_lapse_seconds
from verbenapost.coordination.scheduling.tests.sample import (
    make_entry,
    make_pool_state,
)
from verbenapost.scheduler.inheritance import (
    REGISTRATION_SECONDS,
    Takeover,
    end_inherited_pause,
)

LEASE = 6.0
SOON = 0.1
LAPSED = compute_lapse_seconds(LEASE) + SOON


def make_recovering(*names):
    pool_state = make_pool_state(*map(make_entry, names))
    pool_state.recovering = True
    return pool_state


class TestPause:
    """Entries of live workers are missing."""

    @pytest.mark.parametrize(
        ('listed', 'passed', 'ended'),
        [
            (('w0', 'w1'), SOON, True),
            (('w0',), SOON, True),
            (('w0', 'w1', 'w2'), SOON, False),
            (None, SOON, False),
            (('w0', 'w1', 'w2'), REGISTRATION_SECONDS + SOON, False),
            (None, REGISTRATION_SECONDS + SOON, False),
            (('w0', 'w1', 'w2'), LEASE, False),
            (None, LEASE, False),
            (('w0', 'w1', 'w2'), LAPSED, True),
            (None, LAPSED, True),
        ],
    )
    def test_listed_workers_without_entry_are_waited_for(
        self, listed, passed, ended
    ):
        pool_state = make_recovering('w0', 'w1')
        takeover = Takeover(passed, LEASE, listed)
        assert end_inherited_pause(pool_state, takeover) is ended
        assert pool_state.recovering is not ended

    @pytest.mark.parametrize(
        ('passed', 'ended'),
        [(SOON, False), (REGISTRATION_SECONDS + SOON, True)],
    )
    def test_entries_are_waited_for_where_there_is_no_list_of_vms(
        self, passed, ended
    ):
        pool_state = make_recovering('w0', 'w1')
        takeover = Takeover(passed, LEASE, None, lists_vms=False)
        assert end_inherited_pause(pool_state, takeover) is ended

    @pytest.mark.parametrize(
        ('passed', 'ended'),
        [
            (REGISTRATION_SECONDS + SOON, False),
            (LAPSED, True),
        ],
    )
    def test_a_silent_worker_is_waited_for_until_its_leases_expire(
        self, passed, ended
    ):
        pool_state = make_recovering('w0', 'w1')
        pool_state.workers['w1'].reconciled = False
        takeover = Takeover(passed, LEASE, ('w0', 'w1'))
        assert end_inherited_pause(pool_state, takeover) is ended

    def test_a_pause_ends_once(self):
        pool_state = make_recovering('w0')
        takeover = Takeover(SOON, LEASE, ('w0',))
        assert end_inherited_pause(pool_state, takeover)
        assert not end_inherited_pause(pool_state, takeover)
