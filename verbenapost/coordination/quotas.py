"""Rate quotas of the teams that call one service."""

from collections import Counter
from collections.abc import Mapping
from typing import final

from verbenapost.state.documents import Quota

#: Name of the quota for teams without a quota of their own.
ANY_TEAM = '*'

_NO_LIMIT = Quota()


@final
class TokenBucket:
    """Token bucket with a refill rate and a burst size.

    Examples
    ========

    >>> bucket = TokenBucket(0, rate=2, burst=1)
    >>> bucket.take(0), bucket.take(0), bucket.take(0.5)
    (0, 0.5, 0)

    :param now: monotonic seconds.
    :param rate: tokens added per second.
    :param burst: tokens that the bucket can hold.
    """

    def __init__(self, now: float, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def change(self, now: float, rate: float, burst: float) -> None:
        """Change the limits; tokens above the new burst are dropped."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def take(self, now: float) -> float:
        """Consume a token if one is available.

        :returns: 0, or the seconds until a token is available.
        """
        self._refill(now)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return (1 - self._tokens) / self._rate

    def _refill(self, now: float) -> None:
        added = max(now - self._refilled_at, 0) * self._rate
        self._tokens = min(self._tokens + added, self._burst)
        self._refilled_at = max(now, self._refilled_at)


@final
class Quotas:
    """Quotas of the teams that call one service.

    Examples
    ========

    >>> quotas = Quotas()
    >>> quotas.set_limits(0, {'*': Quota(rate=1, burst=1)})
    >>> quotas.take(0, 'portal'), quotas.take(0, 'portal')
    (0, 1.0)
    """

    def __init__(self) -> None:
        self.would_refuse: Counter[str] = Counter()
        self._by_team: dict[str, Quota] = {}
        self._buckets: dict[str, TokenBucket] = {}

    def set_limits(self, now: float, limits: Mapping[str, Quota]) -> None:
        """Replace the quotas.

        :param limits: quotas by team; ``*`` for teams not named.
        """
        self._by_team = dict(limits)
        for team, bucket in tuple(self._buckets.items()):
            quota = self.get_quota(team)
            if quota.rate is None:
                self._buckets.pop(team)
            else:
                bucket.change(now, quota.rate, quota.burst)

    def get_quota(self, team: str) -> Quota:
        """Return the quota of a team."""
        default_quota = self._by_team.get(ANY_TEAM, _NO_LIMIT)
        return self._by_team.get(team, default_quota)

    def take(self, now: float, team: str) -> float:
        """Count a request of a team.

        A soft quota refuses no request; the requests that it would have
        refused are counted in ``would_refuse``.

        :returns: 0, or the seconds to wait when the request is refused.
        """
        quota = self.get_quota(team)
        if quota.rate is None:
            return 0
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = TokenBucket(now, quota.rate, quota.burst)
            self._buckets[team] = bucket
        wait = bucket.take(now)
        if wait and quota.soft:
            self.would_refuse[team] += 1
            return 0
        return wait
