"""Stored state of maintenance waves."""

import json
from typing import Any

from result import Err

from verbenapost.platform.fields import check_text
from verbenapost.platform.names import WAVE_STATUS_PREFIX
from verbenapost.platform.records import encode_wave_status
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import ExpectedRevision, Transaction, Write
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.keys import LEADER_KEY, make_wave_key


class WaveStatus:
    """Stores each wave's state for operators and its VMs for later leaders.

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
        self._begun: dict[int, frozenset[str]] = {}

    def is_complete(self, wave: int) -> bool:
        """Return whether a wave is completed."""
        return wave in self._complete

    async def begin(self, wave: int) -> frozenset[str] | None:
        """Store that a wave is running.

        :returns: the VMs whose maintenance has begun, or ``None`` when they
            could not be read.
        """
        found = await self._store.read_key(make_wave_key(wave))
        if isinstance(found, Err):
            self._log.warning(
                'wave status not read', wave=wave, fault=str(found.err_value)
            )
            return None
        begun: frozenset[str] = frozenset()
        if found.ok_value is not None:
            begun = self._decode(wave, found.ok_value.value)
        self._begun[wave] = begun
        await self._write(wave, completed=False)
        return begun

    async def note_begun(self, wave: int, begun: set[str]) -> None:
        """Store the VMs whose maintenance has begun, for later leaders."""
        self._begun[wave] = frozenset(begun)
        await self._write(wave, completed=False)

    async def complete(self, wave: int) -> None:
        """Store that a wave is completed."""
        if await self._write(wave, completed=True):
            self._complete.add(wave)
            self._log.info('wave completed', wave=wave)

    def _decode(self, wave: int, packed: bytes) -> frozenset[str]:
        """Return the VMs that have begun, none if another writer's value.

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
        begun = json.dumps(sorted(self._begun.get(wave, ()))).encode()
        transaction = Transaction(
            (ExpectedRevision(LEADER_KEY, self._election.revision),),
            (
                Write(make_wave_key(wave), begun),
                Write(
                    f'{WAVE_STATUS_PREFIX}{wave}',
                    encode_wave_status(completed=completed),
                ),
            ),
        )
        answer = await self._store.commit(transaction)
        if isinstance(answer, Err):
            self._log.warning(
                'wave status not written',
                wave=wave,
                completed=completed,
                fault=str(answer.err_value),
            )
        return not isinstance(answer, Err)
