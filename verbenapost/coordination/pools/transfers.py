"""Moves of single VMs that an assignment requires."""

import collections
import operator
from collections.abc import Collection, Iterator

from verbenapost.coordination.pools.assignment import Assignment
from verbenapost.coordination.pools.demands import RackKey
from verbenapost.coordination.pools.outages import Outage
from verbenapost.coordination.pools.records import Fleet
from verbenapost.state.vms import VmRecord, VmState

#: Reason of a VM that an assignment moves.
ASSIGNMENT = 'assignment'


def plan_transfers(
    fleet: Fleet,
    assignment: Assignment,
    spare: str,
    leaving: Collection[str] = (),
) -> list[Outage]:
    """Return the VMs to move, least recently maintained first.

    Explanation
    ===========

    A move reboots the VM and therefore counts as its maintenance. VMs that
    are already out of service finish their current move; each counts for the
    pool that it moves to.

    :param fleet: VM records.
    :param assignment: solved assignment.
    :param spare: name of the spare pool, which keeps the VMs that no pool
        needs.
    :param leaving: names of VMs that the platform is about to remove.
    """
    racks: dict[RackKey, list[VmRecord]] = collections.defaultdict(list)
    for vm in fleet:
        if vm.state is not VmState.FAILED and vm.name not in leaving:
            racks[vm.data_centre, vm.rack].append(vm)
    transfers: list[Outage] = []
    for key, members in racks.items():
        wanted = collections.Counter(assignment.counts.get(key, {}))
        wanted[spare] += max(0, len(members) - wanted.total())
        transfers.extend(_pair_moves(members, wanted))
    return transfers


def _pair_moves(
    members: Collection[VmRecord],
    wanted: collections.Counter[str],
) -> Iterator[Outage]:
    present = collections.Counter(vm.next_pool or vm.pool for vm in members)
    surplus = present - wanted
    missing = (wanted - present).elements()
    oldest = operator.attrgetter('maintained_at', 'name')
    for vm in sorted(members, key=oldest):
        if vm.state is VmState.IN_SERVICE and surplus[vm.pool]:
            destination = next(missing, None)
            if destination is None:
                return
            surplus[vm.pool] -= 1
            yield Outage(vm.name, ASSIGNMENT, destination)
