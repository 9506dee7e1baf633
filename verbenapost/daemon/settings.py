"""Settings models of a daemon, read from a JSON file."""

import enum
import ipaddress
from typing import Annotated, Literal
from urllib.parse import urlsplit

import pydantic
from pydantic.dataclasses import dataclass

from verbenapost.protocol.codec import MAX_MESSAGE_BYTES
from verbenapost.state.documents import Name, PositiveCount, Seconds
from verbenapost.transport.connectionlimits import ConnectionLimits

#: Highest TCP port.
MAX_PORT = 65_535

#: Smallest number of characters in a peer key.
MIN_KEY_LENGTH = 16

#: Bytes per mebibyte.
MIB = 1_048_576

#: Bytes per kibibyte.
KIB = 1_024

#: Default limit of the request line and headers, in bytes.
DEFAULT_HEADER_BYTES = 32_768

#: Default limit of all request bodies in memory, in bytes.
DEFAULT_BODIES_BYTES = 67_108_864

_CONFIG = pydantic.ConfigDict(
    extra='forbid',
    strict=True,
    allow_inf_nan=False,
)


def check_ip(address: str) -> str:
    """Return the address when it is an IP number.

    :raises ValueError: when it is a host name or malformed.
    """
    try:
        ipaddress.ip_address(address)
    except ValueError as fault:
        raise ValueError('must be an IP number, not a host name') from fault
    return address


def check_url(url: str) -> str:
    """Return the URL when it is ``http://IP:port`` with an optional path.

    :raises ValueError: when it is not.
    """
    parts = urlsplit(url)
    if parts.scheme not in {'http', 'https'} or '@' in parts.netloc:
        raise ValueError('must be http://IP:port without user information')
    check_ip(parts.hostname or '')
    if not parts.port:
        raise ValueError('must name a port')
    return url.rstrip('/')


IpAddress = Annotated[str, pydantic.AfterValidator(check_ip)]
Port = Annotated[int, pydantic.Field(ge=1, le=MAX_PORT)]
Url = Annotated[str, pydantic.AfterValidator(check_url)]
TokenHash = Annotated[
    str,
    pydantic.StringConstraints(pattern='^[0-9a-f]{64}$'),
    pydantic.Field(description='SHA-256 of the token in lower-case hex'),
]
Subtree = Annotated[
    str,
    pydantic.StringConstraints(pattern='^/([a-z][a-z0-9_/-]*)?$'),
]
PeerKey = Annotated[
    pydantic.SecretStr,
    pydantic.Field(
        min_length=MIN_KEY_LENGTH,
    ),
]
Bytes = Annotated[int, pydantic.Field(ge=KIB, le=KIB * MIB)]
MessageBytes = Annotated[int, pydantic.Field(ge=KIB, le=MAX_MESSAGE_BYTES)]
Rate = Annotated[float, pydantic.Field(gt=0)]


@enum.unique
class Role(enum.StrEnum):
    """What a daemon may take on."""

    ENTRY = 'entry'
    QUEUE_OWNER = 'queue_owner'
    CLAIM_OWNER = 'claim_owner'
    JOB_OWNER = 'job_owner'
    POOL_KEEPER = 'pool_keeper'
    CONFIGURATION = 'configuration'


@dataclass(frozen=True, config=_CONFIG)
class ListenAddress:
    """Where a server socket listens."""

    address: IpAddress
    port: Port


@dataclass(frozen=True, config=_CONFIG)
class PeerAddress:
    """Where the peer stream of another daemon listens."""

    name: Name
    address: IpAddress
    port: Port
    data_centre: Name


@dataclass(frozen=True, config=_CONFIG)
class StoreSettings:
    """The platform's store.

    :param url: ``http://IP:port``.
    :param reads_per_second: reads that all daemons together may make.
    :param writes_per_second: writes that all daemons together may make.
    """

    url: Url
    reads_per_second: Rate = 2000.0
    writes_per_second: Rate = 300.0


@dataclass(frozen=True, config=_CONFIG)
class VmListSettings:
    """The platform's VM list."""

    url: Url


@dataclass(frozen=True, config=_CONFIG)
class OperatorToken:
    """What the bearer of a token may do.

    :param name: name in the audit trail.
    :param token_sha256: SHA-256 of the token, in hex.
    :param subtrees: paths such as ``/teams/booking``; ``/`` for all.
    :param role: highest role in the subtrees.
    """

    name: Name
    token_sha256: TokenHash
    subtrees: tuple[Subtree, ...]
    role: Literal['read', 'write'] = 'read'


@dataclass(frozen=True, config=_CONFIG)
class CallerToken:
    """Team that the bearer of a token calls for."""

    team: Name
    token_sha256: TokenHash


@dataclass(frozen=True, config=_CONFIG)
class CallerSettings:
    """How callers prove their team.

    :param trust_x_team: believe the header ``X-Team``; for local sites.
    :param tokens: bearer tokens.
    """

    trust_x_team: bool = False
    tokens: tuple[CallerToken, ...] = ()


@dataclass(frozen=True, config=_CONFIG)
class Limits:
    """Bounds on what one daemon accepts.

    :param header_bytes: bytes of the request line and headers.
    :param body_bytes: bytes of one request body.
    :param answer_bytes: bytes of one answer of a target.
    :param bodies_total_bytes: bytes of all bodies held in memory.
    :param message_bytes: bytes of one message between daemons.
    :param connections: connections of callers.
    """

    header_bytes: Bytes = DEFAULT_HEADER_BYTES
    body_bytes: Bytes = MIB
    answer_bytes: Bytes = 8 * MIB
    bodies_total_bytes: Bytes = DEFAULT_BODIES_BYTES
    message_bytes: MessageBytes = MIB
    connections: PositiveCount = 4096


@dataclass(frozen=True, config=_CONFIG)
class ShutdownSettings:
    """Times of a graceful shutdown.

    :param balancer_grace: seconds in which the balancer sees the failed
        readiness probe while requests are still taken.
    :param drain: seconds given to running requests after that.
    """

    balancer_grace: Seconds = 5.0
    drain: Seconds = 30.0


@dataclass(frozen=True, config=_CONFIG)
class LogSettings:
    """Form and level of the log on standard error."""

    format: Literal['json', 'console'] = 'json'
    level: Literal['debug', 'info', 'warning', 'error'] = 'info'


@dataclass(frozen=True, config=_CONFIG)
class Settings:
    """All settings of one daemon.

    :param name: unique name of the daemon.
    :param data_centre: data centre that it runs in.
    :param listen: address for callers and operators.
    :param peers_listen: address for the streams of other daemons.
    :param store: the platform's store.
    :param vm_list: the platform's VM list.
    :param region: region that it runs in.
    :param peers: daemons to contact first.
    :param peer_key: key that peers prove at connect.
    :param peer_key_file: file that holds the key instead.
    :param operators: tokens of operators.
    :param callers: how callers prove their team.
    :param limits: bounds on what it accepts.
    :param roles: what it may take on.
    :param view_timeout: seconds for which a confirmed view is fresh.
    :param shutdown: times of a graceful shutdown.
    :param logs: form and level of the log.
    :param connection_limits: limits of clients' connections.
    """

    name: Name
    data_centre: Name
    listen: ListenAddress
    peers_listen: ListenAddress
    store: StoreSettings
    vm_list: VmListSettings
    region: Name = 'local'
    peers: tuple[PeerAddress, ...] = ()
    peer_key: PeerKey | None = None
    peer_key_file: str | None = None
    operators: tuple[OperatorToken, ...] = ()
    callers: CallerSettings = CallerSettings()
    limits: Limits = Limits()
    roles: frozenset[Role] = frozenset(Role)
    view_timeout: Seconds = 3.0
    shutdown: ShutdownSettings = ShutdownSettings()
    logs: LogSettings = LogSettings()
    connection_limits: ConnectionLimits = ConnectionLimits()
