"""The leased store key that shows that this process lives."""

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
class LifeKey:
    """Creates the key, renews its lease and creates it anew when it lapsed.

    Explanation
    ===========

    A process that starts takes its place over from an earlier one. A process
    that has held the key and finds another identity in it has been replaced
    and leaves the key alone for as long as it is there.

    :param store: the platform's store.
    :param record: record of the own process.
    """

    def __init__(self, store: StorePort, record: MemberRecord) -> None:
        self.replaced = False
        self._store = store
        self._key = f'{ALIVE_PREFIX}{record.name}'
        self._identity = record.identity
        self._value = pack_member(record)
        self._lease = ''
        self._sure = False
        self._held = False

    @property
    def sure(self) -> bool:
        """Whether the key is known to be held."""
        return self._sure

    def doubt(self) -> None:
        """Look at the key again at the next call of ``keep``."""
        self._sure = False

    async def keep(self, seconds: float) -> Result[None, Failure]:
        """Renew the lease, or create the key.

        :param seconds: life of a new lease.
        """
        if self._sure:
            renewed = await self._store.renew_lease(self._lease)
            if not _is_missing(renewed):
                return renewed
            self._forget_lease()
        return await self._create(seconds)

    async def release(self) -> None:
        """End the lease when the process leaves."""
        if self._lease:
            await self._store.revoke_lease(self._lease)
            self._forget_lease()

    async def _create(self, seconds: float) -> Result[None, Failure]:
        reading = await self._store.get(self._key)
        if isinstance(reading, Err):
            return reading
        entry = reading.ok_value
        self.replaced = self._held and not self._is_own(entry)
        if self.replaced:
            return Ok(None)
        lease = await self._find_lease(seconds)
        if isinstance(lease, Err):
            return lease
        if entry is not None and self._is_done(entry):
            return self._note_held()
        return await self._write(entry)

    async def _find_lease(self, seconds: float) -> Result[None, Failure]:
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
            # A lost answer is settled by the next look at the key.
            if _is_missing(swapped):
                self._forget_lease()
            return swapped
        return self._note_held()

    def _note_held(self) -> Result[None, Failure]:
        self._sure = True
        self._held = True
        return Ok(None)

    def _forget_lease(self) -> None:
        self._sure = False
        self._lease = ''

    def _is_done(self, entry: Entry) -> bool:
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
