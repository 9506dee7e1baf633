"""Removal of jobs that ended long ago."""

import asyncio
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
from verbenapost.scheduler.intake import JobIntake
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


class Cleanup:
    """Removes the keys of ended jobs after their retention time.

    A removal without an answer may take effect seconds later, when the job may
    have been submitted again. It therefore expects the stored end of each job.

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
