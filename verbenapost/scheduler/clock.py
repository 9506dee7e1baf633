"""The clocks of a daemon, read together."""

import time

from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.daemon.timers import read_clock


def read_moment() -> Moment:
    """Return the current time on both clocks."""
    return Moment(read_clock(), time.time())
