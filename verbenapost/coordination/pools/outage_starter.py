"""Start and end of planned VM outages."""

import dataclasses
from collections.abc import Callable
from typing import final

from result import Err, Result

from verbenapost.coordination.pools.budgets import Budgets
from verbenapost.coordination.pools.outages import Outage, Permit
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.records import VmEntry, VmRecords
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.vms import VmState


@final
class OutageStarter:
    """Takes VMs out of service once all budgets have granted the outage.

    :param records: VM records.
    :param budgets: grants of outages.
    :param read_policy: returns the configuration in force.
    """

    def __init__(
        self,
        records: VmRecords,
        budgets: Budgets,
        read_policy: Callable[[], FleetPolicy],
    ) -> None:
        self._records = records
        self._budgets = budgets
        self._read_policy = read_policy

    async def start_outage(
        self,
        outage: Outage,
        now: float,
    ) -> Result[VmEntry, Failure]:
        """Start an outage that an operator or a plan asks for.

        :param outage: VM, reason and next pool.
        :param now: Unix time in seconds.
        :returns: the new entry, or ``CONFLICT`` with the reason if a budget
            refuses the outage.
        """
        policy = self._read_policy()
        if outage.next_pool and outage.next_pool not in policy.pools:
            detail = f'no pool {outage.next_pool}'
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        acquired = await self._budgets.acquire(outage, policy, now)
        if isinstance(acquired, Err):
            return acquired
        permit = acquired.ok_value
        checked = await self._budgets.recheck(permit, policy)
        if isinstance(checked, Err):
            await self._budgets.release(permit, policy)
            return checked
        return await self._start(permit, now)

    async def end_hold(self, vm: str) -> Result[VmEntry, Failure]:
        """Clear the hold of a VM, which then returns after a reboot.

        :returns: the new entry, ``NOT_FOUND`` for an unknown VM, or
            ``CONFLICT`` if the VM is not held.
        """
        fleet = await self._records.read_fleet()
        if isinstance(fleet, Err):
            return fleet
        entry = fleet.ok_value.entries.get(vm)
        if entry is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f'no VM {vm}'))
        if not entry.record.held:
            return Err(Failure(ErrorKind.CONFLICT, f'{vm} is not held'))
        released = dataclasses.replace(entry.record, held=False)
        return await self._records.write(entry, released)

    async def _start(
        self,
        permit: Permit,
        now: float,
    ) -> Result[VmEntry, Failure]:
        draining = dataclasses.replace(
            permit.entry.record,
            state=VmState.DRAINING,
            reason=permit.outage.reason,
            next_pool=permit.outage.next_pool or None,
            held=permit.outage.held,
            changed_at=now,
        )
        return await self._records.write(permit.entry, draining)
