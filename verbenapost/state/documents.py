"""Typed form of the configuration documents that operators write."""

import enum
from typing import Annotated

import pydantic
from pydantic.dataclasses import dataclass

#: Name of the document with the configuration that no team owns.
PLATFORM = 'platform'

#: Default period in which each VM is maintained once, in days.
DEFAULT_MAINTENANCE_DAYS = 56.0

#: Maximum value of a count in a document.
MAX_COUNT = 1_000_000

#: Maximum duration in a document, in seconds.
MAX_DURATION_SECONDS = 86_400

#: Maximum weight of a share.
MAX_WEIGHT = 1_000

_FORBID_EXTRA = pydantic.ConfigDict(extra='forbid')

Name = Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^[a-z][a-z0-9_-]{0,62}$'),
]
Count = Annotated[int, pydantic.Field(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, pydantic.Field(ge=1, le=MAX_COUNT)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=MAX_DURATION_SECONDS)]
Weight = Annotated[float, pydantic.Field(gt=0, le=MAX_WEIGHT)]


@enum.unique
class FailureDomain(enum.StrEnum):
    """Group of VMs whose simultaneous loss a service must survive."""

    VM = 'vm'
    RACK = 'rack'
    DATA_CENTRE = 'data_centre'


@dataclass(frozen=True, config=_FORBID_EXTRA)
class RouteRule:
    """Properties of the requests with one method and path prefix.

    :param method: HTTP method, or ``*``.
    :param path: path prefix below the service, such as ``/certificates``.
    :param idempotent: whether a repeated run has the effect of a single run;
        ``None`` for the standard meaning of the method.
    :param kind: kind of work; fair shares and estimated run times are kept
        for each kind.
    """

    method: str = '*'
    path: str = '/'
    idempotent: bool | None = None
    kind: Name = 'default'


@dataclass(frozen=True, config=_FORBID_EXTRA)
class AvailabilityBudget:
    """Limits on the outages of a service's VMs.

    :param min_healthy: minimum number of VMs in service at any time.
    :param max_planned: maximum number of VMs that planned work may take out
        of service at the same time.
    :param survive: failure domain whose loss must leave ``min_healthy`` VMs.
    """

    min_healthy: Count = 1
    max_planned: Count = 1
    survive: FailureDomain = FailureDomain.RACK


@dataclass(frozen=True, config=_FORBID_EXTRA)
class ServiceSpec:
    """Service that runs on the VMs of one pool.

    :param pool: pool whose VMs run the service.
    :param slots: number of requests that one VM runs at the same time.
    :param connections: number of connections that one VM accepts.
    :param budget: availability budget.
    :param routes: route rules; the first match applies.
    :param overflow: pool that lends idle capacity, or ``None``.
    :param weights: weight of each kind of work; 1 for kinds not listed.
    """

    pool: Name
    slots: PositiveCount = 8
    connections: PositiveCount = 64
    budget: AvailabilityBudget = AvailabilityBudget()
    routes: tuple[RouteRule, ...] = ()
    overflow: Name | None = None
    weights: dict[Name, Weight] = pydantic.Field(default_factory=dict)


@dataclass(frozen=True, config=_FORBID_EXTRA)
class Quota:
    """Rate limit and weight of one calling team at one service.

    :param rate: requests per second, or ``None`` for no limit.
    :param burst: number of requests that may arrive at once.
    :param soft: whether requests over the limit are counted, but not refused.
    :param weight: weight of the team's fair share while the service is full.
    """

    rate: Annotated[float, pydantic.Field(gt=0)] | None = None
    burst: PositiveCount = 100
    soft: bool = False
    weight: Weight = 1.0


@dataclass(frozen=True, config=_FORBID_EXTRA)
class PoolSpec:
    """Group of VMs that runs one or more services.

    :param vms: number of VMs that the services of the pool need at peak.
    :param spare: whether idle VMs of the pool replace failed VMs of others.
    """

    vms: Count = 0
    spare: bool = False


@dataclass(frozen=True, config=_FORBID_EXTRA)
class TeamDocument:
    """Configuration that one team owns: ``config/<team>``.

    :param services: services by name.
    :param quotas: quotas by name of the calling team, then by service; ``*``
        matches any.
    """

    services: dict[Name, ServiceSpec] = pydantic.Field(default_factory=dict)
    quotas: dict[str, dict[str, Quota]] = pydantic.Field(default_factory=dict)


@dataclass(frozen=True, config=_FORBID_EXTRA)
class PlatformDocument:
    """Configuration that no team owns: ``config/platform``.

    :param pools: pools by name.
    :param maintenance_days: period in which each VM is maintained once, in
        days.
    :param drain_seconds: maximum wait for the running requests of a leaving
        VM, in seconds.
    """

    pools: dict[Name, PoolSpec] = pydantic.Field(default_factory=dict)
    maintenance_days: Annotated[float, pydantic.Field(gt=0)] = (
        DEFAULT_MAINTENANCE_DAYS
    )
    drain_seconds: Seconds = 30.0
