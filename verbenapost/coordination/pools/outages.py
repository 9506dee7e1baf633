"""Requested and permitted outages of VMs."""

import dataclasses
from typing import final

from verbenapost.coordination.pools.records import VmEntry


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """Request to take a VM out of service.

    :param vm: name of the VM.
    :param reason: reason that operators see.
    :param next_pool: pool that the VM moves to; empty if the pool stays.
    :param urgent: whether the VM replaces a failed VM.
    :param held: whether the VM stays drained until an operator ends the hold.
    """

    vm: str
    reason: str
    next_pool: str = ''
    urgent: bool = False
    held: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """An outage that the budgets of all services of the pool granted.

    :param outage: granted outage.
    :param entry: VM record at the only revision for which the permit is
        valid.
    """

    outage: Outage
    entry: VmEntry
