"""Outages of VMs, wanted and permitted."""

import dataclasses
from typing import final

from verbenapost.coordination.pools.records import VmEntry


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A VM that someone wants to take out of service.

    :param vm: name of the VM.
    :param reason: why, for operators.
    :param next_pool: pool that the VM moves to; empty when it stays.
    :param urgent: it replaces a failed VM.
    :param held: it stays drained until its return is asked for.
    """

    vm: str
    reason: str
    next_pool: str = ''
    urgent: bool = False
    held: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """An outage that all services of the VM's pool have granted.

    :param entry: the VM's record at the only revision at which the permit
        may be used.
    """

    outage: Outage
    entry: VmEntry
