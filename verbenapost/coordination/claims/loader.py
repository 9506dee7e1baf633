"""Reading of a whole claim ring from the store."""

import asyncio

from result import Err

from verbenapost.coordination.claims.ring import Ring
from verbenapost.protocol.store import Entry, StorePort
from verbenapost.state.claims import (
    RingSlotRecord,
    RingSlotRecordError,
    unpack_slot,
)

#: Maximum concurrent list calls.
CONCURRENT_LISTS = 4

#: Records applied before control returns to the event loop.
CHUNK_RECORDS = 64

_StoredRecord = tuple[RingSlotRecord, int]


class RingLoader:
    """Builds a ring from the store without blocking the event loop.

    Explanation
    ===========

    The groups of slots are listed one after the other, so another owner may
    write in between. A log with a gap must be read again. A log that lacks
    its newest records is harmless: the next swap fails and the owner catches
    up.

    :param store: platform's store.
    :param shard: number of the claim shard.
    :param size: number of slots if the ring is new.
    """

    def __init__(self, store: StorePort, shard: int, size: int) -> None:
        self._store = store
        self._empty = Ring(shard, size)

    async def load(self) -> Ring | None:
        """Return the ring, or ``None`` if some records could not be read."""
        try:
            records = await self._read_groups()
        except RingSlotRecordError:
            return None
        if records is None or not records:
            return None if records is None else self._empty
        records.sort(key=_get_sequence)
        newest = records[-1][0]
        if newest.size != self._empty.size:
            self._empty = Ring(self._empty.shard, newest.size)
            return await self.load()
        return await self._build(records)

    async def _read_groups(self) -> list[_StoredRecord] | None:
        prefixes = self._empty.list_prefixes()
        records: list[_StoredRecord] = []
        for start in range(0, len(prefixes), CONCURRENT_LISTS):
            listings = await asyncio.gather(
                *(
                    self._store.list_prefix(prefix)
                    for prefix in prefixes[start : start + CONCURRENT_LISTS]
                )
            )
            for listing in listings:
                if isinstance(listing, Err):
                    return None
                records.extend(map(_unpack_entry, listing.ok_value.entries))
                await asyncio.sleep(0)
        return records

    async def _build(self, records: list[_StoredRecord]) -> Ring | None:
        ring = Ring(self._empty.shard, self._empty.size)
        newest = records[-1][0]
        if len(records) != min(newest.sequence, ring.size):
            return None
        ring.start_at(records[0][0].sequence)
        for start in range(0, len(records), CHUNK_RECORDS):
            if not ring.append_all(records[start : start + CHUNK_RECORDS]):
                return None
            await asyncio.sleep(0)
        return ring


def _unpack_entry(entry: Entry) -> _StoredRecord:
    return unpack_slot(entry.value), entry.revision


def _get_sequence(pair: _StoredRecord) -> int:
    return pair[0].sequence
