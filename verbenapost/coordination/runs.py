"""Start, adoption, renewal and end of runs on granted slots."""

from typing import final

from verbenapost.coordination.grants import (
    MAX_GRANT_TIME,
    Grant,
    GrantTable,
)
from verbenapost.coordination.outliers import RunEnd
from verbenapost.coordination.reserve import ShortReserve
from verbenapost.coordination.runtimes import RunTimes
from verbenapost.coordination.sharequeue import QueuedRequest, Share
from verbenapost.coordination.shares import FairShares
from verbenapost.coordination.targets import TargetPool
from verbenapost.protocol.slots import GrantSlot, RunningGrant, RunOutcome

#: Lower limit of the weight of long work, assumed also while there is none.
MIN_LONG_WEIGHT = 1.0


@final
class Runs:
    """Updates grants, slots, charges and run times consistently.

    :param pool: targets of the service.
    :param shares: queue of the service.
    :param run_times: measured run times.
    """

    def __init__(
        self,
        pool: TargetPool,
        shares: FairShares,
        run_times: RunTimes,
    ) -> None:
        self.reserve = ShortReserve(run_times)
        self.grants = GrantTable()
        self._pool = pool
        self._shares = shares
        self._run_times = run_times

    def start(
        self,
        now: float,
        queued: QueuedRequest,
        message: GrantSlot,
    ) -> None:
        """Occupy the slot of a new grant."""
        share = queued.share
        grant = Grant(
            message=message,
            entry=queued.slot_request.entry,
            share=share,
            job=queued.slot_request.job or queued.slot_request.slot_request_id,
            long=self.reserve.is_long(now, share.kind),
            expected=self._run_times.get(now, share.kind).mean,
            granted_at=now,
            expires_at=now + message.expires_in,
        )
        self._pool.acquire(message.target, long=grant.long)
        self._register(grant)

    def adopt(self, now: float, entry: str, row: RunningGrant) -> None:
        """Register a run that another owner or an entry started."""
        share = self._shares.get_share((row.team, row.kind))
        message = GrantSlot(
            row.slot_request_id, row.grant, row.target, '', MAX_GRANT_TIME
        )
        grant = Grant(
            message=message,
            entry=entry,
            share=share,
            job=row.slot_request_id,
            long=self.reserve.is_long(now, row.kind),
            expected=self._run_times.get(now, row.kind).mean,
            granted_at=now - row.age,
            expires_at=now + MAX_GRANT_TIME,
            adopted=True,
        )
        self._pool.adopt(row.target, long=grant.long)
        self._register(grant)

    def renew(self, now: float, grant: Grant) -> None:
        """Extend the expiry of a reported grant."""
        self.grants.renew(grant, now + MAX_GRANT_TIME)

    def end(self, now: float, grant: Grant, outcome: RunOutcome) -> None:
        """Free the slot of a grant and record the outcome of its run."""
        message = grant.message
        self.grants.pop(message.slot_request_id)
        run_end = RunEnd(grant.share.kind, grant.job, outcome)
        self._pool.record(now, message.target, run_end)
        self._pool.release(message.target, long=grant.long)
        elapsed = now - grant.granted_at
        self._shares.settle(grant.share, elapsed - grant.expected)

    def record_run_time(
        self,
        now: float,
        grant: Grant,
        outcome: RunOutcome,
        run_time: float,
    ) -> None:
        """Record the run time that an entry measured.

        :param run_time: seconds; limited to the time since the grant.
        """
        seconds = min(max(run_time, 0), now - grant.granted_at)
        if outcome is RunOutcome.OK:
            self._run_times.add(now, grant.share.kind, seconds)
        elif outcome is RunOutcome.CANCELLED:
            self._run_times.add_cancelled(now, grant.share.kind, seconds)

    def size_reserve(self, now: float) -> None:
        """Recalculate the slots that are reserved for short work."""
        self._shares.prune()
        slots = self._pool.count_slots(now)
        self._shares.set_capacity(slots)
        short = [
            share
            for share in self._shares
            if not self.reserve.is_long(now, share.kind)
        ]
        reserved = self.reserve.compute(
            now,
            slots,
            need=sum(share.running + share.waiting for share in short),
            fraction=self._compute_short_fraction(short),
        )
        self._pool.set_reserve(now, reserved)

    def _compute_short_fraction(self, short: list[Share]) -> float:
        """Return the weight of short work as a fraction of all weights."""
        short_weight = sum(share.weight for share in short)
        weights = sum(share.weight for share in self._shares)
        long_weight = max(weights - short_weight, MIN_LONG_WEIGHT)
        return short_weight / (short_weight + long_weight)

    def _register(self, grant: Grant) -> None:
        self.grants.add(grant)
        self._shares.charge(grant.share, grant.expected)
