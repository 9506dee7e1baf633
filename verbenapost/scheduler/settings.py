"""Settings of a daemon on the platform and their validation."""

import json
from pathlib import Path
from typing import Any, Final, final

import pydantic
from result import Err, Ok, Result

from verbenapost.platform.machinelimits import translate_limits
from verbenapost.transport.connectionlimits import ConnectionLimits

#: Field of the settings file that holds the platform's limits as they are.
LIMITS_FIELD: Final = 'platform_limits'

_MS: Final = 1000


@final
class Listen(pydantic.BaseModel):
    """Where the daemon listens.

    :param callers: ``IP:port`` for callers.
    :param probes: ``IP:port`` for the platform's readiness probes.
    :param internal_ports: first and last port for daemons.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra='forbid')

    callers: str
    probes: str
    internal_ports: tuple[int, int]

    @pydantic.field_validator('internal_ports')
    @classmethod
    def check_ports(cls, ports: tuple[int, int]) -> tuple[int, int]:
        """Reject a range without a port each for metrics and peer streams."""
        first, last = ports
        if first >= last:
            raise ValueError('two ports or more are needed')
        return ports


@final
class Processor(pydantic.BaseModel):
    """What the daemon may use of its VM's processors.

    :param share: share of one core.
    :param speed: how many times as fast that core is.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra='forbid')

    share: float = 1
    speed: float = 1

    @property
    def cores(self) -> float:
        """Usable processor capacity in cores."""
        return self.share * self.speed


@final
class StoreAddress(pydantic.BaseModel):
    """The platform's store and the rates that all daemons share."""

    model_config = pydantic.ConfigDict(frozen=True, extra='forbid')

    address: str
    writes_per_second: float = 400
    reads_per_second: float = 2000


@final
class CloudAddress(pydantic.BaseModel):
    """The interface that moves and maintains VMs."""

    model_config = pydantic.ConfigDict(frozen=True, extra='forbid')

    address: str
    orders_per_second: float = 64


@final
class Bounds(pydantic.BaseModel):
    """Times that the platform keeps to and expects, in its own units.

    Unknown ones are ignored, since a later version of the platform may bring
    more.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra='ignore')

    drain_ms: float = 2000
    grace_s: float = 6
    config_apply_ms: float = 2000
    max_hold_ms: float = 6000
    stop_timeout_ms: float = 200
    gang_timeout_ms: float = 3000
    cancel_ms: float = 3000
    early_ms: float = 250
    status_s: float = 120
    spread_factor: float = 2
    notice_ms: float = 4500
    move_s: float = 1.5
    maintenance_s: float = 2
    lease_ms: float = 3000
    fencing_required: bool = False
    harm_ms: float = 4000
    ack_ms: float = 4000

    @property
    def lease_seconds(self) -> float:
        """Seconds of the leader's lease."""
        return self.lease_ms / _MS

    @property
    def hold_seconds(self) -> float:
        """Longest lease of a run in seconds."""
        return self.max_hold_ms / _MS


@final
class SchedulerSettings(pydantic.BaseModel):
    """All settings of a daemon.

    :param daemon: unique name of the VM that it runs on.
    :param data_centre: where it runs.
    :param address: IP number of the VM.
    :param advice_address: ``IP:port`` of the policy's service, if any.
    :param separate_images: whether images that slow each other down are placed
        apart where the platform gives ``bounds.harm_ms``.
    :param connection_limits: limits of clients' connections.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra='forbid')

    daemon: str
    data_centre: str
    address: str
    listen: Listen
    store: StoreAddress
    cloud: CloudAddress | None = None
    advice_address: str | None = None
    bounds: Bounds = Bounds()
    processor: Processor = Processor()
    separate_images: bool = True
    connection_limits: ConnectionLimits = ConnectionLimits()

    @property
    def detects_interference(self) -> bool:
        """Whether images that slow each other down are detected."""
        given = 'harm_ms' in self.bounds.model_fields_set
        return self.separate_images and given

    @property
    def internal_port(self) -> int:
        """Port at which the daemon serves its metrics."""
        return self.listen.internal_ports[0]

    @property
    def internal_address(self) -> str:
        """Address at which the daemon serves its metrics."""
        return f'{self.address}:{self.internal_port}'

    @property
    def peer_port(self) -> int:
        """Port at which the daemon accepts peer streams."""
        return self.internal_port + 1

    @property
    def peer_address(self) -> str:
        """Address at which the daemon accepts peer streams."""
        return f'{self.address}:{self.peer_port}'


def load_settings(path: Path) -> Result[SchedulerSettings, str]:
    """Return the settings in a file, or all validation errors, one per line."""
    try:
        fields: Any = json.loads(path.read_text())
    except (OSError, ValueError) as fault:
        return Err(f'{path}: {fault}')
    if isinstance(fields, dict):
        _apply_limits(fields)
    try:
        return Ok(SchedulerSettings.model_validate(fields))
    except pydantic.ValidationError as refusal:
        return Err('\n'.join(map(_describe, refusal.errors())))


def _apply_limits(fields: dict[str, Any]) -> None:
    """Replace the platform's limits by settings, unless those are given."""
    limits = translate_limits(fields.pop(LIMITS_FIELD, None))
    for section, derived in limits.items():
        given = fields.get(section, {})
        if isinstance(given, dict):
            fields[section] = derived | given


def _describe(row: Any) -> str:
    field_path = '.'.join(map(str, row['loc']))
    return f'{field_path}: {row["msg"]}'
