"""Record of the maintenance wave."""

import pydantic
from pydantic.dataclasses import dataclass

#: Store key of the maintenance wave.
WAVE_KEY = 'wave/current'


@dataclass(frozen=True, config=pydantic.ConfigDict(extra='ignore'))
class WaveRecord:
    """Coverage and state of the maintenance wave.

    :param name: name of the wave, for operators.
    :param due_before: Unix time in seconds; VMs last maintained before it are
        due.
    :param stopped: whether an emergency stop keeps planned work from
        starting.
    :param reason: reason why the wave was started or stopped.
    :param writer: ``instance:sequence`` of the last write.
    """

    name: str = ''
    due_before: float = 0
    stopped: bool = False
    reason: str = ''
    writer: str = ''


_ADAPTER = pydantic.TypeAdapter(WaveRecord)


def pack_wave(record: WaveRecord) -> bytes:
    """Return the record as JSON bytes for the store."""
    return _ADAPTER.dump_json(record)


def unpack_wave(value: bytes) -> WaveRecord:
    """Return the record from JSON bytes.

    :raises pydantic.ValidationError: when the value is not a wave record.
    """
    return _ADAPTER.validate_json(value)
