"""Replacement of failed VMs from the spare pool."""

import collections
import dataclasses
from collections.abc import Collection, Iterable, Mapping
from typing import final

from verbenapost.coordination.pools.outages import Outage
from verbenapost.coordination.pools.policy import FleetPolicy, find_domain
from verbenapost.coordination.pools.records import Fleet
from verbenapost.state.budgets import Grant
from verbenapost.state.documents import FailureDomain
from verbenapost.state.vms import VmRecord, VmState

#: Reason of a VM that replaces a failed one.
REPLACEMENT = 'replacement'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RepairPlan:
    """What a round of repairs does.

    :param outages: spare VMs to move, for each pool the first choice first.
    :param replaced: failed VMs that their pool no longer waits for.
    :param short: VMs that each pool still lacks, without those to move.
    """

    outages: tuple[Outage, ...]
    replaced: tuple[str, ...]
    short: Mapping[str, int]


def plan_repairs(
    policy: FleetPolicy,
    fleet: Fleet,
    grants: Iterable[Grant],
    leaving: Collection[str] = (),
) -> RepairPlan:
    """Choose spare VMs for the pools that lack some.

    :param grants: all granted outages.
    :param leaving: names of VMs that the platform takes away.
    """
    pending = tuple(grants)
    needs = _count_needs(policy, fleet, pending, leaving)
    unavailable = {grant.vm for grant in pending}
    unavailable.update(leaving)
    free = [
        vm
        for vm in fleet.list_pool(policy.spare_pool)
        if vm.state is VmState.IN_SERVICE and vm.name not in unavailable
    ]
    outages = [
        Outage(vm.name, REPLACEMENT, pool, urgent=True)
        for pool, need in sorted(needs.items())
        for vm in _choose(free, fleet.list_pool(pool), need)
    ]
    replaced = [vm.name for vm in fleet if _is_replaced(vm, needs)]
    short = {pool: need for pool, need in needs.items() if need > 0}
    return RepairPlan(tuple(outages), tuple(replaced), short)


def _is_replaced(vm: VmRecord, needs: Mapping[str, int]) -> bool:
    """Whether the pool of a failed VM has all it needs without it."""
    if vm.state is not VmState.FAILED or vm.next_pool is not None:
        return False
    return needs.get(vm.pool, 1) <= 0


def _count_needs(
    policy: FleetPolicy,
    fleet: Fleet,
    grants: Iterable[Grant],
    leaving: Collection[str],
) -> dict[str, int]:
    """Count the VMs that each pool lacks, without the spare pool."""
    coming = _count_coming(fleet, grants, leaving)
    return {
        name: spec.vms - coming[name]
        for name, spec in policy.pools.items()
        if name != policy.spare_pool
    }


def _count_coming(
    fleet: Fleet,
    grants: Iterable[Grant],
    leaving: Collection[str],
) -> collections.Counter[str]:
    """Count for each pool the VMs that serve it now or soon."""
    targets = {grant.vm: grant.next_pool for grant in grants}
    coming: collections.Counter[str] = collections.Counter()
    for vm in fleet:
        if vm.state is VmState.FAILED or vm.name in leaving:
            continue
        target = vm.next_pool or vm.pool
        if vm.state is VmState.IN_SERVICE:
            target = targets.get(vm.name) or target
        coming[target] += 1
    return coming


def _choose(
    free: list[VmRecord],
    members: Iterable[VmRecord],
    need: int,
) -> list[VmRecord]:
    """Take VMs out of ``free``, spread over the racks of the pool."""
    racks = collections.Counter(_find_rack(vm) for vm in members)
    chosen: list[VmRecord] = []
    while free and len(chosen) < need:
        best = _pick(free, racks)
        free.remove(best)
        racks[_find_rack(best)] += 1
        chosen.append(best)
    return chosen


def _pick(
    free: Collection[VmRecord],
    racks: Mapping[str, int],
) -> VmRecord:
    """Return the VM in the rack least used there and fullest here."""
    left = collections.Counter(_find_rack(vm) for vm in free)

    def rank(vm: VmRecord) -> tuple[int, int, str]:
        rack = _find_rack(vm)
        return racks[rack], -left[rack], vm.name

    return min(free, key=rank)


def _find_rack(vm: VmRecord) -> str:
    return find_domain(vm, FailureDomain.RACK)
