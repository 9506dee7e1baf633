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


def get_renewal_interval(members: int) -> float:
    """Return the seconds between two lease renewals of a daemon.

    Examples
    ========

    >>> get_renewal_interval(7), get_renewal_interval(200)
    (3.0, 20.0)

    :param members: daemons that share the store.
    """
    return max(MIN_RENEWAL, members / RENEWAL_RATE)


def get_lease_duration(members: int) -> float:
    """Return the duration of a lease in seconds.

    :param members: daemons that share the store.
    """
    return RENEWALS_PER_LEASE * get_renewal_interval(members)


def get_watch_timeout(members: int) -> float:
    """Return the seconds for which one watch waits for a change.

    Examples
    ========

    >>> get_watch_timeout(7), get_watch_timeout(200)
    (20.0, 40.0)

    :param members: daemons that share the store.
    """
    return max(MIN_WATCH, members / WATCH_RATE)
