"""Typed configuration documents that operators write."""

import enum
from typing import Annotated

import pydantic
from pydantic.dataclasses import dataclass

#: Name of the document that holds what no team owns.
PLATFORM = 'platform'

#: Days in which each VM is maintained once.
DEFAULT_MAINTENANCE_DAYS = 56.0

#: Highest number that a count in a document may have.
MAX_COUNT = 1_000_000

#: Longest time in a document, in seconds.
MAX_SECONDS = 86_400

#: Highest weight of a share.
MAX_WEIGHT = 1_000

_STRICT = pydantic.ConfigDict(extra='forbid')

Name = Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^[a-z][a-z0-9_-]{0,62}$'),
]
Count = Annotated[int, pydantic.Field(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, pydantic.Field(ge=1, le=MAX_COUNT)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=MAX_SECONDS)]
Weight = Annotated[float, pydantic.Field(gt=0, le=MAX_WEIGHT)]


@enum.unique
class FailureDomain(enum.StrEnum):
    """Group of VMs whose loss at one moment a service must survive."""

    VM = 'vm'
    RACK = 'rack'
    DATA_CENTRE = 'data_centre'


@dataclass(frozen=True, config=_STRICT)
class RouteRule:
    """How requests of one method and path are treated.

    :param method: HTTP method, or ``*``.
    :param path: path prefix below the service, such as ``/certificates``.
    :param idempotent: whether a repeat has the effect of a single run;
        ``None`` for the method's standard meaning.
    :param kind: kind of work, the unit of fair shares and learned run times.
    """

    method: str = '*'
    path: str = '/'
    idempotent: bool | None = None
    kind: Name = 'default'


@dataclass(frozen=True, config=_STRICT)
class AvailabilityBudget:
    """How much of a service's capacity may be missing.

    :param min_healthy: VMs that stay in service at every moment.
    :param max_planned: VMs that planned work may take out together.
    :param survive: failure domain whose loss must leave ``min_healthy`` VMs.
    """

    min_healthy: Count = 1
    max_planned: Count = 1
    survive: FailureDomain = FailureDomain.RACK


@dataclass(frozen=True, config=_STRICT)
class ServiceSpec:
    """A service, run on the VMs of one pool.

    :param pool: pool whose VMs run the service.
    :param slots: requests that one VM runs together.
    :param connections: connections that one VM accepts.
    :param budget: availability budget.
    :param routes: rules, the first match wins.
    :param overflow: pool that lends idle capacity, or ``None``.
    :param weights: share of each kind of work; 1 for kinds not named.
    """

    pool: Name
    slots: PositiveCount = 8
    connections: PositiveCount = 64
    budget: AvailabilityBudget = AvailabilityBudget()
    routes: tuple[RouteRule, ...] = ()
    overflow: Name | None = None
    weights: dict[Name, Weight] = pydantic.Field(default_factory=dict)


@dataclass(frozen=True, config=_STRICT)
class Quota:
    """Limit of one team at one service.

    :param rate: requests a second, or ``None`` for no limit.
    :param burst: requests that may come at once.
    :param soft: count what would be refused and refuse nothing.
    :param weight: fair share of the team while the service is full.
    """

    rate: Annotated[float, pydantic.Field(gt=0)] | None = None
    burst: PositiveCount = 100
    soft: bool = False
    weight: Weight = 1.0


@dataclass(frozen=True, config=_STRICT)
class PoolSpec:
    """A group of VMs that runs one or more services.

    :param vms: VMs that the services of the pool need at peak.
    :param spare: whether idle VMs of the pool replace failed VMs of others.
    """

    vms: Count = 0
    spare: bool = False


@dataclass(frozen=True, config=_STRICT)
class TeamDocument:
    """Everything that one team owns: ``config/<team>``.

    :param services: services by name.
    :param quotas: by calling team's name, then service; ``*`` for any.
    """

    services: dict[Name, ServiceSpec] = pydantic.Field(default_factory=dict)
    quotas: dict[str, dict[str, Quota]] = pydantic.Field(default_factory=dict)


@dataclass(frozen=True, config=_STRICT)
class PlatformDocument:
    """Everything that no team owns: ``config/platform``.

    :param pools: pools by name.
    :param maintenance_days: days in which each VM is maintained once.
    :param drain_seconds: longest wait for running requests of a VM that
        leaves.
    """

    pools: dict[Name, PoolSpec] = pydantic.Field(default_factory=dict)
    maintenance_days: Annotated[float, pydantic.Field(gt=0)] = (
        DEFAULT_MAINTENANCE_DAYS
    )
    drain_seconds: Seconds = 30.0
