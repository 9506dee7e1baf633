"""Matching of waiting slot requests with free slots."""

import itertools
from typing import final

from verbenapost.coordination.admission import MIN_RETRY_AFTER, make_refusal
from verbenapost.coordination.grants import GRANT_GRACE, MAX_GRANT_TIME
from verbenapost.coordination.runs import Runs
from verbenapost.coordination.runtimes import RunTimes
from verbenapost.coordination.sharequeue import QueuedRequest, Share
from verbenapost.coordination.shares import FairShares
from verbenapost.coordination.targets import TargetPool, TargetSlots
from verbenapost.protocol.errors import ErrorKind
from verbenapost.protocol.slots import GrantSlot, RefuseSlot, SlotRequest

#: The answer to a slot request.
SlotAnswer = GrantSlot | RefuseSlot

AnsweredRequest = tuple[QueuedRequest, SlotAnswer]


@final
class Dispatcher:
    """Grants free slots in the order of fair queueing.

    :param epoch: number of the incarnation of the queue owner.
    :param pool: targets of the service.
    :param shares: queue of the service.
    :param run_times: measured run times.
    :param runs: running grants.
    """

    def __init__(
        self,
        epoch: int,
        pool: TargetPool,
        shares: FairShares,
        run_times: RunTimes,
        runs: Runs,
    ) -> None:
        self._epoch = epoch
        self._pool = pool
        self._shares = shares
        self._run_times = run_times
        self._runs = runs
        self._grant_numbers = itertools.count(1)
        self._chosen_target: TargetSlots | None = None

    def run(self, now: float) -> list[AnsweredRequest]:
        """Grant slots until no waiting request fits a free slot.

        Requests that can no longer end in time are refused.

        :returns: requests removed from the queue, with their answers.
        """
        answers: list[AnsweredRequest] = []
        queued = self._find_next(now, answers)
        while queued is not None:
            answers.append((queued, self._grant(now, queued)))
            queued = self._find_next(now, answers)
        return answers

    def _find_next(
        self, now: float, answers: list[AnsweredRequest]
    ) -> QueuedRequest | None:
        if not self._shares.waiting or not self._pool.has_free(now):
            return None
        return self._shares.choose(
            lambda share: self._match_share(now, share, answers),
        )

    def _match_share(
        self,
        now: float,
        share: Share,
        answers: list[AnsweredRequest],
    ) -> QueuedRequest | None:
        """Return a request of the share for which a target is free."""
        long = self._runs.reserve.is_long(now, share.kind)
        if not self._pool.has_free(now, long=long):
            return None
        answers.extend(self._refuse_late(now, share))
        for queued in share.peek():
            avoid = queued.slot_request.avoid
            self._chosen_target = self._pool.pick(now, avoid, long=long)
            if self._chosen_target is not None:
                return queued
        return None

    def _refuse_late(self, now: float, share: Share) -> list[AnsweredRequest]:
        """Refuse the requests at the head that would not end in time."""
        refused: list[AnsweredRequest] = []
        head = next(share.peek(), None)
        while head is not None and self._is_late(now, head):
            self._shares.remove(head)
            refused.append((head, _make_late_refusal(head.slot_request)))
            head = next(share.peek(), None)
        return refused

    def _is_late(self, now: float, queued: QueuedRequest) -> bool:
        """Return whether a slot is better given to a later request.

        A later request gets the slot if this one can not end in time even
        if the run is short, or if this one may end too late and a later
        request of its level has enough time for a long run.
        """
        run = self._run_times.get(now, queued.share.kind)
        time_left = queued.deadline - now
        if time_left <= run.low:
            return True
        if time_left >= run.high:
            return False
        newest = queued.share.find_newest(queued.level)
        return newest is not None and newest.deadline - now >= run.high

    def _grant(self, now: float, queued: QueuedRequest) -> GrantSlot:
        time_left = queued.deadline - now
        expires_in = min(time_left, MAX_GRANT_TIME) + GRANT_GRACE
        message = self._make_grant(queued.slot_request, expires_in)
        self._shares.remove(queued)
        self._runs.start(now, queued, message)
        return message

    def _make_grant(
        self, slot_request: SlotRequest, expires_in: float
    ) -> GrantSlot:
        if self._chosen_target is None:
            raise LookupError('no target has been chosen for the grant')
        target = self._chosen_target.target
        return GrantSlot(
            slot_request.slot_request_id,
            next(self._grant_numbers),
            target.name,
            target.address,
            expires_in,
            slot_request.service,
            self._epoch,
        )


def _make_late_refusal(slot_request: SlotRequest) -> RefuseSlot:
    return make_refusal(
        slot_request,
        ErrorKind.DEADLINE_EXCEEDED,
        MIN_RETRY_AFTER,
        'No slot was free in time.',
    )
