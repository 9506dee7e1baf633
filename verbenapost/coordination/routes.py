"""How a request is treated, from the configuration of its service."""

import dataclasses
from typing import final

from verbenapost.state.documents import RouteRule, ServiceSpec

#: Methods whose standard meaning is idempotent.
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
class Treatment:
    """How requests of one route are treated.

    :param kind: kind of work.
    :param idempotent: whether a repeat has the effect of a single run.
    """

    kind: str
    idempotent: bool


def find_treatment(spec: ServiceSpec, method: str, path: str) -> Treatment:
    """Return the treatment by the first rule that matches.

    Examples
    ========

    >>> rule = RouteRule('POST', '/visits', True, 'visit')
    >>> spec = ServiceSpec('booking', routes=(rule,))
    >>> find_treatment(spec, 'POST', '/visits/7')
    Treatment(kind='visit', idempotent=True)
    >>> find_treatment(spec, 'POST', '/visitsx')
    Treatment(kind='default', idempotent=False)

    :param method: HTTP method.
    :param path: path below the service, with or without a query.
    """
    standard = method in IDEMPOTENT_METHODS
    path = path.partition('?')[0]
    for rule in spec.routes:
        if _matches(rule, method, path):
            chosen = standard if rule.idempotent is None else rule.idempotent
            return Treatment(rule.kind, chosen)
    return Treatment(DEFAULT_KIND, standard)


def _matches(rule: RouteRule, method: str, path: str) -> bool:
    if rule.method not in {'*', method}:
        return False
    prefix = rule.path.rstrip('/')
    return path == prefix or path.startswith(f'{prefix}/')
