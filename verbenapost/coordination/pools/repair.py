"""Replacement of failed VMs from the spare pool."""

import collections
import dataclasses
from collections.abc import Collection, Iterable, Mapping
from typing import final

from verbenapost.coordination.pools.outages import Outage
from verbenapost.coordination.pools.policy import FleetPolicy, find_domain
from verbenapost.coordination.pools.records import Fleet
from verbenapost.state.budgets import OutageGrant
from verbenapost.state.documents import FailureDomain
from verbenapost.state.vms import VmRecord, VmState

#: Reason of a VM that replaces a failed VM.
REPLACEMENT = 'replacement'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RepairPlan:
    """Repairs of one round.

    :param outages: outages of the spare VMs to move, best choice first for
        each pool.
    :param replaced: failed VMs whose pools are complete without them.
    :param shortages: VMs that each pool lacks before the planned moves.
    """

    outages: tuple[Outage, ...]
    replaced: tuple[str, ...]
    shortages: Mapping[str, int]


def plan_repairs(
    policy: FleetPolicy,
    fleet: Fleet,
    grants: Iterable[OutageGrant],
    leaving: Collection[str] = (),
) -> RepairPlan:
    """Choose spare VMs for the pools that lack VMs.

    :param policy: configuration in force.
    :param fleet: VM records.
    :param grants: all granted outages.
    :param leaving: names of VMs that the platform is about to remove.
    """
    pending = tuple(grants)
    needs = _count_needs(policy, fleet, pending, leaving)
    unavailable = {grant.vm for grant in pending}
    unavailable.update(leaving)
    spares = [
        vm
        for vm in fleet.list_pool(policy.spare_pool)
        if vm.state is VmState.IN_SERVICE and vm.name not in unavailable
    ]
    outages = [
        Outage(vm.name, REPLACEMENT, pool, urgent=True)
        for pool, need in sorted(needs.items())
        for vm in _choose_spares(spares, fleet.list_pool(pool), need)
    ]
    replaced = [vm.name for vm in fleet if _is_replaced(vm, needs)]
    shortages = {pool: need for pool, need in needs.items() if need > 0}
    return RepairPlan(tuple(outages), tuple(replaced), shortages)


def _is_replaced(vm: VmRecord, needs: Mapping[str, int]) -> bool:
    """Return whether the pool of a failed VM is complete without the VM."""
    if vm.state is not VmState.FAILED or vm.next_pool is not None:
        return False
    return needs.get(vm.pool, 1) <= 0


def _count_needs(
    policy: FleetPolicy,
    fleet: Fleet,
    grants: Iterable[OutageGrant],
    leaving: Collection[str],
) -> dict[str, int]:
    """Count the VMs that each pool other than the spare pool lacks."""
    expected = _count_expected(fleet, grants, leaving)
    return {
        name: spec.vms - expected[name]
        for name, spec in policy.pools.items()
        if name != policy.spare_pool
    }


def _count_expected(
    fleet: Fleet,
    grants: Iterable[OutageGrant],
    leaving: Collection[str],
) -> collections.Counter[str]:
    """Count the VMs that serve each pool now or after a pending move."""
    destinations = {grant.vm: grant.next_pool for grant in grants}
    expected: collections.Counter[str] = collections.Counter()
    for vm in fleet:
        if vm.state is VmState.FAILED or vm.name in leaving:
            continue
        destination = vm.next_pool or vm.pool
        if vm.state is VmState.IN_SERVICE:
            destination = destinations.get(vm.name) or destination
        expected[destination] += 1
    return expected


def _choose_spares(
    spares: list[VmRecord],
    members: Iterable[VmRecord],
    need: int,
) -> list[VmRecord]:
    """Remove VMs from ``spares``, spread over the racks of the pool."""
    racks = collections.Counter(_find_rack(vm) for vm in members)
    chosen: list[VmRecord] = []
    while spares and len(chosen) < need:
        best = _pick_spare(spares, racks)
        spares.remove(best)
        racks[_find_rack(best)] += 1
        chosen.append(best)
    return chosen


def _pick_spare(
    spares: Collection[VmRecord],
    racks: Mapping[str, int],
) -> VmRecord:
    """Return a VM of the rack that is least used by the pool.

    Among equal racks, the rack with the most spare VMs is preferred.
    """
    remaining = collections.Counter(_find_rack(vm) for vm in spares)

    def rank(vm: VmRecord) -> tuple[int, int, str]:
        rack = _find_rack(vm)
        return racks[rack], -remaining[rack], vm.name

    return min(spares, key=rank)


def _find_rack(vm: VmRecord) -> str:
    return find_domain(vm, FailureDomain.RACK)
