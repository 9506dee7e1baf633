"""Route rules of a service: kind of work and idempotency of requests."""

import dataclasses
from typing import final

from verbenapost.state.documents import RouteRule, ServiceSpec

#: Methods that RFC 9110 defines as idempotent.
IDEMPOTENT_METHODS = frozenset(
    (
        'GET',
        'HEAD',
        'OPTIONS',
        'TRACE',
        'PUT',
        'DELETE',
    )
)

DEFAULT_KIND = 'default'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RoutePolicy:
    """Kind and idempotency of the requests of one route.

    :param kind: kind of work.
    :param idempotent: whether a repeated request has the effect of one.
    """

    kind: str
    idempotent: bool


def find_route_policy(spec: ServiceSpec, method: str, path: str) -> RoutePolicy:
    """Return the policy that the first matching rule gives.

    Without a match the kind is ``DEFAULT_KIND`` and the method decides on
    idempotency.

    Examples
    ========

    >>> rule = RouteRule('POST', '/visits', True, 'visit')
    >>> spec = ServiceSpec('booking', routes=(rule,))
    >>> find_route_policy(spec, 'POST', '/visits/7')
    RoutePolicy(kind='visit', idempotent=True)
    >>> find_route_policy(spec, 'POST', '/visitsx')
    RoutePolicy(kind='default', idempotent=False)

    :param spec: service with its route rules.
    :param method: HTTP method.
    :param path: path below the service, with or without a query.
    """
    idempotent_by_method = method in IDEMPOTENT_METHODS
    path = path.partition('?')[0]
    for rule in spec.routes:
        if _matches(rule, method, path):
            is_idempotent = (
                idempotent_by_method
                if rule.idempotent is None
                else rule.idempotent
            )
            return RoutePolicy(rule.kind, is_idempotent)
    return RoutePolicy(DEFAULT_KIND, idempotent_by_method)


def _matches(rule: RouteRule, method: str, path: str) -> bool:
    if rule.method not in {'*', method}:
        return False
    prefix = rule.path.rstrip('/')
    return path == prefix or path.startswith(f'{prefix}/')
