"""Pace of the store calls that an idle daemon makes."""

#: Lease renewals a second of all daemons together.
RENEWAL_RATE = 10.0

#: Watches a second that all daemons together begin for one prefix.
WATCH_RATE = 5.0

#: Seconds between two renewals in a small fleet.
MIN_RENEWAL = 3.0

#: Seconds that a watch waits in a small fleet.
MIN_WATCH = 20.0

#: Renewals that may fail before a lease lapses, and one more.
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
    """Return the seconds that a lease lives without a renewal."""
    return RENEWALS_PER_LEASE * pace_renewal(members)


def pace_watch(members: int) -> float:
    """Return the seconds that one watch waits for a change.

    Examples
    ========

    >>> pace_watch(7), pace_watch(200)
    (20.0, 40.0)
    """
    return max(MIN_WATCH, members / WATCH_RATE)
