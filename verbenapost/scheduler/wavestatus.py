"""Stored state of maintenance waves."""

import asyncio
import dataclasses
import json
from collections import defaultdict
from collections.abc import Collection, Mapping
from typing import Any, Final, final

from result import Err

from verbenapost.platform.fields import check_text, read_count
from verbenapost.platform.names import WAVE_STATUS_PREFIX
from verbenapost.platform.records import (
    encode_wave_status,
    is_wave_completed,
)
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import (
    CallFault,
    ExpectedRevision,
    Transaction,
    TransactionConflict,
    Write,
)
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.keys import (
    LEADER_KEY,
    make_wave_key,
    make_wave_orders_key,
    make_wave_removed_key,
)

#: Attempts of one write. The second follows a conflict that has shown which
#: revision an earlier write left.
MAX_WRITE_ATTEMPTS: Final = 2


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WaveRecord:
    """What is stored of a wave for later leaders.

    :param begun: VMs whose maintenance has begun, each with the fencing token
        of the leader whose order was confirmed, 0 if that is not known.
    :param ordered: other VMs for which an order may have been sent.
    :param removed: other VMs that were removed from the fleet, as refused
        orders have shown.
    """

    begun: Mapping[str, int] = dataclasses.field(default_factory=dict)
    ordered: frozenset[str] = frozenset()
    removed: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class _StoredWave:
    """What this leader knows of a wave's keys.

    :param lock: held during a write, so that writes don't conflict.
    :param wanted: the record to store.
    :param stored: the record that is known to be stored, if any.
    :param revision: revision of the wave's key.
    :param shown_completed: whether the stored state is, or is about to be,
        ``completed``.
    :param complete: whether this leader has found the wave to be complete.
    :param writes: number of writes that have begun.
    :param written: whether the last of them is known to have succeeded.
    """

    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    wanted: WaveRecord = dataclasses.field(default_factory=WaveRecord)
    stored: WaveRecord | None = None
    revision: int = 0
    shown_completed: bool = False
    complete: bool = False
    writes: int = 0
    written: bool = False


class WaveStatus:
    """Stores each wave's state for operators and its VMs for later leaders.

    Explanation
    ===========

    A write without an answer may take effect seconds later. Each write expects
    the revision that the last one known has left, so that a late one can't
    replace a newer record. One write of a wave is in flight at a time and
    stores the newest record, whichever caller waits for it. A write that fails
    fails for all who were waiting when it began.

    :param store: the store.
    :param election: leadership of this daemon.
    :param log: logger.
    """

    def __init__(
        self,
        store: PlatformStore,
        election: Election,
        log: Any,
    ) -> None:
        self._store = store
        self._election = election
        self._log = log
        self._waves: defaultdict[int, _StoredWave] = defaultdict(_StoredWave)

    def is_complete(self, wave: int) -> bool:
        """Return whether this leader has found a wave to be complete."""
        return self._waves[wave].complete

    def has_stored_orders(self, wave: int, vms: Collection[str]) -> bool:
        """Return whether the orders for VMs are known to be stored.

        :param wave: number of the wave.
        :param vms: names of the VMs.
        """
        stored = self._waves[wave].stored
        return stored is not None and stored.ordered.issuperset(vms)

    async def begin(self, wave: int) -> WaveRecord | None:
        """Store that a wave is running, unless its completion is stored.

        :returns: what earlier leaders stored, or ``None`` when it could not be
            read.
        """
        packed = await self._read_all(
            wave,
            f'{WAVE_STATUS_PREFIX}{wave}',
            make_wave_key(wave),
            make_wave_orders_key(wave),
            make_wave_removed_key(wave),
        )
        if packed is None:
            return None
        status, begun, ordered, removed = packed
        terms = self._decode(wave, begun)
        record = WaveRecord(
            terms,
            frozenset(self._decode(wave, ordered).keys() - terms.keys()),
            frozenset(self._decode(wave, removed)),
        )
        found = self._waves[wave]
        found.shown_completed = is_wave_completed(status)
        if not found.shown_completed:
            await self.store(wave, record)
        return record

    async def store(self, wave: int, record: WaveRecord) -> bool:
        """Store a wave's VMs for later leaders; return whether that is known.

        :param wave: number of the wave.
        :param record: the wave's VMs.
        """
        found = self._waves[wave]
        found.wanted = record
        writes = found.writes
        async with found.lock:
            if found.stored == found.wanted:
                return True
            if found.writes > writes:
                # The last write began since, with this record or a newer one.
                return found.written
            return await self._write(wave)

    def is_shown_completed(self, wave: int) -> bool:
        """Return whether a wave's completion is stored, by any leader."""
        return self._waves[wave].shown_completed

    async def complete(self, wave: int) -> None:
        """Store that a wave is completed, unless that is stored."""
        found = self._waves[wave]
        async with found.lock:
            if found.shown_completed:
                found.complete = True
                self._log.info('wave found completed', wave=wave)
            elif await self._write(wave, completed=True):
                found.shown_completed = True
                found.complete = True
                self._log.info('wave completed', wave=wave)

    async def reopen(self, wave: int) -> bool:
        """Store that a wave is running again; return whether that is known.

        :param wave: number of the wave.
        """
        found = self._waves[wave]
        found.complete = False
        if not found.shown_completed:
            return True
        async with found.lock:
            found.shown_completed = not await self._write(wave, completed=False)
            return not found.shown_completed

    async def _read_all(self, wave: int, *keys: str) -> list[bytes] | None:
        """Return the values of keys, ``None`` once one could not be read."""
        packed = []
        for key in keys:
            found = await self._read(wave, key)
            if found is None:
                return None
            packed.append(found)
        return packed

    async def _read(self, wave: int, key: str) -> bytes | None:
        """Return the value of a key, ``None`` when it could not be read."""
        found = await self._store.read_key(key)
        if isinstance(found, Err):
            self._log.warning(
                'wave status not read', wave=wave, fault=str(found.err_value)
            )
            return None
        return b'' if found.ok_value is None else found.ok_value.value

    def _decode(self, wave: int, packed: bytes) -> Mapping[str, int]:
        """Return the VMs of a record, none if another writer's value.

        An order for a VM that has begun already is confirmed by the platform
        without an effect.
        """
        if not packed:
            return {}
        try:
            return _read_terms(json.loads(packed))
        except (ValueError, TypeError, RecursionError) as fault:
            self._log.error(
                'wave record not decodable', wave=wave, fault=str(fault)
            )
            return {}

    async def _write(self, wave: int, *, completed: bool | None = None) -> bool:
        """Write the wanted record; the caller holds the wave's lock.

        :param wave: number of the wave.
        :param completed: state to show, or ``None`` for the one shown so far.
        :returns: whether the record is known to be stored.
        """
        found = self._waves[wave]
        if completed is None:
            completed = found.shown_completed
        record = found.wanted
        found.writes += 1
        found.written = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            answer = await self._store.commit(
                self._make_transaction(wave, record, completed=completed)
            )
            if not isinstance(answer, Err):
                found.revision = answer.ok_value
                found.stored = record
                found.written = True
                return True
            fault = answer.err_value
            self._log.warning(
                'wave status not written',
                wave=wave,
                completed=completed,
                fault=str(fault),
            )
            if isinstance(fault, CallFault):
                break
            self._note_conflict(wave, fault)
        return False

    def _note_conflict(self, wave: int, conflict: TransactionConflict) -> None:
        """Record the revision that an earlier write without an answer left."""
        key = make_wave_key(wave)
        self._waves[wave].revision = max(
            (item.revision for item in conflict.items if item.key == key),
            default=0,
        )

    def _make_transaction(
        self, wave: int, record: WaveRecord, *, completed: bool
    ) -> Transaction:
        return Transaction(
            (
                ExpectedRevision(LEADER_KEY, self._election.revision),
                ExpectedRevision(
                    make_wave_key(wave), self._waves[wave].revision
                ),
            ),
            (
                Write(make_wave_key(wave), _encode_terms(record.begun)),
                Write(make_wave_orders_key(wave), _encode(record.ordered)),
                Write(make_wave_removed_key(wave), _encode(record.removed)),
                Write(
                    f'{WAVE_STATUS_PREFIX}{wave}',
                    encode_wave_status(completed=completed),
                ),
            ),
        )


def _encode(vms: frozenset[str]) -> bytes:
    return json.dumps(sorted(vms)).encode()


def _encode_terms(terms: Mapping[str, int]) -> bytes:
    return json.dumps(terms, sort_keys=True).encode()


def _read_terms(found: Any) -> Mapping[str, int]:
    """Return the VMs of a record with their terms.

    A record of orders, and one of an older version, is a list of names.

    >>> _read_terms(['vm-1']), _read_terms({'vm-1': 3})
    ({'vm-1': 0}, {'vm-1': 3})

    :raises ValueError: when a name is no text or a term no number.
    :raises TypeError: when the record is neither a list nor an object.
    """
    if isinstance(found, dict):
        return {name: read_count(found, name) for name in found}
    return {check_text(name, 'VM'): 0 for name in found}
