"""Matches waiting asks with free slots."""

import itertools
from typing import final

from verbenapost.coordination.admission import MIN_RETRY, refuse
from verbenapost.coordination.grants import GRANT_GRACE, MAX_GRANT_TIME
from verbenapost.coordination.runs import Runs
from verbenapost.coordination.runtimes import RunTimes
from verbenapost.coordination.shares import FairShares
from verbenapost.coordination.targets import TargetPool, TargetSlots
from verbenapost.coordination.waiting import Share, Waiting
from verbenapost.protocol.errors import ErrorKind
from verbenapost.protocol.slots import AskSlot, GrantSlot, RefuseSlot

#: An answer to an ask.
SlotAnswer = GrantSlot | RefuseSlot

Answered = tuple[Waiting, SlotAnswer]


@final
class Dispatcher:
    """Grants free slots to the asks that are due.

    :param epoch: identity of the owner's start.
    :param pool: targets of the service.
    :param shares: queue of the service.
    :param times: learned run times.
    :param runs: running grants.
    """

    def __init__(
        self,
        epoch: int,
        pool: TargetPool,
        shares: FairShares,
        times: RunTimes,
        runs: Runs,
    ) -> None:
        self._epoch = epoch
        self._pool = pool
        self._shares = shares
        self._times = times
        self._runs = runs
        self._numbers = itertools.count(1)
        self._chosen: TargetSlots | None = None

    def run(self, now: float) -> list[Answered]:
        """Grant until nothing more fits.

        :returns: asks, no longer waiting, with their answers; asks that are
            too late are refused.
        """
        answers: list[Answered] = []
        waiting = self._find(now, answers)
        while waiting is not None:
            answers.append((waiting, self._grant(now, waiting)))
            waiting = self._find(now, answers)
        return answers

    def _find(self, now: float, answers: list[Answered]) -> Waiting | None:
        if not self._shares.waiting or not self._pool.has_free(now):
            return None
        return self._shares.choose(
            lambda share: self._match(now, share, answers),
        )

    def _match(
        self,
        now: float,
        share: Share,
        answers: list[Answered],
    ) -> Waiting | None:
        """Return an ask of the share for which a target is free."""
        long = self._runs.reserve.is_long(now, share.kind)
        if not self._pool.has_free(now, long=long):
            return None
        answers.extend(self._refuse_late(now, share))
        for waiting in share.peek():
            avoid = waiting.ask.avoid
            self._chosen = self._pool.pick(now, avoid, long=long)
            if self._chosen is not None:
                return waiting
        return None

    def _refuse_late(self, now: float, share: Share) -> list[Answered]:
        """Refuse the asks at the head that would not end in time."""
        refused: list[Answered] = []
        head = next(share.peek(), None)
        while head is not None and self._is_late(now, head):
            self._shares.remove(head)
            refused.append((head, _refuse_late(head.ask)))
            head = next(share.peek(), None)
        return refused

    def _is_late(self, now: float, waiting: Waiting) -> bool:
        """Tell whether a slot is better given to an ask behind."""
        run = self._times.get(now, waiting.share.kind)
        left = waiting.deadline - now
        if left <= run.low:
            return True
        if left >= run.high:
            return False
        newest = waiting.share.find_newest(waiting.level)
        return newest is not None and newest.deadline - now >= run.high

    def _grant(self, now: float, waiting: Waiting) -> GrantSlot:
        left = waiting.deadline - now
        expires_in = min(left, MAX_GRANT_TIME) + GRANT_GRACE
        message = self._write(waiting.ask, expires_in)
        self._shares.remove(waiting)
        self._runs.start(now, waiting, message)
        return message

    def _write(self, ask: AskSlot, expires_in: float) -> GrantSlot:
        if self._chosen is None:
            raise LookupError('no target is chosen')
        target = self._chosen.target
        return GrantSlot(
            ask.ask_id,
            next(self._numbers),
            target.name,
            target.address,
            expires_in,
            ask.service,
            self._epoch,
        )


def _refuse_late(ask: AskSlot) -> RefuseSlot:
    return refuse(
        ask,
        ErrorKind.DEADLINE_EXCEEDED,
        MIN_RETRY,
        'No slot was free in time.',
    )
