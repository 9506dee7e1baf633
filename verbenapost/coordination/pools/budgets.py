"""Grants of VM outages within the availability budgets of services."""

import dataclasses
import itertools
from typing import final

from result import Err, Ok, Result

from verbenapost.coordination.pools.budget_rules import BudgetView, build_view
from verbenapost.coordination.pools.budget_store import (
    BudgetEntry,
    BudgetStore,
)
from verbenapost.coordination.pools.outages import Outage, Permit
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.records import Fleet, VmEntry, VmRecords
from verbenapost.coordination.pools.sequence import (
    collect,
    run_until_failure,
)
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.budgets import OutageGrant
from verbenapost.state.vms import VmState

#: Lifetime of an unused grant in seconds; then any keeper may remove the grant.
GRANT_SECONDS = 30.0

_NOT_OUT = frozenset((VmState.IN_SERVICE, VmState.FAILED))


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    budget: BudgetEntry
    view: BudgetView
    fleet: Fleet


class Budgets:
    """Grants outages and removes grants by compare-and-swap.

    Explanation
    ===========

    A grant is valid for one revision of the VM record. To use a grant, the
    holder replaces the VM record by a compare-and-swap on exactly that
    revision. To remove an unused grant, a keeper first rewrites the VM
    record, which fences a suspended holder: its compare-and-swap then fails.
    The VM records are always read after the budget record, at the revision
    of that record or later. An outage that the budget record no longer lists
    is therefore visible in the VM record.

    :param store: budget records.
    :param records: VM records of the same store.
    """

    def __init__(self, store: BudgetStore, records: VmRecords) -> None:
        self._store = store
        self._records = records

    async def acquire(
        self,
        outage: Outage,
        policy: FleetPolicy,
        now: float,
    ) -> Result[Permit, Failure]:
        """Acquire a grant from the budget of every service in the VM's pool.

        :param outage: requested outage.
        :param policy: configuration in force.
        :param now: Unix time in seconds.
        :returns: a permit, ``NOT_FOUND`` for an unknown VM, or ``CONFLICT``
            with the reason of the refusal.
        """
        fleet = await self._records.read_fleet()
        if isinstance(fleet, Err):
            return fleet
        entry = fleet.ok_value.entries.get(outage.vm)
        if entry is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f'no VM {outage.vm}'))
        permit = Permit(outage, entry)
        services = sorted(policy.find_budgets(entry.record.pool))
        granted = await run_until_failure(
            lambda service: self._write_grant(service, permit, policy, now),
            services,
        )
        if isinstance(granted, Err):
            await self.release(permit, policy)
            return granted
        return Ok(permit)

    async def recheck(
        self,
        permit: Permit,
        policy: FleetPolicy,
    ) -> Result[None, Failure]:
        """Check the budgets again for failures since the grants.

        Called immediately before the VM leaves service.
        """
        pool = permit.entry.record.pool
        return await run_until_failure(
            lambda service: self._recheck(service, permit, policy),
            policy.find_budgets(pool),
        )

    async def release(self, permit: Permit, policy: FleetPolicy) -> None:
        """Remove the grants of an unused permit."""
        services = policy.find_budgets(permit.entry.record.pool)
        entries = await collect(self._store.read, services)
        granting = [
            found.ok_value
            for found in entries
            if isinstance(found, Ok) and _holds_grant(found.ok_value, permit)
        ]
        if not granting or not await self._fence(permit.entry):
            return
        await collect(
            lambda entry: self._remove(entry, permit.outage.vm),
            granting,
        )

    async def prune(
        self,
        service: str,
        pool: str,
        now: float,
    ) -> Result[None, Failure]:
        """Remove the grants of outages that have ended or were not used.

        :param service: service whose budget record is pruned.
        :param pool: pool of the service.
        :param now: Unix time in seconds.
        """
        stored = await self._store.read(service)
        if isinstance(stored, Err):
            return stored
        budget = stored.ok_value
        if not budget.record.grants:
            return Ok(None)
        fleet = await self._records.read_fleet(budget.revision)
        if isinstance(fleet, Err):
            return fleet
        needed = [
            grant
            for grant in budget.record.grants
            if _is_needed(grant, fleet.ok_value, pool)
        ]
        stopped = budget.record.stopped
        expired = [
            grant
            for grant in needed
            if _is_expired(grant, now, stopped=stopped)
        ]
        fenced = await collect(
            lambda grant: self._fence_grant(grant, fleet.ok_value),
            expired,
        )
        removed = list(itertools.compress(expired, fenced))
        kept = (grant for grant in needed if grant not in removed)
        return await self._store.replace_grants(budget, kept)

    async def set_stopped(
        self,
        service: str,
        *,
        stopped: bool,
    ) -> Result[None, Failure]:
        """Set whether all planned outages of a service are refused."""
        stored = await self._store.read(service)
        if isinstance(stored, Err):
            return stored
        return await self._store.replace_stop(
            stored.ok_value,
            stopped=stopped,
        )

    async def _write_grant(
        self,
        service: str,
        permit: Permit,
        policy: FleetPolicy,
        now: float,
    ) -> Result[None, Failure]:
        record = permit.entry.record
        read = await self._read_view(service, record.pool, policy)
        allowed = read.and_then(lambda found: _check_grant(found, permit))
        if isinstance(allowed, Err):
            return allowed
        budget = allowed.ok_value
        grant = self._make_grant(permit, now)
        return await self._store.replace_grants(
            budget,
            (*budget.record.grants, grant),
        )

    async def _recheck(
        self,
        service: str,
        permit: Permit,
        policy: FleetPolicy,
    ) -> Result[None, Failure]:
        pool = permit.entry.record.pool
        read = await self._read_view(service, pool, policy)
        return read.and_then(lambda found: _check_start(found, permit))

    async def _remove(self, entry: BudgetEntry, vm: str) -> None:
        kept = (grant for grant in entry.record.grants if grant.vm != vm)
        await self._store.replace_grants(entry, kept)

    def _make_grant(self, permit: Permit, now: float) -> OutageGrant:
        outage = permit.outage
        return OutageGrant(
            vm=outage.vm,
            reason=outage.reason,
            expiry=now + GRANT_SECONDS,
            holder=self._store.instance,
            vm_revision=permit.entry.revision,
            next_pool=outage.next_pool,
            urgent=outage.urgent,
        )

    async def _read_view(
        self,
        service: str,
        pool: str,
        policy: FleetPolicy,
    ) -> Result[_Reading, Failure]:
        stored = await self._store.read(service)
        if isinstance(stored, Err):
            return stored
        budget = stored.ok_value
        fleet = await self._records.read_fleet(budget.revision)
        if isinstance(fleet, Err):
            return fleet
        rules = policy.find_budgets(pool)[service]
        view = build_view(rules, pool, fleet.ok_value, budget.record)
        return Ok(_Reading(budget, view, fleet.ok_value))

    async def _fence_grant(self, grant: OutageGrant, fleet: Fleet) -> bool:
        """Make an unused grant unusable.

        :returns: whether the grant can no longer be used; ``False`` if the
            grant may be in use.
        """
        entry = fleet.entries.get(grant.vm)
        if entry is None or entry.revision != grant.vm_revision:
            return False
        return await self._fence(entry)

    async def _fence(self, entry: VmEntry) -> bool:
        """Rewrite a VM record so that no grant for its revision can be used."""
        rewritten = await self._records.write(entry, entry.record)
        return isinstance(rewritten, Ok)


def _check_grant(
    read: _Reading,
    permit: Permit,
) -> Result[BudgetEntry, Failure]:
    record = permit.entry.record
    if read.fleet.entries.get(record.name) != permit.entry:
        return Err(Failure(ErrorKind.CONFLICT, 'the VM has changed'))
    refusal = read.view.find_refusal(record, urgent=permit.outage.urgent)
    if refusal:
        detail = f'{read.budget.service}: {refusal}'
        return Err(Failure(ErrorKind.CONFLICT, detail))
    return Ok(read.budget)


def _check_start(read: _Reading, permit: Permit) -> Result[None, Failure]:
    refusal = read.view.find_start_refusal(urgent=permit.outage.urgent)
    if refusal:
        detail = f'{read.budget.service}: {refusal}'
        return Err(Failure(ErrorKind.CONFLICT, detail))
    return Ok(None)


def _is_expired(grant: OutageGrant, now: float, *, stopped: bool) -> bool:
    return grant.expiry <= now or (stopped and not grant.urgent)


def _holds_grant(budget: BudgetEntry, permit: Permit) -> bool:
    return any(
        grant.vm == permit.outage.vm
        and grant.vm_revision == permit.entry.revision
        for grant in budget.record.grants
    )


def _is_needed(grant: OutageGrant, fleet: Fleet, pool: str) -> bool:
    """Return whether a grant may still be used or its VM is still out."""
    entry = fleet.entries.get(grant.vm)
    if entry is None:
        return False
    if entry.revision == grant.vm_revision:
        return True
    vm = entry.record
    return vm.pool == pool and vm.state not in _NOT_OUT
