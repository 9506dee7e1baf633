"""Tests of leases that a former leader has sent."""

from verbenapost.coordination.scheduling.leases import (
    CLOCK_DRIFT,
    MAX_CLOCK_ERROR,
    LeaseClock,
    compute_lapse_seconds,
)
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.scheduler.inheritance import Takeover, end_inherited_pause

LONGEST = 6.0
SENT_AT = 100.0
STEP = 0.01


def read_worker_clock(now):
    """Return a worker's clock in milliseconds; it is 2 % slow."""
    return now * (1 - CLOCK_DRIFT) * 1000


def send_last_lease():
    """Return the deadline of a lease that a former leader sent last.

    The leader had read the worker's clock in an answer that took as long as an
    order may take.
    """
    clock = LeaseClock()
    read_at = SENT_AT - STEP
    clock.observe(
        round(read_worker_clock(read_at)), read_at - MAX_CLOCK_ERROR, read_at
    )
    return clock.make_deadline(SENT_AT, LONGEST, latest=True)


def find_end(deadline):
    """Return the local seconds at which a late call's lease ends."""
    return deadline / 1000 / (1 - CLOCK_DRIFT)


class TestLastLeaseOfAFormerLeader:
    """It may end later than intended, and the call may arrive late."""

    def test_its_worker_is_not_taken_for_lapsed_too_soon(self):
        successor = LeaseClock()
        successor.note_unknown_lease(SENT_AT, LONGEST)
        end = find_end(send_last_lease())
        assert not successor.is_lapsed(end)
        assert successor.is_lapsed(SENT_AT + compute_lapse_seconds(LONGEST) + 1)

    def test_the_pause_of_inherited_jobs_outlasts_it(self):
        pool_state = PoolState('routing', 2)
        pool_state.recovering = True
        passed = find_end(send_last_lease()) - SENT_AT
        takeover = Takeover(passed, LONGEST, None)
        assert not end_inherited_pause(pool_state, takeover)
