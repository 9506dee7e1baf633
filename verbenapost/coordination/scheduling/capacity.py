"""Planning of VM moves between pools.

Load pattern: queues have bursts one after another. During its burst, a queue
needs more than its pool holds, while the others need next to nothing. A VM is
unavailable for a second or two while it moves, and a move costs as much as a
second in a pool. VMs therefore move directly from the pool whose burst is over
to the one whose burst has begun, and to the standby pool only when no pool
needs them.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Final, final

from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.state.workloads import FleetVm, FleetVmState

#: Share of a pool's cores that counts as usable; the rest is lost to
#: fragmentation, as tasks don't fit into what is left on each VM.
USABLE_SHARE: Final = 0.85

#: Seconds for which a VM must have been surplus before it moves to standby:
#: leaving and returning are two moves, which cost as much as two seconds in a
#: pool.
SURPLUS_SECONDS: Final = 1.5

#: VMs that a pool with jobs keeps regardless of its load.
MIN_VMS: Final = 2

_MILLI: Final = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VmView:
    """A VM with the worker that runs on it.

    :param vm: the VM as the platform lists it.
    :param worker: the VM's worker in the state of its pool, if any.
    :param on_standby: whether the VM is in the standby pool, where nothing
        runs.
    :param unlisted: whether the list of VMs has been without the VM for longer
        than any run without a known worker can last.
    :param lapsed: whether the worker doesn't answer and all its leases have
        lapsed, so that nothing runs there any more.
    """

    vm: FleetVm
    worker: Worker | None
    on_standby: bool = False
    unlisted: bool = False
    lapsed: bool = False

    @property
    def cores(self) -> float:
        """Cores of the VM."""
        return self.vm.capacity.cpu / _MILLI

    @property
    def has_long_running(self) -> bool:
        """Whether the VM has long-running tasks."""
        worker = self.worker
        return worker is not None and any(
            task.step.long_running for task in worker.tasks.values()
        )

    @property
    def empty(self) -> bool:
        """Whether it is certain that no task runs on the VM."""
        worker = self.worker
        if worker is None:
            return self.on_standby or self.unlisted
        if self.unlisted and self.lapsed:
            return not worker.tasks
        return worker.reconciled and worker.reachable and not worker.tasks


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PoolDemand:
    """Demand of a pool.

    :param service: name of the pool's service.
    :param cores: cores that the pool needs now or soon.
    :param extra_vms: VMs needed for tasks that fit on none of the pool's VMs,
        for lack of memory or because of their placement constraints.
    """

    service: str
    cores: float
    extra_vms: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class IncomingVms:
    """VMs that are moving into a pool.

    :param cores: sum of their cores.
    :param count: number of VMs.
    """

    cores: float = 0
    count: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MoveVm:
    """Order to move a VM into another pool."""

    vm: str
    pool: str


@dataclasses.dataclass(slots=True)
class _Pool:
    demand: PoolDemand
    vms: list[VmView]
    cores: float
    incoming_vms: int = 0

    @property
    def missing_cores(self) -> float:
        """Missing cores; negative when the pool has a surplus."""
        return self.demand.cores / USABLE_SHARE - self.cores

    @property
    def needs_vm(self) -> bool:
        """Whether the pool needs another VM."""
        return (
            self.missing_cores > 0
            or self.incoming_vms < self.demand.extra_vms
            or len(self.vms) + self.incoming_vms < MIN_VMS
        )


class CapacityPlanner:
    """Plans moves in rounds and tracks the VMs that it is emptying.

    :param standby: name of the pool whose VMs are off and cost nothing.
    """

    def __init__(self, standby: str | None) -> None:
        self.standby = standby
        #: Whether demand was measured for long enough to release VMs.
        self.may_release = True
        #: Destination pool of each VM that is being emptied.
        self.pending_moves: dict[str, str] = {}
        self._surplus_since: dict[str, float] = {}

    def plan(
        self,
        demands: Sequence[PoolDemand],
        views: Sequence[VmView],
        incoming: Mapping[str, IncomingVms],
        now: float,
    ) -> list[MoveVm]:
        """Return the moves to order now; marks the VMs to be emptied.

        :param demands: demands of all pools except the standby pool.
        :param views: VMs without a pending order.
        :param incoming: VMs that are moving in, by pool.
        :param now: local seconds.
        """
        usable = [view for view in views if view.vm.state is FleetVmState.UP]
        pools = self._group_by_pool(demands, usable, incoming)
        self._forget_pending_moves(views)
        moves = self._order_pending_moves(usable, pools)
        moved = {move.vm for move in moves}
        for pool in sorted(
            pools.values(), key=_get_missing_cores, reverse=True
        ):
            moves.extend(self._add_vms(pool, pools, usable, moved))
        moves.extend(self._release_surplus(pools, now))
        return moves

    def _group_by_pool(
        self,
        demands: Sequence[PoolDemand],
        usable: Sequence[VmView],
        incoming: Mapping[str, IncomingVms],
    ) -> dict[str, _Pool]:
        pools = {}
        for demand in demands:
            moving = incoming.get(demand.service, IncomingVms())
            pools[demand.service] = _Pool(
                demand, [], moving.cores, moving.count
            )
        for view in usable:
            name = self.pending_moves.get(view.vm.vm, view.vm.pool)
            future_pool = pools.get(name)
            if future_pool is None:
                continue
            if view.vm.vm in self.pending_moves:
                future_pool.cores += view.cores
                future_pool.incoming_vms += 1
            elif _is_staying(view):
                future_pool.cores += view.cores
                future_pool.vms.append(view)
        return pools

    def _forget_pending_moves(self, views: Sequence[VmView]) -> None:
        """Forget the moves of VMs that are listed as moved or not up."""
        for view in views:
            arrived = view.vm.pool == self.pending_moves.get(view.vm.vm)
            if arrived or view.vm.state is not FleetVmState.UP:
                self.pending_moves.pop(view.vm.vm, None)

    def _order_pending_moves(
        self,
        usable: Sequence[VmView],
        pools: Mapping[str, _Pool],
    ) -> list[MoveVm]:
        """Move the VMs that are empty by now; cancel moves not needed."""
        found = {view.vm.vm: view for view in usable}
        moves = []
        for name, destination in list(self.pending_moves.items()):
            view = found.get(name)
            if view is None:
                # A single read of the list may leave a VM out.
                continue
            source = pools.get(view.vm.pool)
            if source is not None and source.missing_cores > view.cores / 2:
                # The VM's current pool needs it again.
                self._cancel_move(view, destination, pools)
            elif view.empty:
                self.pending_moves.pop(name)
                moves.append(MoveVm(name, destination))
        return moves

    def _cancel_move(
        self,
        view: VmView,
        destination: str,
        pools: Mapping[str, _Pool],
    ) -> None:
        self.pending_moves.pop(view.vm.vm)
        if view.worker is not None:
            view.worker.leaving = False
        pools[view.vm.pool].cores += view.cores
        if destination in pools:
            pools[destination].cores -= view.cores

    def _add_vms(
        self,
        pool: _Pool,
        pools: Mapping[str, _Pool],
        usable: Sequence[VmView],
        moved: set[str],
    ) -> list[MoveVm]:
        moves: list[MoveVm] = []
        while pool.needs_vm:
            view = self._find_donor(pool, pools, usable, moved)
            if view is None:
                break
            moved.add(view.vm.vm)
            source = pools.get(view.vm.pool)
            if source is not None:
                source.cores -= view.cores
                source.vms.remove(view)
            pool.cores += view.cores
            pool.incoming_vms += 1
            service = pool.demand.service
            if view.worker is not None:
                view.worker.leaving = True
            if view.empty:
                moves.append(MoveVm(view.vm.vm, service))
            else:
                self.pending_moves[view.vm.vm] = service
        return moves

    def _find_donor(
        self,
        pool: _Pool,
        pools: Mapping[str, _Pool],
        usable: Sequence[VmView],
        moved: set[str],
    ) -> VmView | None:
        """Return a VM to move into a pool, or ``None``.

        Empty VMs of pools with a surplus come first, then VMs on standby,
        then busy VMs of pools with a surplus.
        """
        spare = [
            view
            for source in pools.values()
            if source is not pool
            for view in source.vms
            if _can_donate(source, view)
        ]
        empty = [view for view in spare if view.empty]
        on_standby = [
            view
            for view in usable
            if view.on_standby
            and view.vm.vm not in moved
            and view.vm.vm not in self.pending_moves
        ]
        found = empty or on_standby or spare
        return min(found, key=_count_tasks, default=None)

    def _release_surplus(
        self,
        pools: Mapping[str, _Pool],
        now: float,
    ) -> list[MoveVm]:
        """Move VMs that have been surplus for some time to standby."""
        if self.standby is None or not self.may_release:
            return []
        moves: list[MoveVm] = []
        for pool in pools.values():
            spare = sorted(
                (view for view in pool.vms if view.empty),
                key=_get_name,
            )
            limit = min(len(spare), _count_spare(pool))
            for view in spare[:limit]:
                since = self._surplus_since.setdefault(view.vm.vm, now)
                if now - since >= SURPLUS_SECONDS and view.worker is not None:
                    view.worker.leaving = True
                    moves.append(MoveVm(view.vm.vm, self.standby))
            for view in (*spare[limit:], *_find_busy(pool)):
                self._surplus_since.pop(view.vm.vm, None)
        for move in moves:
            self._surplus_since.pop(move.vm, None)
        return moves


def _is_staying(view: VmView) -> bool:
    return view.worker is None or view.worker.staying


def _can_donate(source: _Pool, view: VmView) -> bool:
    return (
        not view.has_long_running
        and len(source.vms) > MIN_VMS
        and source.missing_cores + view.cores <= 0
    )


def _count_spare(pool: _Pool) -> int:
    """Return how many surplus VMs a pool has."""
    if not pool.vms:
        return 0
    cores = max(view.cores for view in pool.vms)
    surplus = math.floor(-pool.missing_cores / cores) if cores else 0
    return max(0, min(surplus, len(pool.vms) - MIN_VMS))


def _find_busy(pool: _Pool) -> list[VmView]:
    return [view for view in pool.vms if not view.empty]


def _get_missing_cores(pool: _Pool) -> float:
    return pool.missing_cores


def _count_tasks(view: VmView) -> tuple[int, str]:
    tasks = 0 if view.worker is None else len(view.worker.tasks)
    return tasks, view.vm.vm


def _get_name(view: VmView) -> str:
    return view.vm.vm
