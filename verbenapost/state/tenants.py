"""Tenants, whose callers authenticate with API keys."""

import dataclasses
from typing import final

from verbenapost.state.resources import Resources


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TenantTerms:
    """What a tenant is entitled to.

    :param name: unique name.
    :param weight: share of a full pool relative to other tenants, and rate of
        jobs in a second.
    :param cap: what the tenant may have running at the same time over all
        pools; 0 is no limit on that resource.
    """

    name: str
    weight: float = 1
    cap: Resources = dataclasses.field(default_factory=Resources)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant with the digests of its API keys.

    :param terms: what the tenant is entitled to.
    :param key_digests: SHA-256 digests of the keys.
    """

    terms: TenantTerms
    key_digests: frozenset[bytes] = frozenset()
