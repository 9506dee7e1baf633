"""Intervals of the store calls of an idle daemon."""

#: Lease renewals per second, of all daemons together.
RENEWAL_RATE = 10.0

#: Watches per second that all daemons together start on one prefix.
WATCH_RATE = 5.0

#: Seconds between two renewals in a small fleet, the shortest interval.
MIN_RENEWAL = 3.0

#: Seconds that a watch waits in a small fleet, the shortest timeout.
MIN_WATCH = 20.0

#: Renewal intervals in one lease: the lease lapses when this many renewals
#: fail in a row.
RENEWALS_PER_LEASE = 3


def pace_renewal(members: int) -> float:
    """Return the seconds between two lease renewals of a daemon.

    Examples
    ========

    >>> pace_renewal(7), pace_renewal(200)
    (3.0, 20.0)

    :param members: daemons that share the store.
    """
    return max(MIN_RENEWAL, members / RENEWAL_RATE)


def pace_lease(members: int) -> float:
    """Return the duration of a lease in seconds.

    :param members: daemons that share the store.
    """
    return RENEWALS_PER_LEASE * pace_renewal(members)


def pace_watch(members: int) -> float:
    """Return the seconds for which one watch waits for a change.

    Examples
    ========

    >>> pace_watch(7), pace_watch(200)
    (20.0, 40.0)

    :param members: daemons that share the store.
    """
    return max(MIN_WATCH, members / WATCH_RATE)
