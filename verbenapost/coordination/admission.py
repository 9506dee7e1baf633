"""Admission control of the queue of a service."""

import math
from collections import Counter
from typing import final

from verbenapost.coordination.quotas import Quotas
from verbenapost.coordination.runtimes import RunTimes
from verbenapost.coordination.sharequeue import QueuedRequest, Share
from verbenapost.coordination.shares import FairShares
from verbenapost.coordination.targets import TargetPool
from verbenapost.protocol.errors import ErrorKind
from verbenapost.protocol.slots import RefuseSlot, SlotRequest

#: Bounds of the ``retry_after`` of refusals, in seconds.
MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 30.0

#: Milliseconds in a second.
MILLISECONDS_PER_SECOND = 1000


def make_refusal(
    slot_request: SlotRequest,
    kind: ErrorKind,
    retry_after: float,
    detail: str,
) -> RefuseSlot:
    """Return the refusal of a slot request.

    :param retry_after: seconds, limited to ``MIN_RETRY_AFTER`` and
        ``MAX_RETRY_AFTER``.
    """
    wait = min(max(retry_after, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    return RefuseSlot(
        slot_request.slot_request_id,
        str(kind),
        wait,
        detail,
        slot_request.service,
    )


@final
class Admission:
    """Refuses early the requests that can not be served in time.

    :param pool: targets of the service.
    :param shares: queue of the service.
    :param run_times: measured run times.
    :param quotas: quotas of the calling teams.
    """

    def __init__(
        self,
        pool: TargetPool,
        shares: FairShares,
        run_times: RunTimes,
        quotas: Quotas,
    ) -> None:
        self._pool = pool
        self._shares = shares
        self._run_times = run_times
        self._quotas = quotas

    def check(self, now: float, slot_request: SlotRequest) -> RefuseSlot | None:
        """Return a refusal for reasons other than the queue length.

        :returns: the refusal, or ``None`` when no such reason applies.
        """
        outliers = self._pool.outliers
        if slot_request.job and outliers.failure_classifier.is_unable(
            slot_request.job, outliers.ejected
        ):
            return make_refusal(
                slot_request,
                ErrorKind.UNABLE_TO_RUN,
                MAX_RETRY_AFTER,
                'The job failed on several targets.',
            )
        if not self._pool.has_active_targets():
            return make_refusal(
                slot_request,
                ErrorKind.NO_TARGET,
                MIN_RETRY_AFTER,
                'No target is in service.',
            )
        wait = self._quotas.take(now, slot_request.team)
        if wait:
            return make_refusal(
                slot_request,
                ErrorKind.QUOTA_EXCEEDED,
                wait,
                'The quota of the team is used up.',
            )
        return None

    def check_wait(
        self, now: float, queued: QueuedRequest
    ) -> RefuseSlot | None:
        """Return a refusal when the queue is too long for the deadline.

        The estimate is the shortest possible wait: it assumes that all slots
        serve this share from now on.
        """
        slot_request = queued.slot_request
        share = queued.share
        run = self._run_times.get(now, share.kind)
        grant_interval = run.mean / max(self._pool.count_slots(now), 1)
        wait = share.estimate_wait(now, queued.level, grant_interval)
        if not wait:
            return None
        overrun = wait + run.high - slot_request.deadline_in
        if overrun <= 0:
            return None
        return make_refusal(
            slot_request,
            ErrorKind.OVERLOADED,
            overrun,
            'The wait is longer than the deadline.',
        )

    def find_victim(self, now: float) -> QueuedRequest | None:
        """Return the request to shed when the queue is full.

        It is the newest of the least urgent requests in the largest share of
        the team with the largest backlog.
        """
        loads: Counter[str] = Counter()
        for share in self._shares:
            loads[share.team] += self._compute_backlog(now, share)
        heaviest_team = max(loads, key=loads.__getitem__)
        largest = max(
            (row for row in self._shares if row.team == heaviest_team),
            key=lambda row: self._compute_backlog(now, row),
        )
        return largest.find_least_urgent()

    def _compute_backlog(self, now: float, share: Share) -> int:
        run = self._run_times.get(now, share.kind)
        seconds = share.waiting * run.mean / share.weight
        return math.ceil(seconds * MILLISECONDS_PER_SECOND)
