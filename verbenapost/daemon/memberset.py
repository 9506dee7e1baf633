"""Store key that holds the member set of a region."""

import random
from typing import final

import pydantic
from result import Err, Ok, Result

from verbenapost.coordination.quorum import SetWrite
from verbenapost.coordination.register import MemberRegister
from verbenapost.coordination.writes import ResolvingWriter
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import NO_REVISION, Entry, Event, StorePort
from verbenapost.state.members import MEMBERS_PREFIX, pack_set, unpack_set

#: Seconds within which the outcome of a write must be known.
WRITE_SECONDS = 3.0


@final
class MemberSetKey:
    """Reads the member set of a region and replaces it by compare-and-swap.

    :param store: the platform's store.
    :param region: region of the members.
    :param register: receives each newer set.
    """

    def __init__(
        self,
        store: StorePort,
        region: str,
        register: MemberRegister,
    ) -> None:
        self._store = store
        self._key = f'{MEMBERS_PREFIX}{region}'
        self._register = register
        rng = random.Random(region)  # noqa: S311
        self._writer = ResolvingWriter(store, read_clock, rng)

    async def read(self) -> Result[None, Failure]:
        """Read the set from the store and adopt a newer one."""
        revision = self._register.revision
        if revision == NO_REVISION:
            return await self._load()
        answer = await self._store.watch(self._key, revision, 0)
        if isinstance(answer, Err):
            return answer
        batch = answer.ok_value
        if batch.truncated:
            return await self._load()
        if batch.revision < revision:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, 'stale read'))
        for event in batch.events:
            self._adopt(event)
        return Ok(None)

    async def write(self, change: SetWrite) -> Result[int, Failure]:
        """Write a new set by compare-and-swap and adopt it on success."""
        value = pack_set(change.member_set)
        outcome = await self._writer.resolve_swap(
            self._key,
            change.expected,
            value,
            lambda found: found == value,
            read_clock() + WRITE_SECONDS,
        )
        if isinstance(outcome, Ok):
            self._register.adopt(
                outcome.ok_value,
                change.member_set,
                read_clock(),
            )
        return outcome

    async def _load(self) -> Result[None, Failure]:
        answer = await self._store.get(self._key)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value is not None:
            self._adopt(answer.ok_value)
        return Ok(None)

    def _adopt(self, change: Entry | Event) -> None:
        if change.key != self._key or change.value is None:
            return
        try:
            member_set = unpack_set(change.value)
        except pydantic.ValidationError:
            return
        self._register.adopt(change.revision, member_set, read_clock())
