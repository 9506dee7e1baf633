"""Tenants of callers by their API keys, and what each may see.

Load pattern: each request of each caller has a key, and a version with hundreds
of tenants comes every few seconds. The index of the digests is built once for a
version; a request costs one digest and one look-up.
"""

import dataclasses
from collections.abc import Mapping
from typing import Any, Final, final

from result import Err, Ok, Result

from verbenapost.platform.authorization import (
    AuthenticationFault,
    read_authorization,
)
from verbenapost.scheduler.answers import EntryAnswer, Status, refuse
from verbenapost.state.submissions import read_owner
from verbenapost.state.tenants import TenantTerms
from verbenapost.state.workloads import FleetConfiguration, Route

_TEXTS: Final = {
    AuthenticationFault.MISSING: 'the API key is missing',
    AuthenticationFault.MALFORMED: (
        'the header Authorization must be: Token KEY'
    ),
    AuthenticationFault.UNKNOWN: 'the API key is not known',
}


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller.

    :param tenant: terms of the caller's tenant, or ``None`` for a caller that
        needs no key and has given none.
    :param checked: whether a tenant's jobs are only for that tenant; not so in
        a configuration without tenants.
    :param exempt: whether the route is exempt from keys, so that the caller's
        new jobs belong to no tenant.
    """

    tenant: TenantTerms | None = None
    checked: bool = False
    exempt: bool = False

    @property
    def tenant_name(self) -> str:
        """Name of the tenant, or empty."""
        return '' if self.tenant is None else self.tenant.name

    @property
    def job_tenant(self) -> TenantTerms | None:
        """Terms of the tenant of the caller's new jobs."""
        return None if self.exempt else self.tenant

    @property
    def withdrawal_mark(self) -> bytes:
        """Value of the mark of a job that the caller withdraws.

        No other record of the job names its tenant.
        """
        return b'' if self.exempt else self.tenant_name.encode()

    def may_use(self, owner: str) -> bool:
        """Return whether the caller may see, cancel or repeat a job.

        :param owner: name of the job's tenant, empty for a job of no tenant.
        """
        return not self.checked or owner in {'', self.tenant_name}

    def may_use_stored(self, packed: bytes) -> bool:
        """Return whether the caller may see, cancel or repeat a stored job.

        A record that can't be read belongs to nobody.

        :param packed: the job as stored.
        """
        if not self.checked:
            return True
        try:
            owner = read_owner(packed)
        except ValueError:
            return False
        return self.may_use(owner)

    def may_use_mark(self, mark: bytes) -> bool:
        """Return whether the caller may see or repeat a withdrawn job.

        :param mark: value of the job's mark.
        """
        return self.may_use(mark.decode(errors='replace'))


class Authenticator:
    """Finds the tenants of callers in the configuration in force."""

    def __init__(self) -> None:
        self._indexed: FleetConfiguration | None = None
        self._tenants: Mapping[bytes, TenantTerms] = {}

    def identify(
        self,
        authorization: bytes | None,
        configuration: FleetConfiguration,
        route: Route,
    ) -> Result[Caller, AuthenticationFault]:
        """Return the caller of a request, or why the request is refused.

        :param authorization: value of the caller's header, or ``None``.
        :param configuration: the configuration in force.
        :param route: route of the request.
        """
        if configuration.tenants is None:
            return Ok(Caller())
        tenant = read_authorization(authorization).and_then(
            lambda digest: self._find_tenant(digest, configuration)
        )
        if route.auth_exempt:
            # A known key counts here, too: jobs from before the route was
            # exempt still belong to their tenant.
            return Ok(Caller(tenant.ok(), checked=True, exempt=True))
        return tenant.map(lambda terms: Caller(terms, checked=True))

    def _find_tenant(
        self, digest: bytes, configuration: FleetConfiguration
    ) -> Result[TenantTerms, AuthenticationFault]:
        if configuration is not self._indexed:
            self._tenants = _index_tenants(configuration)
            self._indexed = configuration
        tenant = self._tenants.get(digest)
        if tenant is None:
            return Err(AuthenticationFault.UNKNOWN)
        return Ok(tenant)


def refuse_unauthenticated(fault: AuthenticationFault) -> EntryAnswer:
    """Return the answer to a caller without a valid key.

    It has no ``Retry-After``, since a retry doesn't help.
    """
    return dataclasses.replace(
        refuse(Status.UNAUTHENTICATED, _TEXTS[fault]),
        authentication_fault=fault,
    )


def refuse_other_tenant(job: str, caller: Caller, log: Any) -> EntryAnswer:
    """Return the answer to a request for a job of another tenant.

    :param job: identity of the job.
    :param caller: the caller, who is not of the job's tenant.
    :param log: logger.
    """
    log.info('job of another tenant', job=job, tenant=caller.tenant_name)
    return refuse(Status.FORBIDDEN, 'the job belongs to another tenant')


def _index_tenants(
    configuration: FleetConfiguration,
) -> Mapping[bytes, TenantTerms]:
    return {
        digest: tenant.terms
        for tenant in (configuration.tenants or {}).values()
        for digest in tenant.key_digests
    }
