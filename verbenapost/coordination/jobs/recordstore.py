"""Storage of job records, with writes batched to limit their number."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable
from typing import Any, final

from result import Err, Ok, Result

from verbenapost.coordination.jobs.entries import (
    EntryResult,
    JobEntry,
    find_job,
    make_not_found,
    read_records,
    read_writer,
)
from verbenapost.coordination.jobs.transitions import Transition
from verbenapost.coordination.writes import ResolvingWriter
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.requests import DEFAULT_URGENCY
from verbenapost.protocol.store import NO_REVISION, Entry, StorePort
from verbenapost.state.jobs import (
    JobBatch,
    JobRecord,
    make_batch_key,
    make_job_id,
    pack_batch,
)

#: Seconds between two rounds of writes.
ROUND_PERIOD = 0.2

#: Keys that one round may change.
MAX_KEYS_PER_ROUND = 4

#: Jobs in one batch.
MAX_BATCH_JOBS = 256

#: Bytes of all job bodies in one batch.
MAX_BATCH_BYTES = 262_144

#: Submissions of one pool that may wait for a write.
MAX_PENDING_SUBMISSIONS = 4096

#: Seconds within which the outcome of a write has to be determined.
SETTLE_SECONDS = 10.0

#: Attempts per round to change a key that other writers keep changing.
MAX_CHANGE_ATTEMPTS = 8


@dataclasses.dataclass(slots=True)
class _PendingWrite:
    """A submission or change that waits for its write.

    :param future: receives the outcome of the write.
    :param record: submitted record without identity.
    :param job: identity of the job to change.
    :param transition: change to apply.
    :param urgency: 0, which is written first, to 7.
    """

    future: asyncio.Future[EntryResult]
    record: JobRecord | None = None
    job: str = ''
    transition: Transition | None = None
    urgency: int = DEFAULT_URGENCY

    def resolve(self, outcome: EntryResult) -> None:
        """Set the outcome, unless the caller has been cancelled."""
        if not self.future.done():
            self.future.set_result(outcome)


@final
class JobRecordStore:
    """Accepts and changes jobs with a bounded number of store writes.

    Explanation
    ===========

    All submissions of a pool within a round are written under one key that
    this process has never used before, so the existence of the key shows that
    its creation took effect. All changes of jobs under one key are written
    with one compare-and-swap on the key's revision; after a conflict, the key
    is read again and the transitions are applied to the new records.

    :param store: the platform's store.
    :param writer: determines the outcome of writes whose answer was lost.
    :param instance: random text generated at each start of the process.
    :param now: returns monotonic seconds.
    """

    def __init__(
        self,
        store: StorePort,
        writer: ResolvingWriter,
        instance: str,
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._writer = writer
        self._instance = instance
        self._now = now
        self._numbers = itertools.count(1)
        self._submissions: dict[str, list[_PendingWrite]] = {}
        self._changes: dict[str, list[_PendingWrite]] = {}
        self._work_available = asyncio.Event()

    async def run(self) -> None:
        """Run write rounds until cancelled."""
        while True:
            await self._work_available.wait()
            self._work_available.clear()
            await self.write_round()
            await asyncio.sleep(ROUND_PERIOD)

    async def submit(self, record: JobRecord) -> EntryResult:
        """Store a job and return its record with the assigned identity.

        :param record: record without identity.
        """
        waiting = self._submissions.setdefault(record.pool, [])
        if len(waiting) >= MAX_PENDING_SUBMISSIONS:
            return Err(Failure(ErrorKind.OVERLOADED, 'Too many submissions.'))
        pending = _PendingWrite(_make_future(), record=record)
        waiting.append(pending)
        self._work_available.set()
        return await pending.future

    async def change(
        self,
        pool: str,
        job: str,
        transition: Transition,
        urgency: int = DEFAULT_URGENCY,
    ) -> EntryResult:
        """Apply a transition to a job; ``CONFLICT`` if it is refused.

        :param pool: pool of the job.
        :param job: identity of the job.
        :param transition: change to apply.
        :param urgency: 0, the most urgent, to 7; urgent changes are written
            first when they exceed the limit of a round.
        """
        pending = _PendingWrite(_make_future(), None, job, transition, urgency)
        key = make_batch_key(pool, job)
        self._changes.setdefault(key, []).append(pending)
        self._work_available.set()
        return await pending.future

    async def load(self, pool: str, job: str) -> EntryResult:
        """Read one job."""
        reading = await self._store.get(make_batch_key(pool, job))
        return reading.and_then(lambda entry: find_job(entry, job))

    async def list_pool(self, prefix: str) -> Result[list[JobRecord], Failure]:
        """Read all jobs under a prefix of keys."""
        listing = await self._store.list_prefix(prefix)
        if isinstance(listing, Err):
            return listing
        found: list[JobRecord] = []
        for entry in listing.ok_value.entries:
            found.extend(read_records(entry.value))
        return Ok(found)

    async def write_round(self) -> None:
        """Write pending submissions and changes, up to the round's limits."""
        writes: list[Any] = [
            self._create(pool, pending_writes)
            for pool, pending_writes in self._pop_submissions()
        ]
        writes.extend(
            self._change_key(key, self._changes.pop(key))
            for key in sorted(self._changes, key=self._get_urgency)[
                :MAX_KEYS_PER_ROUND
            ]
        )
        if any(self._submissions.values()) or self._changes:
            self._work_available.set()
        await asyncio.gather(*writes)

    def _get_urgency(self, key: str) -> int:
        return min(pending.urgency for pending in self._changes[key])

    def _pop_submissions(self) -> list[tuple[str, list[_PendingWrite]]]:
        popped = []
        for pool in tuple(self._submissions):
            waiting = self._submissions.pop(pool)
            count = _count_fitting(waiting)
            popped.append((pool, waiting[:count]))
            if waiting[count:]:
                self._submissions[pool] = waiting[count:]
        return popped

    async def _create(
        self, pool: str, pending_writes: list[_PendingWrite]
    ) -> None:
        name = f'j{self._instance}-{next(self._numbers)}'
        records = tuple(
            dataclasses.replace(pending.record, job=make_job_id(name, index))
            for index, pending in enumerate(pending_writes)
            if pending.record is not None
        )
        batch = JobBatch(self._instance, records)
        outcome = await self._writer.resolve_swap(
            make_batch_key(pool, make_job_id(name, 0)),
            NO_REVISION,
            pack_batch(batch),
            _exists,
            self._now() + SETTLE_SECONDS,
        )
        for pending, record in zip(pending_writes, records, strict=True):
            pending.resolve(_make_entry(record, outcome))

    async def _change_key(
        self, key: str, pending_writes: list[_PendingWrite]
    ) -> None:
        failure = Failure(ErrorKind.CONFLICT, f'{key} keeps changing')
        for _ in range(MAX_CHANGE_ATTEMPTS):
            reading = await self._store.get(key)
            if isinstance(reading, Err):
                failure = reading.err_value
                break
            outcome = await self._swap(key, reading.ok_value, pending_writes)
            if outcome is None:
                return
            failure = outcome
            if failure.kind is not ErrorKind.CONFLICT:
                break
        for pending in pending_writes:
            pending.resolve(Err(failure))

    async def _swap(
        self,
        key: str,
        entry: Entry | None,
        pending_writes: list[_PendingWrite],
    ) -> Failure | None:
        if entry is None:
            return Failure(ErrorKind.NOT_FOUND, f'There is no {key}.')
        records = {record.job: record for record in read_records(entry.value)}
        before = dict(records)
        answers = [_apply(records, pending) for pending in pending_writes]
        revision = entry.revision
        if records != before:
            outcome = await self._write(key, revision, tuple(records.values()))
            if isinstance(outcome, Err):
                return outcome.err_value
            revision = outcome.ok_value
        for pending, answer in zip(pending_writes, answers, strict=True):
            pending.resolve(_add_revision(answer, revision))
        return None

    async def _write(
        self,
        key: str,
        revision: int,
        records: tuple[JobRecord, ...],
    ) -> Result[int, Failure]:
        mark = f'{self._instance}:{next(self._numbers)}'
        return await self._writer.resolve_swap(
            key,
            revision,
            pack_batch(JobBatch(mark, records)),
            lambda value: read_writer(value) == mark,
            self._now() + SETTLE_SECONDS,
        )


def _make_future() -> asyncio.Future[EntryResult]:
    return asyncio.get_running_loop().create_future()


def _exists(_value: bytes) -> bool:
    return True


def _count_fitting(waiting: list[_PendingWrite]) -> int:
    size = 0
    for count, pending in enumerate(waiting[:MAX_BATCH_JOBS]):
        size += len(pending.record.content) if pending.record else 0
        if count and size > MAX_BATCH_BYTES:
            return count
    return min(len(waiting), MAX_BATCH_JOBS)


def _apply(
    records: dict[str, JobRecord],
    pending: _PendingWrite,
) -> Result[JobRecord, Failure]:
    record = records.get(pending.job)
    if record is None or pending.transition is None:
        return Err(make_not_found(pending.job))
    changed = pending.transition(record)
    if changed is None:
        detail = f'{pending.job} is {record.state} in attempt {record.attempt}.'
        return Err(Failure(ErrorKind.CONFLICT, detail))
    records[pending.job] = changed
    return Ok(changed)


def _add_revision(
    answer: Result[JobRecord, Failure],
    revision: int,
) -> EntryResult:
    return answer.map(lambda record: JobEntry(record, revision))


def _make_entry(
    record: JobRecord, outcome: Result[int, Failure]
) -> EntryResult:
    return outcome.map(lambda revision: JobEntry(record, revision))
