"""Change feed of the job records of a pool."""

from collections.abc import Callable, Sequence
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.jobs.entries import JobEntry, read_records
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.store import StorePort
from verbenapost.state.jobs import JOBS_PREFIX, JobRecord

#: Seconds that one watch waits for changes.
WATCH_WAIT = 20.0

#: Seconds for which a batch is kept after its last job has ended.
RETENTION_SECONDS = 3600.0


@final
class JobFeed:
    """Reads all jobs of a pool, then follows their changes.

    :param store: the platform's store.
    :param pool: name of the pool.
    :param adopt: called with each record and the revision of its key.
    """

    def __init__(
        self,
        store: StorePort,
        pool: str,
        adopt: Callable[[JobEntry], None],
    ) -> None:
        self.loaded = False
        self._store = store
        self._prefix = f'{JOBS_PREFIX}{pool}/'
        self._adopt = adopt
        self._last_revision = 0

    async def load(self) -> Result[None, Failure]:
        """Read all batches."""
        answer = await self._store.list_prefix(self._prefix)
        if isinstance(answer, Err):
            return answer
        for entry in answer.ok_value.entries:
            self._adopt_batch(entry.value, entry.revision)
        self._last_revision = max(self._last_revision, answer.ok_value.revision)
        self.loaded = True
        return Ok(None)

    async def follow(self) -> Result[None, Failure]:
        """Wait for the next changes and apply them."""
        answer = await self._store.watch(
            self._prefix,
            self._last_revision,
            WATCH_WAIT,
        )
        if isinstance(answer, Err):
            return answer
        batch = answer.ok_value
        if batch.truncated:
            return await self.load()
        for event in batch.events:
            if event.value is not None:
                self._adopt_batch(event.value, event.revision)
        self._last_revision = max(self._last_revision, batch.revision)
        return Ok(None)

    async def sweep(self, wall: float) -> Result[int, Failure]:
        """Delete the batches whose jobs have all ended long ago.

        :param wall: Unix time in seconds.
        :returns: number of deleted batches.
        """
        answer = await self._store.list_prefix(self._prefix)
        if isinstance(answer, Err):
            return answer
        deleted = 0
        for entry in answer.ok_value.entries:
            if _is_expired(read_records(entry.value), wall):
                outcome = await self._store.delete(entry.key, entry.revision)
                deleted += int(isinstance(outcome, Ok))
        return Ok(deleted)

    def _adopt_batch(self, value: bytes, revision: int) -> None:
        for record in read_records(value):
            self._adopt(JobEntry(record, revision))


def _is_expired(records: Sequence[JobRecord], wall: float) -> bool:
    return bool(records) and all(
        record.state.ended and record.finished_at + RETENTION_SECONDS < wall
        for record in records
    )
