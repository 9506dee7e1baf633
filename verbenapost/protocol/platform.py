"""Port to the platform's VM list and pool interface."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol, final

from result import Result

from verbenapost.protocol.errors import Failure


@enum.unique
class ListedVmState(enum.StrEnum):
    """State of a VM in the VM list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@enum.unique
class VmOperation(enum.StrEnum):
    """State of a VM at the pool interface."""

    RUNNING = 'running'
    DRAINING = 'draining'
    DRAINED = 'drained'
    REBOOTING = 'rebooting'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """Entry of the VM list, which lags behind the state of the VMs.

    :param name: name of the VM.
    :param address: ``IP:port`` of its worker process.
    :param state: whether the platform is about to remove the VM.
    """

    name: str
    address: str
    data_centre: str = ''
    rack: str = ''
    cores: int = 0
    memory_gb: int = 0
    accelerators: int = 0
    state: ListedVmState = ListedVmState.LIVE


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VmStatus:
    """State of a VM at the pool interface.

    :param operation: whether the VM accepts work, drains or reboots.
    :param boot: number of boots so far.
    :param pool: pool that the VM has served since its last boot; empty when
        the VM was never rebooted into a pool.
    """

    name: str
    operation: VmOperation
    boot: int
    pool: str = ''


class PlatformPort(Protocol):
    """VM list and pool interface of the platform.

    Explanation
    ===========

    ``drain`` and ``reboot`` carry the expected boot count of the VM. The
    platform refuses them with ``CONFLICT`` once the VM has booted again, so
    that a delayed call cannot affect the VM after a later boot. Both are
    idempotent. ``NOT_FOUND`` means that the VM is gone, ``STORE_UNAVAILABLE``
    that the call was not applied and ``STORE_UNKNOWN`` that it may have been.
    """

    async def list_vms(self) -> Result[Sequence[ListedVm], Failure]:
        """Read the VM list; each name occurs once."""

    async def inspect(self, name: str) -> Result[VmStatus, Failure]:
        """Read the state of a VM at the pool interface."""

    async def drain(self, name: str, boot: int) -> Result[VmStatus, Failure]:
        """Let a VM finish its running work and accept no more.

        :param boot: expected boot count of the VM.
        """

    async def reboot(
        self,
        name: str,
        boot: int,
        pool: str,
    ) -> Result[VmStatus, Failure]:
        """Reboot a drained VM into a pool.

        :param boot: expected boot count of the VM before the reboot.
        :param pool: pool that the VM serves afterwards.
        """
