"""Copy of the liveness keys of all members of a region."""

from typing import final

import pydantic
from result import Err, Ok, Result

from verbenapost.protocol.errors import Failure
from verbenapost.protocol.store import Entry, Event, StorePort
from verbenapost.state.members import (
    ALIVE_PREFIX,
    MemberRecord,
    unpack_member,
)


@final
class LivenessWatch:
    """Keeps a copy of a region's liveness keys by watching the store.

    :param store: the platform's store.
    :param region: region whose members are kept; others are ignored.
    """

    def __init__(self, store: StorePort, region: str) -> None:
        self.records: dict[str, MemberRecord] = {}
        self.position = 0
        self._store = store
        self._region = region

    async def follow(self, wait: float) -> Result[None, Failure]:
        """List all keys on the first call; later, wait once for changes.

        :param wait: longest wait for a change, in seconds.
        """
        if self.position == 0:
            return await self._load()
        answer = await self._store.watch(ALIVE_PREFIX, self.position, wait)
        if isinstance(answer, Err):
            return answer
        batch = answer.ok_value
        if batch.truncated:
            return await self._load()
        for event in batch.events:
            self._adopt(event)
        self.position = max(self.position, batch.revision)
        return Ok(None)

    async def _load(self) -> Result[None, Failure]:
        answer = await self._store.list_prefix(ALIVE_PREFIX)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.revision >= self.position:
            self.records.clear()
            for entry in answer.ok_value.entries:
                self._adopt(entry)
            self.position = answer.ok_value.revision
        return Ok(None)

    def _adopt(self, change: Entry | Event) -> None:
        name = change.key.removeprefix(ALIVE_PREFIX)
        self.records.pop(name, None)
        if change.value is None:
            return
        try:
            record = unpack_member(change.value)
        except pydantic.ValidationError:
            # A newer version may write records that this one can't parse.
            return
        if record.region == self._region:
            self.records[name] = _set_since(record, change.revision)


def _set_since(record: MemberRecord, revision: int) -> MemberRecord:
    return MemberRecord(
        record.name,
        record.identity,
        record.address,
        record.data_centre,
        record.region,
        record.roles,
        revision,
    )
