"""Marked writes, whose outcome can be read back after a lost answer."""

from typing import final

from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import Entry, StorePort


@final
class MarkedWriter:
    """Writes values by compare-and-swap and resolves unknown outcomes.

    Each value contains a unique mark, so a value that is read back shows
    whether the write of this writer took effect.

    :param store: the platform's store.
    :param instance: identity of this process start.
    """

    def __init__(self, store: StorePort, instance: str) -> None:
        self.store = store
        self.instance = instance
        self.sequence = 0

    def issue_mark(self) -> str:
        """Return a unique mark for the next value."""
        self.sequence += 1
        return f'{self.instance}:{self.sequence}'

    async def write(
        self,
        key: str,
        expected: int,
        value: bytes,
    ) -> Result[int, Failure]:
        """Write a value that contains a mark of :meth:`issue_mark`.

        :param key: store key.
        :param expected: revision that the write replaces.
        :param value: value with the mark.
        :returns: the new revision. ``STORE_UNKNOWN`` remains only if the key
            can't be read or still has the expected revision, since the write
            may then still be applied.
        """
        outcome = await self.store.swap(key, expected, value)
        if not isinstance(outcome, Err):
            return outcome
        if outcome.err_value.kind is not ErrorKind.STORE_UNKNOWN:
            return outcome
        read = await self.store.get(key)
        if isinstance(read, Err):
            return outcome
        return _resolve_unknown(
            read.ok_value, expected, value, outcome.err_value
        )


def _resolve_unknown(
    entry: Entry | None,
    expected: int,
    value: bytes,
    unknown: Failure,
) -> Result[int, Failure]:
    if entry is not None and entry.value == value:
        return Ok(entry.revision)
    if entry is None or entry.revision <= expected:
        return Err(unknown)
    return Err(Failure(ErrorKind.CONFLICT, 'overwritten since'))
