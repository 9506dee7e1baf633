"""Writes of job records, grouped so that floods cost few writes."""

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
    make_missing,
    read_records,
    read_writer,
)
from verbenapost.coordination.jobs.steps import Step
from verbenapost.coordination.writes import SettledWriter
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.requests import DEFAULT_URGENCY
from verbenapost.protocol.store import NO_REVISION, Entry, StorePort
from verbenapost.state.jobs import (
    JobBatch,
    JobRecord,
    locate_job,
    name_job,
    pack_batch,
)

#: Seconds between two rounds of writes.
ROUND_PERIOD = 0.2

#: Keys that one round changes.
ROUND_KEYS = 4

#: Jobs of one batch.
MAX_BATCH_JOBS = 256

#: Bytes of the bodies of one batch.
MAX_BATCH_BYTES = 262_144

#: Submissions of one pool that wait for a write.
MAX_WAITING = 4096

#: Seconds in which a write is settled.
SETTLE_SECONDS = 10.0

#: Reads of a key that others keep changing, for one round.
MAX_READS = 8


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A submission or change that waits for its write.

    :param record: submitted record without identity.
    :param job: identity of the job to change.
    :param step: change.
    :param urgency: 0, written first, to 7.
    """

    future: asyncio.Future[EntryResult]
    record: JobRecord | None = None
    job: str = ''
    step: Step | None = None
    urgency: int = DEFAULT_URGENCY

    def settle(self, outcome: EntryResult) -> None:
        """Answer whoever waits, who may have gone."""
        if not self.future.done():
            self.future.set_result(outcome)


@final
class JobLedger:
    """Accepts and changes jobs with a bounded number of store writes.

    Explanation
    ===========

    Submissions of a pool that come within a round share a key that this
    process has never used before, so that the key's existence alone shows
    that its creation took effect. Changes of jobs of one key share a swap on
    the key's revision; who loses reads again and judges its steps anew.

    :param store: the platform's store.
    :param writer: settles lost answers.
    :param instance: random text made at each start of the process.
    :param now: returns monotonic seconds.
    """

    def __init__(
        self,
        store: StorePort,
        writer: SettledWriter,
        instance: str,
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._writer = writer
        self._instance = instance
        self._now = now
        self._numbers = itertools.count(1)
        self._submissions: dict[str, list[_Waiter]] = {}
        self._changes: dict[str, list[_Waiter]] = {}
        self._wanted = asyncio.Event()

    async def run(self) -> None:
        """Write rounds until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            await self.write_round()
            await asyncio.sleep(ROUND_PERIOD)

    async def submit(self, record: JobRecord) -> EntryResult:
        """Store a job and return it with its identity.

        :param record: record without identity.
        """
        waiting = self._submissions.setdefault(record.pool, [])
        if len(waiting) >= MAX_WAITING:
            return Err(Failure(ErrorKind.OVERLOADED, 'Too many submissions.'))
        waiter = _Waiter(_make_future(), record=record)
        waiting.append(waiter)
        self._wanted.set()
        return await waiter.future

    async def change(
        self,
        pool: str,
        job: str,
        step: Step,
        urgency: int = DEFAULT_URGENCY,
    ) -> EntryResult:
        """Apply a step to a job; ``CONFLICT`` when the step refuses.

        :param urgency: 0, the most urgent, to 7; urgent changes go before
            others when a round can't hold them all.
        """
        waiter = _Waiter(_make_future(), None, job, step, urgency)
        key = locate_job(pool, job)
        self._changes.setdefault(key, []).append(waiter)
        self._wanted.set()
        return await waiter.future

    async def load(self, pool: str, job: str) -> EntryResult:
        """Read one job."""
        reading = await self._store.get(locate_job(pool, job))
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
        """Write what waits, within the round's limit of keys."""
        works: list[Any] = [
            self._create(pool, waiters) for pool, waiters in self._take_new()
        ]
        works.extend(
            self._change_key(key, self._changes.pop(key))
            for key in sorted(self._changes, key=self._rank)[:ROUND_KEYS]
        )
        if any(self._submissions.values()) or self._changes:
            self._wanted.set()
        await asyncio.gather(*works)

    def _rank(self, key: str) -> int:
        return min(waiter.urgency for waiter in self._changes[key])

    def _take_new(self) -> list[tuple[str, list[_Waiter]]]:
        taken = []
        for pool in tuple(self._submissions):
            waiting = self._submissions.pop(pool)
            count = _count_fitting(waiting)
            taken.append((pool, waiting[:count]))
            if waiting[count:]:
                self._submissions[pool] = waiting[count:]
        return taken

    async def _create(self, pool: str, waiters: list[_Waiter]) -> None:
        name = f'j{self._instance}-{next(self._numbers)}'
        records = tuple(
            dataclasses.replace(waiter.record, job=name_job(name, index))
            for index, waiter in enumerate(waiters)
            if waiter.record is not None
        )
        batch = JobBatch(self._instance, records)
        outcome = await self._writer.settle_swap(
            locate_job(pool, name_job(name, 0)),
            NO_REVISION,
            pack_batch(batch),
            _exists,
            self._now() + SETTLE_SECONDS,
        )
        for waiter, record in zip(waiters, records, strict=True):
            waiter.settle(_pair(record, outcome))

    async def _change_key(self, key: str, waiters: list[_Waiter]) -> None:
        failure = Failure(ErrorKind.CONFLICT, f'{key} keeps changing')
        for _ in range(MAX_READS):
            reading = await self._store.get(key)
            if isinstance(reading, Err):
                failure = reading.err_value
                break
            outcome = await self._swap(key, reading.ok_value, waiters)
            if outcome is None:
                return
            failure = outcome
            if failure.kind is not ErrorKind.CONFLICT:
                break
        for waiter in waiters:
            waiter.settle(Err(failure))

    async def _swap(
        self,
        key: str,
        entry: Entry | None,
        waiters: list[_Waiter],
    ) -> Failure | None:
        if entry is None:
            return Failure(ErrorKind.NOT_FOUND, f'There is no {key}.')
        records = {record.job: record for record in read_records(entry.value)}
        before = dict(records)
        answers = [_apply(records, waiter) for waiter in waiters]
        revision = entry.revision
        if records != before:
            outcome = await self._write(key, revision, tuple(records.values()))
            if isinstance(outcome, Err):
                return outcome.err_value
            revision = outcome.ok_value
        for waiter, answer in zip(waiters, answers, strict=True):
            waiter.settle(_add_revision(answer, revision))
        return None

    async def _write(
        self,
        key: str,
        revision: int,
        records: tuple[JobRecord, ...],
    ) -> Result[int, Failure]:
        mark = f'{self._instance}:{next(self._numbers)}'
        return await self._writer.settle_swap(
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


def _count_fitting(waiting: list[_Waiter]) -> int:
    size = 0
    for count, waiter in enumerate(waiting[:MAX_BATCH_JOBS]):
        size += len(waiter.record.content) if waiter.record else 0
        if count and size > MAX_BATCH_BYTES:
            return count
    return min(len(waiting), MAX_BATCH_JOBS)


def _apply(
    records: dict[str, JobRecord],
    waiter: _Waiter,
) -> Result[JobRecord, Failure]:
    record = records.get(waiter.job)
    if record is None or waiter.step is None:
        return Err(make_missing(waiter.job))
    changed = waiter.step(record)
    if changed is None:
        detail = f'{waiter.job} is {record.state} in attempt {record.attempt}.'
        return Err(Failure(ErrorKind.CONFLICT, detail))
    records[waiter.job] = changed
    return Ok(changed)


def _add_revision(
    answer: Result[JobRecord, Failure],
    revision: int,
) -> EntryResult:
    return answer.map(lambda record: JobEntry(record, revision))


def _pair(record: JobRecord, outcome: Result[int, Failure]) -> EntryResult:
    return outcome.map(lambda revision: JobEntry(record, revision))
