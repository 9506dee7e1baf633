"""Removal of jobs that ended, or were withdrawn, long ago."""

import asyncio
import itertools
from collections.abc import Sequence
from typing import Any, Final

from result import Err

from verbenapost.daemon.timers import read_clock
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import (
    CallFault,
    ExpectedRevision,
    Transaction,
    TransactionConflict,
)
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.intake import CancelMark, JobIntake
from verbenapost.scheduler.keys import (
    LEADER_KEY,
    make_cancel_key,
    make_progress_key,
    make_spec_key,
)

#: Seconds between two cleanup rounds.
ROUND_SECONDS: Final = 5.0

#: Seconds beyond the platform's retention bound for which an ended job is kept,
#: so that a late retry of its submission still finds the job.
EXTRA_RETENTION_SECONDS: Final = 60.0

#: Jobs of one transaction; each uses four of the 32 entries that the store
#: allows.
BATCH_JOBS: Final = 7

#: Withdrawn jobs of one transaction; each uses three entries.
BATCH_WITHDRAWN: Final = 10


class Cleanup:
    """Removes the keys of ended and withdrawn jobs after their retention time.

    A removal without an answer may take effect seconds later, when the job may
    have been submitted again. It therefore expects the stored end of each job,
    and for a withdrawn job the mark and that no submission is stored.

    :param store: the store.
    :param election: leadership of this daemon.
    :param jobs: jobs that the leader knows.
    :param retention: seconds for which the state of an ended job must stay
        readable.
    :param log: logger.
    """

    def __init__(
        self,
        store: PlatformStore,
        election: Election,
        jobs: JobIntake,
        retention: float,
        log: Any,
    ) -> None:
        self._store = store
        self._election = election
        self._jobs = jobs
        self._retention = retention + EXTRA_RETENTION_SECONDS
        self._log = log

    async def run(self) -> None:
        """Remove expired jobs until the task is cancelled."""
        while True:
            await asyncio.sleep(ROUND_SECONDS)
            if self._election.holds_lease():
                await self.remove_expired(read_clock())
                await self.remove_withdrawn(read_clock())

    async def remove_expired(self, now: float) -> None:
        """Remove one batch of jobs whose retention time has passed."""
        names = self._jobs.find_ended(now - self._retention)[:BATCH_JOBS]
        if not names:
            return
        removed = [
            key
            for name in names
            for key in (
                make_spec_key(name),
                make_cancel_key(name),
                make_progress_key(name),
            )
        ]
        expected = (
            ExpectedRevision(LEADER_KEY, self._election.revision),
            *map(self._expect_end, names),
        )
        answer = await self._store.commit(Transaction(expected, (), removed))
        if isinstance(answer, Err):
            self._log.warning('jobs not removed', fault=str(answer.err_value))
            names = self._find_removed(names, answer.err_value)
        if not names:
            return
        self._jobs.forget(names)
        self._log.info('jobs removed', jobs=len(names))

    async def remove_withdrawn(self, now: float) -> None:
        """Remove the marks of withdrawn jobs whose retention time has passed.

        Callers set these marks, so that there may be many.
        """
        marks = self._jobs.find_withdrawn(now - self._retention)
        for first in range(0, len(marks), BATCH_WITHDRAWN):
            batch = marks[first : first + BATCH_WITHDRAWN]
            if not await self._remove_marks(batch):
                return

    async def _remove_marks(self, marks: Sequence[CancelMark]) -> bool:
        """Remove marks and return whether the store has answered."""
        expected = (
            ExpectedRevision(LEADER_KEY, self._election.revision),
            *itertools.chain.from_iterable(map(_expect_withdrawn, marks)),
        )
        removed = [make_cancel_key(mark.job) for mark in marks]
        answer = await self._store.commit(Transaction(expected, (), removed))
        names = [mark.job for mark in marks]
        if isinstance(answer, Err):
            fault = answer.err_value
            self._log.warning('marks not removed', fault=str(fault))
            if isinstance(fault, CallFault):
                return False
            names = _find_changed(marks, fault)
        self._jobs.forget_withdrawn(names)
        self._log.info('withdrawn jobs forgotten', jobs=len(names))
        return True

    def _expect_end(self, name: str) -> ExpectedRevision:
        job = self._jobs.find_job(name)
        revision = 0 if job is None else job.revision
        return ExpectedRevision(make_progress_key(name), revision)

    def _find_removed(
        self, names: Sequence[str], fault: CallFault | TransactionConflict
    ) -> list[str]:
        """Return the jobs that an earlier attempt without an answer removed."""
        if isinstance(fault, CallFault):
            return []
        found = {item.key: item.revision for item in fault.items}
        if found.get(LEADER_KEY) != self._election.revision:
            return []
        return [name for name in names if make_progress_key(name) not in found]


def _expect_withdrawn(mark: CancelMark) -> Sequence[ExpectedRevision]:
    return (
        ExpectedRevision(make_cancel_key(mark.job), mark.revision),
        ExpectedRevision(make_spec_key(mark.job), 0),
    )


def _find_changed(
    marks: Sequence[CancelMark], conflict: TransactionConflict
) -> list[str]:
    """Return the jobs whose mark is gone, or whose submission is stored.

    A stored submission that this leader doesn't know is one that it can't read.
    """
    found = {item.key: item.revision for item in conflict.items}
    return [
        mark.job
        for mark in marks
        if found.get(make_cancel_key(mark.job)) != mark.revision
        or make_spec_key(mark.job) in found
    ]
