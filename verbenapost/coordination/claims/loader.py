"""Reads a whole claim ring from the store."""

import asyncio

from result import Err

from verbenapost.coordination.claims.ring import Ring
from verbenapost.protocol.store import Entry, StorePort
from verbenapost.state.claims import RecordError, SlotRecord, unpack_slot

#: List calls that run together.
CONCURRENT_LISTS = 4

#: Records applied before other tasks run.
CHUNK_RECORDS = 64

_Loaded = tuple[SlotRecord, int]


class RingLoader:
    """Builds a ring from the store in small steps.

    Explanation
    ===========

    The groups of slots are listed one after the other, so that another owner
    may write meanwhile. A log with a hole is read again; a log that lacks
    its end is harmless, since the next swap fails on it.

    :param store: platform's store.
    :param shard: number of the claim shard.
    :param size: slots of the ring if it is new.
    """

    def __init__(self, store: StorePort, shard: int, size: int) -> None:
        self._store = store
        self._empty = Ring(shard, size)

    async def load(self) -> Ring | None:
        """Return the ring, ``None`` when it could not be read whole."""
        try:
            loaded = await self._read_groups()
        except RecordError:
            return None
        if loaded is None or not loaded:
            return None if loaded is None else self._empty
        loaded.sort(key=_read_sequence)
        newest = loaded[-1][0]
        if newest.size != self._empty.size:
            self._empty = Ring(self._empty.shard, newest.size)
            return await self.load()
        return await self._build(loaded)

    async def _read_groups(self) -> list[_Loaded] | None:
        prefixes = self._empty.list_prefixes()
        loaded: list[_Loaded] = []
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
                loaded.extend(map(_unpack_entry, listing.ok_value.entries))
                await asyncio.sleep(0)
        return loaded

    async def _build(self, loaded: list[_Loaded]) -> Ring | None:
        ring = Ring(self._empty.shard, self._empty.size)
        newest = loaded[-1][0]
        if len(loaded) != min(newest.sequence, ring.size):
            return None
        ring.start_at(loaded[0][0].sequence)
        for start in range(0, len(loaded), CHUNK_RECORDS):
            if not ring.append_all(loaded[start : start + CHUNK_RECORDS]):
                return None
            await asyncio.sleep(0)
        return ring


def _unpack_entry(entry: Entry) -> _Loaded:
    return unpack_slot(entry.value), entry.revision


def _read_sequence(pair: _Loaded) -> int:
    return pair[0].sequence
