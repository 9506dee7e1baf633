"""Which VMs change their pool.

Load pattern: while one queue has its turn and needs more than its pool holds,
the others need next to nothing. A VM that moves is missing for a second or two
and a move costs as much as a second in a pool, so VMs go from the pool whose
turn is over to the one whose turn has come, and wait in the standby pool when
nobody needs them.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Final, final

from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.state.workloads import FleetVm, VmState

#: Share of a pool's cores that is planned with; the rest is lost to tasks
#: that don't fit into what is left on each VM.
FILL_SHARE: Final = 0.85

#: Seconds for which a VM must have been needless before it goes to standby:
#: going and coming back cost two moves, so much as two seconds in a pool.
SPARE_SECONDS: Final = 1.5

#: VMs that a pool with jobs keeps whatever its load is.
LEAST_VMS: Final = 2

_MILLI: Final = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VmView:
    """A VM with the worker that runs on it.

    :param vm: as the platform lists it.
    :param worker: its worker as its board knows it, if it has one.
    :param resting: whether it is in the standby pool, where nothing runs.
    """

    vm: FleetVm
    worker: Worker | None
    resting: bool = False

    @property
    def cores(self) -> float:
        """Processors of the VM."""
        return self.vm.room.cpu / _MILLI

    @property
    def lasting(self) -> bool:
        """Whether it runs tasks that last."""
        worker = self.worker
        return worker is not None and any(
            task.step.long_running for task in worker.tasks.values()
        )

    @property
    def empty(self) -> bool:
        """Whether nothing runs there for sure."""
        worker = self.worker
        if worker is None:
            return self.resting
        return worker.adopted and worker.reachable and not worker.tasks


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PoolDemand:
    """What a pool needs.

    :param service: name of the pool's service.
    :param cores: cores that it needs now or soon.
    """

    service: str
    cores: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MoveVm:
    """Move a VM into another pool."""

    vm: str
    pool: str


@dataclasses.dataclass(slots=True)
class _Pool:
    demand: PoolDemand
    vms: list[VmView]
    cores: float
    coming: int = 0

    @property
    def short(self) -> float:
        """Cores that are missing; negative when there are too many."""
        return self.demand.cores / FILL_SHARE - self.cores

    @property
    def needy(self) -> bool:
        """Whether it needs another VM."""
        return self.short > 0 or len(self.vms) + self.coming < LEAST_VMS


class CapacityPlanner:
    """Plans moves in rounds; remembers which VMs it is emptying.

    :param standby: name of the pool whose VMs are off and cost nothing.
    """

    def __init__(self, standby: str | None) -> None:
        self.standby = standby
        #: Whether the demand is known for long enough to send VMs away.
        self.may_spare = True
        #: Pool that each VM which is being emptied will go to.
        self.intents: dict[str, str] = {}
        self._needless_since: dict[str, float] = {}

    def plan(
        self,
        demands: Sequence[PoolDemand],
        views: Sequence[VmView],
        incoming: Mapping[str, float],
        now: float,
    ) -> list[MoveVm]:
        """Return the moves to order now; marks the VMs that must be emptied.

        :param demands: needs of the pools, but for the standby pool.
        :param views: VMs that can be used and that no order is out for.
        :param incoming: cores on their way by pool.
        :param now: local seconds.
        """
        usable = [view for view in views if view.vm.state is VmState.UP]
        pools = self._group(demands, usable, incoming)
        moves = self._serve_intents(usable, pools)
        moved = {move.vm for move in moves}
        for pool in sorted(pools.values(), key=_read_short, reverse=True):
            moves.extend(self._fill(pool, pools, usable, moved))
        moves.extend(self._send_spare(pools, now))
        return moves

    def _group(
        self,
        demands: Sequence[PoolDemand],
        usable: Sequence[VmView],
        incoming: Mapping[str, float],
    ) -> dict[str, _Pool]:
        pools = {
            demand.service: _Pool(
                demand,
                [],
                incoming.get(demand.service, 0),
                int(incoming.get(demand.service, 0) > 0),
            )
            for demand in demands
        }
        for view in usable:
            name = self.intents.get(view.vm.vm, view.vm.pool)
            target = pools.get(name)
            if target is None:
                continue
            if view.vm.vm in self.intents:
                target.cores += view.cores
                target.coming += 1
            elif _is_staying(view):
                target.cores += view.cores
                target.vms.append(view)
        return pools

    def _serve_intents(
        self,
        usable: Sequence[VmView],
        pools: Mapping[str, _Pool],
    ) -> list[MoveVm]:
        """Move the VMs that are empty by now; give up what is not needed."""
        found = {view.vm.vm: view for view in usable}
        moves = []
        for name, target in list(self.intents.items()):
            view = found.get(name)
            if view is None or view.vm.pool == target:
                self.intents.pop(name)
                continue
            source = pools.get(view.vm.pool)
            if source is not None and source.short > view.cores / 2:
                # Its own pool needs it again.
                self._keep(view, target, pools)
            elif view.empty:
                self.intents.pop(name)
                moves.append(MoveVm(name, target))
        return moves

    def _keep(
        self,
        view: VmView,
        target: str,
        pools: Mapping[str, _Pool],
    ) -> None:
        self.intents.pop(view.vm.vm)
        if view.worker is not None:
            view.worker.leaving = False
        pools[view.vm.pool].cores += view.cores
        if target in pools:
            pools[target].cores -= view.cores

    def _fill(
        self,
        pool: _Pool,
        pools: Mapping[str, _Pool],
        usable: Sequence[VmView],
        moved: set[str],
    ) -> list[MoveVm]:
        moves: list[MoveVm] = []
        while pool.needy:
            view = self._find_donor(pool, pools, usable, moved)
            if view is None:
                break
            moved.add(view.vm.vm)
            source = pools.get(view.vm.pool)
            if source is not None:
                source.cores -= view.cores
                source.vms.remove(view)
            pool.cores += view.cores
            pool.coming += 1
            service = pool.demand.service
            if view.worker is not None:
                view.worker.leaving = True
            if view.empty:
                moves.append(MoveVm(view.vm.vm, service))
            else:
                self.intents[view.vm.vm] = service
        return moves

    def _find_donor(
        self,
        pool: _Pool,
        pools: Mapping[str, _Pool],
        usable: Sequence[VmView],
        moved: set[str],
    ) -> VmView | None:
        """Return an empty VM of a pool with too many, then one on standby."""
        spare = [
            view
            for source in pools.values()
            if source is not pool
            for view in source.vms
            if _can_give(source, view)
        ]
        empty = [view for view in spare if view.empty]
        resting = [
            view
            for view in usable
            if view.resting
            and view.vm.vm not in moved
            and view.vm.vm not in self.intents
        ]
        found = empty or resting or spare
        return min(found, key=_count_tasks, default=None)

    def _send_spare(
        self,
        pools: Mapping[str, _Pool],
        now: float,
    ) -> list[MoveVm]:
        """Send VMs that nobody has needed for some time to standby."""
        if self.standby is None or not self.may_spare:
            return []
        moves: list[MoveVm] = []
        for pool in pools.values():
            spare = sorted(
                (view for view in pool.vms if view.empty),
                key=_get_name,
            )
            most = min(len(spare), _count_spare(pool))
            for view in spare[:most]:
                since = self._needless_since.setdefault(view.vm.vm, now)
                if now - since >= SPARE_SECONDS and view.worker is not None:
                    view.worker.leaving = True
                    moves.append(MoveVm(view.vm.vm, self.standby))
            for view in (*spare[most:], *_find_busy(pool)):
                self._needless_since.pop(view.vm.vm, None)
        for move in moves:
            self._needless_since.pop(move.vm, None)
        return moves


def _is_staying(view: VmView) -> bool:
    return view.worker is None or view.worker.staying


def _can_give(source: _Pool, view: VmView) -> bool:
    return (
        not view.lasting
        and len(source.vms) > LEAST_VMS
        and source.short + view.cores <= 0
    )


def _count_spare(pool: _Pool) -> int:
    """Return how many VMs of a pool are too many."""
    if not pool.vms:
        return 0
    cores = max(view.cores for view in pool.vms)
    surplus = math.floor(-pool.short / cores) if cores else 0
    return max(0, min(surplus, len(pool.vms) - LEAST_VMS))


def _find_busy(pool: _Pool) -> list[VmView]:
    return [view for view in pool.vms if not view.empty]


def _read_short(pool: _Pool) -> float:
    return pool.short


def _count_tasks(view: VmView) -> tuple[int, str]:
    tasks = 0 if view.worker is None else len(view.worker.tasks)
    return tasks, view.vm.vm


def _get_name(view: VmView) -> str:
    return view.vm.vm
