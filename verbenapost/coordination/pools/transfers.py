"""The moves of single VMs that an assignment asks for."""

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
    """Return the VMs to move, the longest unmaintained first.

    Explanation
    ===========

    Each move reboots its VM and so maintains it. VMs that are out already
    are left to finish; their target pool counts.

    :param spare: name of the spare pool, which keeps what no pool needs.
    :param leaving: names of VMs that the platform takes away.
    """
    racks: dict[RackKey, list[VmRecord]] = collections.defaultdict(list)
    for vm in fleet:
        if vm.state is not VmState.FAILED and vm.name not in leaving:
            racks[vm.data_centre, vm.rack].append(vm)
    transfers: list[Outage] = []
    for key, members in racks.items():
        wanted = collections.Counter(assignment.counts.get(key, {}))
        wanted[spare] += max(0, len(members) - wanted.total())
        transfers.extend(_match(members, wanted))
    return transfers


def _match(
    members: Collection[VmRecord],
    wanted: collections.Counter[str],
) -> Iterator[Outage]:
    present = collections.Counter(vm.next_pool or vm.pool for vm in members)
    surplus = present - wanted
    missing = (wanted - present).elements()
    oldest = operator.attrgetter('maintained_at', 'name')
    for vm in sorted(members, key=oldest):
        if vm.state is VmState.IN_SERVICE and surplus[vm.pool]:
            target = next(missing, None)
            if target is None:
                return
            surplus[vm.pool] -= 1
            yield Outage(vm.name, ASSIGNMENT, target)
