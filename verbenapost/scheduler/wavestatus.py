"""Stored state of maintenance waves."""

import dataclasses
import json
from collections.abc import Collection
from typing import Any, Final, final

from result import Err

from verbenapost.platform.fields import check_text
from verbenapost.platform.names import WAVE_STATUS_PREFIX
from verbenapost.platform.records import encode_wave_status
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
)

#: Attempts of one write. The second follows a conflict that has shown which
#: revision an earlier write left.
MAX_WRITE_ATTEMPTS: Final = 2


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WaveRecord:
    """What is stored of a wave for later leaders.

    :param begun: VMs whose maintenance has begun.
    :param ordered: other VMs for which an order may have been sent.
    """

    begun: frozenset[str] = frozenset()
    ordered: frozenset[str] = frozenset()


class WaveStatus:
    """Stores each wave's state for operators and its VMs for later leaders.

    Explanation
    ===========

    A write without an answer may take effect seconds later. Each write expects
    the revision that the last one known has left, so that a late one can't
    replace a newer record.

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
        self._complete: set[int] = set()
        self._records: dict[int, WaveRecord] = {}
        self._stored: dict[int, WaveRecord] = {}
        self._revisions: dict[int, int] = {}

    def is_complete(self, wave: int) -> bool:
        """Return whether a wave is completed."""
        return wave in self._complete

    def has_stored_orders(self, wave: int, vms: Collection[str]) -> bool:
        """Return whether the orders for VMs are known to be stored.

        :param wave: number of the wave.
        :param vms: names of the VMs.
        """
        return self._stored.get(wave, WaveRecord()).ordered.issuperset(vms)

    async def begin(self, wave: int) -> WaveRecord | None:
        """Store that a wave is running.

        :returns: what earlier leaders stored, or ``None`` when it could not be
            read.
        """
        begun = await self._read(wave, make_wave_key(wave))
        ordered = await self._read(wave, make_wave_orders_key(wave))
        if begun is None or ordered is None:
            return None
        record = WaveRecord(begun, ordered - begun)
        await self.store(wave, record)
        return record

    async def store(self, wave: int, record: WaveRecord) -> bool:
        """Store a wave's VMs for later leaders; return whether that is known.

        :param wave: number of the wave.
        :param record: the wave's VMs.
        """
        self._records[wave] = record
        return await self._write(wave, completed=False)

    async def complete(self, wave: int) -> None:
        """Store that a wave is completed."""
        if await self._write(wave, completed=True):
            self._complete.add(wave)
            self._log.info('wave completed', wave=wave)

    async def _read(self, wave: int, key: str) -> frozenset[str] | None:
        found = await self._store.read_key(key)
        if isinstance(found, Err):
            self._log.warning(
                'wave status not read', wave=wave, fault=str(found.err_value)
            )
            return None
        if found.ok_value is None:
            return frozenset()
        return self._decode(wave, found.ok_value.value)

    def _decode(self, wave: int, packed: bytes) -> frozenset[str]:
        """Return the VMs of a record, none if another writer's value.

        An order for a VM that has begun already is confirmed by the platform
        without an effect.
        """
        try:
            names = json.loads(packed)
            return frozenset(check_text(name, 'VM') for name in names)
        except (ValueError, TypeError, RecursionError) as fault:
            self._log.error(
                'wave record not decodable', wave=wave, fault=str(fault)
            )
            return frozenset()

    async def _write(self, wave: int, *, completed: bool) -> bool:
        record = self._records.get(wave, WaveRecord())
        for _ in range(MAX_WRITE_ATTEMPTS):
            answer = await self._store.commit(
                self._make_transaction(wave, record, completed=completed)
            )
            if not isinstance(answer, Err):
                self._revisions[wave] = answer.ok_value
                self._stored[wave] = record
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
        self._revisions[wave] = max(
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
                    make_wave_key(wave), self._revisions.get(wave, 0)
                ),
            ),
            (
                Write(make_wave_key(wave), _encode(record.begun)),
                Write(make_wave_orders_key(wave), _encode(record.ordered)),
                Write(
                    f'{WAVE_STATUS_PREFIX}{wave}',
                    encode_wave_status(completed=completed),
                ),
            ),
        )


def _encode(vms: frozenset[str]) -> bytes:
    return json.dumps(sorted(vms)).encode()
