"""Leased store key that shows that this process is alive."""

from typing import final

import pydantic
from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import NO_REVISION, Entry, StorePort
from verbenapost.state.members import (
    ALIVE_PREFIX,
    MemberRecord,
    pack_member,
    unpack_member,
)


@final
class LivenessKey:
    """Creates the key, renews its lease and recreates it after a lapse.

    Explanation
    ===========

    A starting process takes over the key of an earlier process with the same
    name. A process that has held the key and then finds another identity in
    it has been replaced, and does not write the key while it exists.

    :param store: the platform's store.
    :param record: member record of this process.
    """

    def __init__(self, store: StorePort, record: MemberRecord) -> None:
        self.replaced = False
        self._store = store
        self._key = f'{ALIVE_PREFIX}{record.name}'
        self._identity = record.identity
        self._value = pack_member(record)
        self._lease = ''
        self._known_held = False
        self._was_held = False

    @property
    def known_held(self) -> bool:
        """Whether this process is known to hold the key."""
        return self._known_held

    def recheck(self) -> None:
        """Have the next call of ``maintain`` read the key again."""
        self._known_held = False

    async def maintain(self, seconds: float) -> Result[None, Failure]:
        """Renew the lease, or create the key if it is not known to be held.

        :param seconds: duration of a new lease.
        """
        if self._known_held:
            renewed = await self._store.renew_lease(self._lease)
            if not _is_missing(renewed):
                return renewed
            self._forget_lease()
        return await self._create(seconds)

    async def release(self) -> None:
        """Revoke the lease when the process leaves."""
        if self._lease:
            await self._store.revoke_lease(self._lease)
            self._forget_lease()

    async def _create(self, seconds: float) -> Result[None, Failure]:
        reading = await self._store.get(self._key)
        if isinstance(reading, Err):
            return reading
        entry = reading.ok_value
        self.replaced = self._was_held and not self._is_own(entry)
        if self.replaced:
            return Ok(None)
        lease = await self._ensure_lease(seconds)
        if isinstance(lease, Err):
            return lease
        if entry is not None and self._is_written(entry):
            return self._mark_held()
        return await self._write(entry)

    async def _ensure_lease(self, seconds: float) -> Result[None, Failure]:
        if self._lease:
            renewed = await self._store.renew_lease(self._lease)
            if not _is_missing(renewed):
                return renewed
        granted = await self._store.grant_lease(seconds)
        if isinstance(granted, Err):
            return granted
        self._lease = granted.ok_value
        return Ok(None)

    async def _write(self, entry: Entry | None) -> Result[None, Failure]:
        swapped = await self._store.swap(
            self._key,
            entry.revision if entry else NO_REVISION,
            self._value,
            self._lease,
        )
        if isinstance(swapped, Err):
            # If the answer was lost, the next read of the key shows whether
            # the write took effect.
            if _is_missing(swapped):
                self._forget_lease()
            return swapped
        return self._mark_held()

    def _mark_held(self) -> Result[None, Failure]:
        self._known_held = True
        self._was_held = True
        return Ok(None)

    def _forget_lease(self) -> None:
        self._known_held = False
        self._lease = ''

    def _is_written(self, entry: Entry) -> bool:
        return entry.lease == self._lease and entry.value == self._value

    def _is_own(self, entry: Entry | None) -> bool:
        if entry is None:
            return True
        try:
            return unpack_member(entry.value).identity == self._identity
        except pydantic.ValidationError:
            return False


def _is_missing(outcome: Result[object, Failure]) -> bool:
    return (
        isinstance(outcome, Err)
        and outcome.err_value.kind is ErrorKind.NOT_FOUND
    )
