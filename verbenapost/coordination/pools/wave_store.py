"""Stored record of the maintenance wave."""

import dataclasses
from typing import final

from result import Err, Result

from verbenapost.coordination.pools.marked_writer import MarkedWriter
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.store import NO_REVISION, Entry
from verbenapost.state.waves import (
    WAVE_KEY,
    WaveRecord,
    pack_wave,
    unpack_wave,
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WaveEntry:
    """The wave record with the revision at which it was read."""

    record: WaveRecord
    revision: int


@final
class WaveStore:
    """Reads the wave record and replaces it by compare-and-swap.

    :param writer: store client that marks the values of this instance.
    """

    def __init__(self, writer: MarkedWriter) -> None:
        self._writer = writer

    async def read(self) -> Result[WaveEntry, Failure]:
        """Read the record; the record is empty before the first wave."""
        answer = await self._writer.store.get(WAVE_KEY)
        return answer.map(_parse_entry)

    async def start(
        self,
        name: str,
        due_before: float,
        reason: str,
    ) -> Result[None, Failure]:
        """Start a wave over the VMs that were last maintained before a time.

        :param name: name of the wave.
        :param due_before: Unix time in seconds.
        :param reason: reason that operators see.
        """
        return await self._change(
            name=name,
            due_before=due_before,
            stopped=False,
            reason=reason,
        )

    async def stop(self, reason: str) -> Result[None, Failure]:
        """Stop the start of planned outages."""
        return await self._change(stopped=True, reason=reason)

    async def resume(self, reason: str) -> Result[None, Failure]:
        """Resume the wave after a stop."""
        return await self._change(stopped=False, reason=reason)

    async def finish(self, reason: str) -> Result[None, Failure]:
        """End the wave, so that no VM is due."""
        return await self._change(
            due_before=float(0),
            stopped=False,
            reason=reason,
        )

    async def _change(
        self,
        **fields: str | float | bool,
    ) -> Result[None, Failure]:
        stored = await self.read()
        if isinstance(stored, Err):
            return stored
        entry = stored.ok_value
        after = dataclasses.replace(
            entry.record,
            writer=self._writer.issue_mark(),
            **fields,  # type: ignore[arg-type]
        )
        written = await self._writer.write(
            WAVE_KEY,
            entry.revision,
            pack_wave(after),
        )
        return written.map(lambda _: None)


def _parse_entry(entry: Entry | None) -> WaveEntry:
    if entry is None:
        return WaveEntry(WaveRecord(), NO_REVISION)
    return WaveEntry(unpack_wave(entry.value), entry.revision)
