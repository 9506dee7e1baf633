"""Writing of changed job progress to the store."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final, final

from result import Err

from verbenapost.coordination.scheduling.jobprogress import pack_progress
from verbenapost.coordination.scheduling.jobs import Job
from verbenapost.daemon.timers import read_clock
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import (
    CallFault,
    ExpectedRevision,
    Transaction,
    TransactionConflict,
    Write,
)
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.keys import (
    LEADER_KEY,
    make_progress_key,
    make_spec_key,
)
from verbenapost.state.submissions import pack_job
from verbenapost.state.workloads import CallerJobState, JobSpec

#: Entries of one transaction besides the leader key; the store allows 32.
BATCH_ENTRIES: Final = 31

#: Entries of one job: its progress is expected and written. For an ended job
#: the reduced submission is written too.
JOB_ENTRIES: Final = 2
ENDED_ENTRIES: Final = 3

#: Seconds for which changes are collected into one transaction. The store
#: answers in 4 ms, but each call has a cost.
BATCH_DELAY: Final = 0.02

#: Seconds between two attempts of a transaction.
RETRY_SECONDS: Final = 0.1


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    job: Job
    packed: bytes
    state: CallerJobState


class Recorder:
    """Writes the progress of changed jobs, one transaction at a time.

    Explanation
    ===========

    Changes that arrive during a transaction are collected for the next one.
    Each transaction expects the revisions of the leader key and of each job's
    progress as this leader knows them. A previous leader can therefore not
    write, and a late duplicate of an earlier transaction finds other revisions
    and has no effect.

    :param store: the store.
    :param election: leadership of this daemon.
    :param find_job: returns a job by its identity.
    :param log: logger.
    """

    def __init__(
        self,
        store: PlatformStore,
        election: Election,
        find_job: Callable[[str], Job | None],
        log: Any,
    ) -> None:
        self._store = store
        self._election = election
        self._find_job = find_job
        self._log = log
        self._dirty: dict[str, list[asyncio.Future[bool]]] = {}
        self._wake = asyncio.Event()

    def mark_dirty(self, jobs: Iterable[str]) -> list[asyncio.Future[bool]]:
        """Schedule jobs for writing.

        :param jobs: identities of the jobs.
        :returns: one future for each job with whether the job was written.
        """
        futures = []
        loop = asyncio.get_running_loop()
        for job in jobs:
            future: asyncio.Future[bool] = loop.create_future()
            self._dirty.setdefault(job, []).append(future)
            futures.append(future)
        if futures:
            self._wake.set()
        return futures

    async def run(self) -> None:
        """Write until the task is cancelled or the leadership is lost."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(BATCH_DELAY)
            batch = self._pop_batch()
            if not batch:
                self._wake.clear()
                continue
            entries = [
                _Entry(job, pack_progress(job), job.state)
                for job in map(self._find_job, batch)
                if job is not None
            ]
            written = await self._write(entries)
            for futures in batch.values():
                _resolve(futures, written=written)

    async def flush(self) -> None:
        """Wait until all jobs that are dirty now are written."""
        await asyncio.gather(*self.mark_dirty(list(self._dirty)))

    def _pop_batch(self) -> dict[str, list[asyncio.Future[bool]]]:
        chosen = []
        entries = 0
        for name in self._dirty:
            job = self._find_job(name)
            ended = job is not None and job.state.ended
            entries += ENDED_ENTRIES if ended else JOB_ENTRIES
            if entries > BATCH_ENTRIES:
                break
            chosen.append(name)
        return {row: self._dirty.pop(row) for row in chosen}

    async def _write(self, entries: Sequence[_Entry]) -> bool:
        """Write entries and return whether all of them are stored."""
        while entries:
            answer = await self._store.commit(self._make_transaction(entries))
            if not isinstance(answer, Err):
                self._note_written(entries, answer.ok_value)
                return True
            fault = answer.err_value
            if isinstance(fault, CallFault):
                self._log.warning(
                    'write not confirmed',
                    jobs=len(entries),
                    fault=fault.kind.value,
                    detail=fault.detail,
                )
                await asyncio.sleep(RETRY_SECONDS)
                continue
            unwritten = self._find_unwritten(entries, fault)
            if unwritten is None:
                return False
            entries = unwritten
        return True

    def _make_transaction(self, entries: Sequence[_Entry]) -> Transaction:
        expected = [
            ExpectedRevision(
                make_progress_key(row.job.spec.job), row.job.revision
            )
            for row in entries
        ]
        writes = [
            Write(make_progress_key(row.job.spec.job), row.packed)
            for row in entries
        ]
        stripped = [
            Write(
                make_spec_key(row.job.spec.job), pack_job(strip_spec(row.job))
            )
            for row in entries
            if row.state.ended
        ]
        return Transaction(
            (ExpectedRevision(LEADER_KEY, self._election.revision), *expected),
            [*writes, *stripped],
        )

    def _note_written(self, entries: Sequence[_Entry], revision: int) -> None:
        for row in entries:
            row.job.revision = revision
            row.job.stored_state = row.state
            if row.state.ended:
                row.job.ended_at = read_clock()
                self._log.info(
                    'end stored',
                    job=row.job.spec.job,
                    state=row.state.value,
                    revision=revision,
                )

    def _find_unwritten(
        self,
        entries: Sequence[_Entry],
        conflict: TransactionConflict,
    ) -> list[_Entry] | None:
        """Return the entries that no earlier attempt has written.

        :returns: the entries, or ``None`` when this daemon no longer leads.
        """
        found = {item.key: item for item in conflict.items}
        leader = found.get(LEADER_KEY)
        if leader is None or leader.revision != self._election.revision:
            self._election.lose('a write found another leader')
            return None
        unwritten = []
        for row in entries:
            item = found.get(make_progress_key(row.job.spec.job))
            if item is not None and item.value == row.packed:
                self._note_written([row], item.revision)
                continue
            row.job.revision = 0 if item is None else item.revision
            unwritten.append(row)
        return unwritten


def strip_spec(job: Job) -> JobSpec:
    """Return the submission of an ended job without payload, steps and terms.

    The key still shows that the job is known. The rest would only make the
    takeover of the next leader slower.
    """
    return dataclasses.replace(
        job.spec, payload='', steps=(), repetitions=0, terms=None
    )


def _resolve(
    futures: Sequence[asyncio.Future[bool]],
    *,
    written: bool,
) -> None:
    for future in futures:
        if not future.done():
            future.set_result(written)
