"""Rates at which tenants submit jobs.

Load pattern: one tenant submits several times its usual number of jobs, whose
callers come back after each refusal. Callers that are told the same time come
back together.
"""

import collections
from typing import Final

#: Seconds of its rate that a tenant may submit at once.
BUCKET_SECONDS: Final = 2.0

#: Jobs that a tenant with a low rate may submit at once.
MIN_BUCKET: Final = 5.0

#: Seconds for which a job that has a token needs no other one. Callers give up
#: earlier.
REMEMBER_SECONDS: Final = 30.0

#: Longest time in seconds after which a caller is told to come back for a
#: token; callers come back only a few times.
MAX_TOKEN_SECONDS: Final = 5.0


class RateBucket:
    """Token bucket of one tenant, in which a job takes one token.

    Examples
    ========

    >>> bucket = RateBucket(1, now=0)
    >>> [bucket.take(f'job-{number}', 1, now=0) for number in range(6)]
    [True, True, True, True, True, False]
    >>> bucket.take('job-0', 1, now=0)
    True
    >>> [bucket.promise(now=0), bucket.promise(now=0)]
    [1.0, 2.0]
    >>> bucket.take('job-5', 1, now=1)
    True

    :param rate: jobs in a second.
    :param now: local seconds.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = _compute_size(rate)
        self._filled_at = now
        self._promised_until = now
        # Local seconds at which each job has taken its token.
        self._taken: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def take(self, job: str, rate: float, now: float) -> bool:
        """Take a token for a job, unless the job has one already.

        :param job: identity of the job.
        :param rate: the tenant's rate in the version in force.
        :param now: local seconds.
        """
        self._fill(rate, now)
        if job in self._taken:
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self._taken[job] = now
        return True

    def promise(self, now: float) -> float:
        """Return the seconds after which a refused job may get a token.

        Jobs that are refused one after another are told later and later times,
        so that their callers come back at the rate of the tokens.

        :param now: local seconds.
        """
        if not self._rate:
            return MAX_TOKEN_SECONDS
        next_token = now + (1 - self._tokens) / self._rate
        promised = max(next_token, self._promised_until + 1 / self._rate)
        if promised > now + MAX_TOKEN_SECONDS:
            return MAX_TOKEN_SECONDS
        self._promised_until = promised
        return promised - now

    def _fill(self, rate: float, now: float) -> None:
        self._rate = rate
        earned = max(0, now - self._filled_at) * rate
        self._tokens = min(self._tokens + earned, _compute_size(rate))
        self._filled_at = now
        while self._taken:
            job, taken_at = next(iter(self._taken.items()))
            if now - taken_at < REMEMBER_SECONDS:
                return
            self._taken.pop(job)


def _compute_size(rate: float) -> float:
    return max(rate * BUCKET_SECONDS, MIN_BUCKET) if rate else 0
