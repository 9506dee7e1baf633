"""Removal of jobs that ended long ago."""

import asyncio
from typing import Any, Final

from result import Err

from verbenapost.daemon.timers import read_clock
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import ExpectedRevision, Transaction
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

#: Jobs of one transaction; each uses three of the 32 entries that the store
#: allows.
BATCH_JOBS: Final = 10


class Cleanup:
    """Removes the keys of ended jobs after their retention time.

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
        answer = await self._store.commit(
            Transaction(
                (ExpectedRevision(LEADER_KEY, self._election.revision),),
                (),
                removed,
            )
        )
        if isinstance(answer, Err):
            self._log.warning('jobs not removed', fault=str(answer.err_value))
            return
        self._jobs.forget(names)
        self._log.info('jobs removed', jobs=len(names))
