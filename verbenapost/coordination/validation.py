"""Rules that the configuration as a whole must satisfy."""

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

#: Kind of work of requests that match no route.
DEFAULT_KIND = 'default'

#: Characters of an invalid value that an error text quotes.
MAX_VALUE_CHARACTERS = 100


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule.

    :param path: path of the value, such as ``/teams/shop/services/counter``.
    :param value: value that violates the rule.
    :param rule: requirement on the value.
    """

    path: str
    value: Any
    rule: str

    def __str__(self) -> str:
        value = repr(self.value)[:MAX_VALUE_CHARACTERS]
        return f'{self.path} = {value}: {self.rule}'


Violations = Iterator[Violation]
ServiceRule = Callable[[str, ServiceSpec, Mapping[str, PoolSpec]], Violations]

_SERVICE_RULES: list[ServiceRule] = []


def register_rule(rule: ServiceRule) -> ServiceRule:
    """Register a rule that checks one service against the pools."""
    _SERVICE_RULES.append(rule)
    return rule


@register_rule
def check_pool(
    path: str,
    spec: ServiceSpec,
    pools: Mapping[str, PoolSpec],
) -> Violations:
    """Check that the pool exists and can meet the availability budget."""
    pool = pools.get(spec.pool)
    if pool is None:
        yield Violation(f'{path}/pool', spec.pool, 'the pool does not exist')
    elif spec.budget.min_healthy > pool.vms:
        yield Violation(
            f'{path}/budget/min_healthy',
            spec.budget.min_healthy,
            f'at most the {pool.vms} VMs of pool {spec.pool!r}',
        )


@register_rule
def check_overflow(
    path: str,
    spec: ServiceSpec,
    pools: Mapping[str, PoolSpec],
) -> Violations:
    """Check that the overflow pool exists, is spare and is not the pool."""
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
    yield Violation(f'{path}/overflow', spec.overflow, rule)


@register_rule
def check_routes(
    path: str,
    spec: ServiceSpec,
    pools: Mapping[str, PoolSpec],
) -> Violations:
    """Check the routes' methods and paths, and the kinds of the weights."""
    for position, route in enumerate(spec.routes):
        route_path = f'{path}/routes/{position}'
        if route.method not in _METHODS:
            yield Violation(
                f'{route_path}/method', route.method, 'an HTTP method or *'
            )
        if not route.path.startswith('/'):
            yield Violation(f'{route_path}/path', route.path, 'starts with /')
    kinds = {DEFAULT_KIND, *(rule.kind for rule in spec.routes)}
    for kind in sorted(spec.weights.keys() - kinds):
        yield Violation(f'{path}/weights', kind, 'the kind of a route')


def check_configuration(
    platform: PlatformDocument,
    teams: Mapping[str, TeamDocument],
    changed: str = '',
) -> tuple[Violation, ...]:
    """Return all rule violations of a whole configuration.

    Explanation
    ===========

    Each rule reads one document or two: a team's document and the platform
    document, or the documents of two teams. Concurrent changes can therefore
    be checked in pairs.

    :param platform: platform document.
    :param teams: team documents by team.
    :param changed: team whose document is new; if two teams define a service
        of the same name, the violation is reported for this team.
    """
    violations: list[Violation] = []
    owners: dict[str, str] = {}
    order = sorted(teams, key=lambda name: (name == changed, name))
    for team in order:
        document = teams[team]
        violations.extend(check_team(team, document, platform))
        for service in document.services:
            owner = owners.setdefault(service, team)
            if owner != team:
                violations.append(_report_taken_name(team, owner, service))
    return tuple(violations)


def check_team(
    team: str,
    document: TeamDocument,
    platform: PlatformDocument,
) -> Violations:
    """Yield the rule violations of one team's document."""
    root = locate_document(team)
    for service, spec in document.services.items():
        for rule in _SERVICE_RULES:
            yield from rule(f'{root}/services/{service}', spec, platform.pools)
    for caller, caller_quotas in document.quotas.items():
        for service in caller_quotas:
            if service != ANY and service not in document.services:
                yield Violation(
                    f'{root}/quotas/{caller}',
                    service,
                    'a service of this team, or *',
                )


def convert_errors(
    team: str,
    error: pydantic.ValidationError,
) -> tuple[Violation, ...]:
    """Convert the errors of a document that does not match the schema."""
    root = locate_document(team)
    return tuple(
        Violation(
            '/'.join((root, *(str(step) for step in details['loc']))),
            details['input'],
            details['msg'],
        )
        for details in error.errors()
    )


def _report_taken_name(team: str, owner: str, service: str) -> Violation:
    return Violation(
        f'{locate_document(team)}/services/{service}',
        service,
        f'the name is taken by team {owner!r}',
    )
