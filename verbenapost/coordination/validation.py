"""Rules that the whole configuration has to satisfy."""

import dataclasses
from collections.abc import Callable, Iterator, Mapping
from typing import Any, final

import pydantic

from verbenapost.coordination.rights import locate_document
from verbenapost.state.configuration import ANY
from verbenapost.state.documents import (
    PlatformDocument,
    PoolSpec,
    ServiceSpec,
    TeamDocument,
)

_METHODS = frozenset(
    ('*', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'),
)

#: Kind of work of requests that no route names.
DEFAULT_KIND = 'default'

#: Characters of a refused value that a refusal repeats.
MAX_GIVEN_CHARACTERS = 100


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A broken rule.

    :param path: path of the value, such as ``/teams/shop/services/counter``.
    :param given: the value that breaks the rule.
    :param rule: what the value has to be.
    """

    path: str
    given: Any
    rule: str

    def __str__(self) -> str:
        given = repr(self.given)[:MAX_GIVEN_CHARACTERS]
        return f'{self.path} = {given}: {self.rule}'


Faults = Iterator[Fault]
ServiceRule = Callable[[str, ServiceSpec, Mapping[str, PoolSpec]], Faults]

_SERVICE_RULES: list[ServiceRule] = []


def register_rule(rule: ServiceRule) -> ServiceRule:
    """Register a rule for one service and the pools."""
    _SERVICE_RULES.append(rule)
    return rule


@register_rule
def check_pool(
    path: str,
    spec: ServiceSpec,
    pools: Mapping[str, PoolSpec],
) -> Faults:
    """Check that the pool exists and can hold the availability budget."""
    pool = pools.get(spec.pool)
    if pool is None:
        yield Fault(f'{path}/pool', spec.pool, 'the pool does not exist')
    elif spec.budget.min_healthy > pool.vms:
        yield Fault(
            f'{path}/budget/min_healthy',
            spec.budget.min_healthy,
            f'at most the {pool.vms} VMs of pool {spec.pool!r}',
        )


@register_rule
def check_overflow(
    path: str,
    spec: ServiceSpec,
    pools: Mapping[str, PoolSpec],
) -> Faults:
    """Check that the overflow pool exists, is spare and another pool."""
    if spec.overflow is None:
        return
    pool = pools.get(spec.overflow)
    if pool is None:
        rule = 'the pool does not exist'
    elif spec.overflow == spec.pool:
        rule = 'the overflow pool has to be another one'
    elif pool.spare:
        return
    else:
        rule = 'the overflow pool has to be spare'
    yield Fault(f'{path}/overflow', spec.overflow, rule)


@register_rule
def check_routes(
    path: str,
    spec: ServiceSpec,
    pools: Mapping[str, PoolSpec],
) -> Faults:
    """Check methods, paths and kinds of work."""
    for position, route in enumerate(spec.routes):
        where = f'{path}/routes/{position}'
        if route.method not in _METHODS:
            yield Fault(f'{where}/method', route.method, 'an HTTP method or *')
        if not route.path.startswith('/'):
            yield Fault(f'{where}/path', route.path, 'starts with /')
    kinds = {DEFAULT_KIND, *(rule.kind for rule in spec.routes)}
    for kind in sorted(spec.weights.keys() - kinds):
        yield Fault(f'{path}/weights', kind, 'the kind of a route')


def check_configuration(
    platform: PlatformDocument,
    teams: Mapping[str, TeamDocument],
    changed: str = '',
) -> tuple[Fault, ...]:
    """Return every broken rule of a whole configuration.

    Explanation
    ===========

    Each rule reads one document, or two: a team's document and the
    platform's, or those of two teams. Two changes that race can therefore be
    checked pair by pair.

    :param changed: team whose document is new; of two teams with one service
        name the fault is its.
    """
    faults: list[Fault] = []
    owners: dict[str, str] = {}
    order = sorted(teams, key=lambda name: (name == changed, name))
    for team in order:
        document = teams[team]
        faults.extend(check_team(team, document, platform))
        for service in document.services:
            owner = owners.setdefault(service, team)
            if owner != team:
                faults.append(_share_name(team, owner, service))
    return tuple(faults)


def check_team(
    team: str,
    document: TeamDocument,
    platform: PlatformDocument,
) -> Faults:
    """Yield the broken rules of one team's document."""
    root = locate_document(team)
    for service, spec in document.services.items():
        for rule in _SERVICE_RULES:
            yield from rule(f'{root}/services/{service}', spec, platform.pools)
    for caller, lines in document.quotas.items():
        for service in lines:
            if service != ANY and service not in document.services:
                yield Fault(
                    f'{root}/quotas/{caller}',
                    service,
                    'a service of this team, or *',
                )


def describe_errors(
    team: str,
    error: pydantic.ValidationError,
) -> tuple[Fault, ...]:
    """Return the faults of a document that has not the right form."""
    root = locate_document(team)
    return tuple(
        Fault(
            '/'.join((root, *(str(step) for step in line['loc']))),
            line['input'],
            line['msg'],
        )
        for line in error.errors()
    )


def _share_name(team: str, owner: str, service: str) -> Fault:
    return Fault(
        f'{locate_document(team)}/services/{service}',
        service,
        f'the name is taken by team {owner!r}',
    )
