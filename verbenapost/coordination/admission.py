"""Whether an ask may wait in the queue of a service."""

import math
from collections import Counter
from typing import final

from verbenapost.coordination.quotas import Quotas
from verbenapost.coordination.runtimes import RunTimes
from verbenapost.coordination.shares import FairShares
from verbenapost.coordination.targets import TargetPool
from verbenapost.coordination.waiting import Share, Waiting
from verbenapost.protocol.errors import ErrorKind
from verbenapost.protocol.slots import AskSlot, RefuseSlot

#: Shortest and longest advice for a repeat, in seconds.
MIN_RETRY = 0.5
MAX_RETRY = 30.0

#: Milliseconds in a second.
MILLISECONDS = 1000


def refuse(
    ask: AskSlot,
    kind: ErrorKind,
    retry_after: float,
    detail: str,
) -> RefuseSlot:
    """Return the refusal of an ask."""
    wait = min(max(retry_after, MIN_RETRY), MAX_RETRY)
    return RefuseSlot(ask.ask_id, str(kind), wait, detail, ask.service)


@final
class Admission:
    """Refuses early what can not be served in time.

    :param pool: targets of the service.
    :param shares: queue of the service.
    :param times: learned run times.
    :param quotas: quotas of the calling teams.
    """

    def __init__(
        self,
        pool: TargetPool,
        shares: FairShares,
        times: RunTimes,
        quotas: Quotas,
    ) -> None:
        self._pool = pool
        self._shares = shares
        self._times = times
        self._quotas = quotas

    def check(self, now: float, ask: AskSlot) -> RefuseSlot | None:
        """Return a refusal that does not depend on the queue."""
        outliers = self._pool.outliers
        if ask.job and outliers.suspects.is_unable(ask.job, outliers.ejected):
            return refuse(
                ask,
                ErrorKind.UNABLE_TO_RUN,
                MAX_RETRY,
                'The job failed on several targets.',
            )
        if not self._pool.has_members():
            return refuse(
                ask,
                ErrorKind.NO_TARGET,
                MIN_RETRY,
                'No target is in service.',
            )
        wait = self._quotas.take(now, ask.team)
        if wait:
            return refuse(
                ask,
                ErrorKind.QUOTA_EXCEEDED,
                wait,
                'The quota of the team is used up.',
            )
        return None

    def check_wait(self, now: float, waiting: Waiting) -> RefuseSlot | None:
        """Return a refusal when the queue is too long for the deadline.

        The wait is the shortest possible one: all slots go to this share
        from now on.
        """
        ask = waiting.ask
        share = waiting.share
        run = self._times.get(now, share.kind)
        pace = run.mean / max(self._pool.count_slots(now), 1)
        wait = share.estimate_wait(now, waiting.level, pace)
        if not wait:
            return None
        late = wait + run.high - ask.deadline_in
        if late <= 0:
            return None
        return refuse(
            ask,
            ErrorKind.OVERLOADED,
            late,
            'The wait is longer than the deadline.',
        )

    def find_victim(self, now: float) -> Waiting | None:
        """Return the ask to shed when the queue is full."""
        loads: Counter[str] = Counter()
        for share in self._shares:
            loads[share.team] += self._measure(now, share)
        worst = max(loads, key=loads.__getitem__)
        largest = max(
            (row for row in self._shares if row.team == worst),
            key=lambda row: self._measure(now, row),
        )
        return largest.find_least_urgent()

    def _measure(self, now: float, share: Share) -> int:
        run = self._times.get(now, share.kind)
        seconds = share.waiting * run.mean / share.weight
        return math.ceil(seconds * MILLISECONDS)
