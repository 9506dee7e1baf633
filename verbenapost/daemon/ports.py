"""Ports through which the administration reaches the parts of a daemon."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol, final

from result import Result

from verbenapost.coordination.changes import AppliedChange, ChangeRequest
from verbenapost.coordination.rights import Rights
from verbenapost.protocol.admin import (
    BudgetStatus,
    DaemonStatus,
    DocumentStatus,
    JobStatus,
    MemberStatus,
    PoolStatus,
    ServiceStatus,
    TeamStatus,
    VmRequest,
    WaveRequest,
    WaveStatus,
)
from verbenapost.protocol.errors import Failure
from verbenapost.state.audit import AuditEntry
from verbenapost.state.vms import VmRecord


class ConfigurationPort(Protocol):
    """Access to configuration documents."""

    def list_teams(self) -> Sequence[TeamStatus]:
        """Return the teams in the configuration in force."""

    async def load_document(
        self,
        team: str,
    ) -> Result[DocumentStatus, Failure]:
        """Return the document in force."""

    async def apply(
        self,
        request: ChangeRequest,
        rights: Rights,
    ) -> Result[AppliedChange, Failure]:
        """Put a document in force; a refused document changes nothing."""

    async def load_history(
        self,
        team: str,
    ) -> Result[tuple[AuditEntry, ...], Failure]:
        """Return all audit entries of a document, the newest last."""

    def list_lagging(self, team: str, revision: int) -> Sequence[str]:
        """Return the live members that have not reported a revision."""


class FleetPort(Protocol):
    """Access to VMs, pools, services and availability budgets."""

    async def list_vms(self) -> Result[Sequence[VmRecord], Failure]:
        """Return the records of all VMs."""

    async def change_vm(self, request: VmRequest) -> Result[VmRecord, Failure]:
        """Start a move, a drain or a return and return the new record."""

    async def list_pools(self) -> Result[Sequence[PoolStatus], Failure]:
        """Return all pools."""

    async def list_services(self) -> Result[Sequence[ServiceStatus], Failure]:
        """Return all services."""

    async def list_budgets(self) -> Result[Sequence[BudgetStatus], Failure]:
        """Return all availability budgets."""


class WavePort(Protocol):
    """Access to the maintenance wave."""

    async def read_wave(self) -> Result[WaveStatus, Failure]:
        """Return the wave with its forecast."""

    async def change_wave(
        self,
        request: WaveRequest,
    ) -> Result[WaveStatus, Failure]:
        """Start, pause, resume or stop the wave."""


class JobPort(Protocol):
    """Access to accepted jobs."""

    async def list_jobs(self) -> Result[Sequence[JobStatus], Failure]:
        """Return unfinished and recently finished jobs."""

    async def load_job(self, job: str) -> Result[JobStatus, Failure]:
        """Return one job."""

    async def cancel_job(
        self,
        job: str,
        operator: str,
    ) -> Result[JobStatus, Failure]:
        """Cancel a job and return its new state."""


class MemberPort(Protocol):
    """Access to the status of this daemon and of all members."""

    def read_status(self) -> DaemonStatus:
        """Return the status of this daemon."""

    def list_members(self) -> Sequence[MemberStatus]:
        """Return the members that are known to this daemon."""

    async def forget_member(
        self,
        name: str,
        operator: str,
    ) -> Result[None, Failure]:
        """Remove a permanently lost member from the member set."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdminPorts:
    """All administration ports of a daemon."""

    configuration: ConfigurationPort
    fleet: FleetPort
    waves: WavePort
    jobs: JobPort
    members: MemberPort
