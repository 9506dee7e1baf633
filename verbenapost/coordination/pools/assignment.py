"""Which VMs belong in which pool, as an integer programme."""

import collections
import dataclasses
from collections.abc import Collection, Iterable, Mapping
from typing import TypeAlias, final

from result import Result

from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.program import (
    TIME_LIMIT_SECONDS,
    Program,
    Solved,
)
from verbenapost.coordination.pools.records import Fleet
from verbenapost.protocol.errors import Failure
from verbenapost.state.documents import AvailabilityBudget, FailureDomain
from verbenapost.state.vms import VmState

#: Moves that one VM less in the buffer is worth.
BUFFER_PRICE = 50.0

#: The same when no VM is given back, so that only promises cause moves.
FIXED_FLEET_PRICE = 0.1

#: Moves that one VM less in a pool's fullest data centre is worth.
SPREAD_PRICE = 0.05

#: VMs that planned work may take out while a failure domain can be lost.
PLANNED_ROOM = 1

RackKey: TypeAlias = tuple[str, str]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Rack:
    """The healthy VMs of a rack by their present pool.

    :param data_centre: data centre of the rack.
    :param name: rack, unique within the data centre.
    :param pools: number of VMs in each pool.
    """

    data_centre: str
    name: str
    pools: Mapping[str, int]

    @property
    def key(self) -> RackKey:
        """Return the name of the rack in the region."""
        return self.data_centre, self.name

    @property
    def size(self) -> int:
        """Return the number of VMs."""
        return sum(self.pools.values())


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a pool has to have.

    :param pool: name of the pool.
    :param vms: VMs that it needs at peak.
    :param at_once: VMs that stay after the loss of a failure domain, before
        any replacement.
    :param survive: failure domain whose loss it survives.
    """

    pool: str
    vms: int
    at_once: int = 0
    survive: FailureDomain = FailureDomain.RACK


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """The solved assignment.

    :param counts: VMs by rack and pool.
    :param buffer: VMs above the need of all pools.
    :param lower_bound: buffer of the relaxation, which no assignment beats.
    :param moves: VMs that change pool.
    :param releasable: VMs of the spare pool that no need binds.
    """

    counts: Mapping[RackKey, Mapping[str, int]]
    buffer: int
    lower_bound: float
    moves: int
    releasable: int


@final
class AssignmentModel:
    """Columns and rows of the assignment.

    Explanation
    ===========

    The spare pool holds its own need and the buffer that all pools share.
    After the loss of any failure domain each pool keeps ``at_once`` VMs, and
    the spare pool's VMs outside that domain make up what the pools then lack
    of their need. VMs that no pool needs stay in the spare pool uncounted.

    :param racks: VMs of the region.
    :param demands: needs of all pools, the spare pool among them.
    :param spare: name of the spare pool.
    :param shared: whether the spare pool's buffer may stand in for any pool;
        otherwise each pool has a buffer of its own.
    """

    def __init__(
        self,
        racks: Collection[Rack],
        demands: Collection[Demand],
        spare: str,
        *,
        shared: bool = True,
    ) -> None:
        self._racks = racks
        self._demands = demands
        self._spare = spare
        self._shared = shared
        self._program = Program()
        self._vms: dict[tuple[RackKey, str], int] = {}
        self._totals: dict[str, int] = {}

    def solve(
        self,
        buffer_price: float = BUFFER_PRICE,
        time_limit: float = TIME_LIMIT_SECONDS,
    ) -> Result[Assignment, Failure]:
        """Solve for the smallest buffer, then for few moves; blocks.

        :param buffer_price: moves that one VM less in the buffer is worth;
            ``FIXED_FLEET_PRICE`` while no VM can be given back.
        :param time_limit: seconds.
        """
        self._add_counts(buffer_price)
        self._add_survival()
        relaxed = self._program.solve(relaxed=True, time_limit=time_limit)
        needed = sum(demand.vms for demand in self._demands)
        bound = relaxed.map(
            lambda found: found.objective / buffer_price - needed,
        )
        self._add_moves()
        self._add_spread()
        solved = bound.and_then(
            lambda _: self._program.solve(time_limit=time_limit),
        )
        return solved.map(
            lambda found: self._read(found, bound.unwrap(), needed),
        )

    def _add_counts(self, buffer_price: float) -> None:
        program = self._program
        for demand in self._demands:
            total = program.add_column(cost=buffer_price)
            self._totals[demand.pool] = total
            program.add_row({total: 1}, lower=demand.vms)
        for rack in self._racks:
            columns = [self._add_vms(rack, pool) for pool in self._totals]
            program.add_row(dict.fromkeys(columns, 1), upper=rack.size)
        for pool, total in self._totals.items():
            program.add_row(self._compare(pool, total), lower=0, upper=0)

    def _compare(self, pool: str, total: int) -> dict[int, float]:
        parts = {self._vms[rack.key, pool]: 1.0 for rack in self._racks}
        return {**parts, total: -1}

    def _add_vms(self, rack: Rack, pool: str) -> int:
        column = self._program.add_column(upper=rack.size, integer=True)
        self._vms[rack.key, pool] = column
        return column

    def _add_survival(self) -> None:
        survivors = [
            demand
            for demand in self._demands
            if demand.survive is FailureDomain.DATA_CENTRE
        ]
        centres = _group_racks(self._racks)
        if survivors:
            for keys in centres.values():
                self._add_loss(keys, survivors)
        others = [
            demand
            for demand in self._demands
            if demand.survive is not FailureDomain.VM
        ]
        for rack in self._racks:
            self._add_loss([rack.key], others)
        for demand in self._demands:
            self._add_single_loss(demand)

    def _add_loss(
        self,
        keys: Collection[RackKey],
        demands: Iterable[Demand],
    ) -> None:
        """Let pools survive that all VMs of some racks are lost."""
        replaced: dict[int, float] = {}
        for demand in demands:
            left = self._sum_left(keys, demand.pool)
            self._program.add_row(left, lower=demand.at_once)
            if self._shared and demand.pool != self._spare:
                short = self._program.add_column()
                replaced[short] = -1
                left[short] = 1
                self._program.add_row(left, lower=demand.vms)
            elif not self._shared:
                self._program.add_row(left, lower=demand.vms)
        if self._shared:
            spares = self._sum_left(keys, self._spare)
            spares.update(replaced)
            self._program.add_row(spares, lower=self._find_spare_need())

    def _add_single_loss(self, demand: Demand) -> None:
        """Let a pool survive the loss of one VM."""
        columns = {self._totals[demand.pool]: 1.0}
        lower = demand.vms + 1
        if self._shared and demand.pool != self._spare:
            columns[self._totals[self._spare]] = 1
            lower += self._find_spare_need()
        self._program.add_row(columns, lower=lower)

    def _sum_left(
        self,
        keys: Iterable[RackKey],
        pool: str,
    ) -> dict[int, float]:
        lost = {self._vms[key, pool]: -1.0 for key in keys}
        return {self._totals[pool]: 1.0, **lost}

    def _add_moves(self) -> None:
        for rack in self._racks:
            for pool in self._totals:
                if pool != self._spare:
                    arrivals = self._program.add_column(cost=1)
                    self._program.add_row(
                        {self._vms[rack.key, pool]: 1, arrivals: -1},
                        upper=rack.pools.get(pool, 0),
                    )
            self._add_returns(rack)

    def _add_returns(self, rack: Rack) -> None:
        """Count the VMs that go back to the spare pool as moves."""
        arrivals = self._program.add_column(cost=1)
        factors = {
            self._vms[rack.key, pool]: 1.0
            for pool in self._totals
            if pool != self._spare
        }
        factors[arrivals] = 1
        stays = rack.size - rack.pools.get(self._spare, 0)
        self._program.add_row(factors, lower=stays)

    def _add_spread(self) -> None:
        centres = _group_racks(self._racks)
        for pool in self._totals:
            fullest = self._program.add_column(cost=SPREAD_PRICE)
            for keys in centres.values():
                parts = {self._vms[key, pool]: -1.0 for key in keys}
                self._program.add_row({**parts, fullest: 1}, lower=0)

    def _find_spare_need(self) -> int:
        return sum(
            demand.vms for demand in self._demands if demand.pool == self._spare
        )

    def _read(self, found: Solved, bound: float, needed: int) -> Assignment:
        counts = {
            rack.key: {
                pool: round(found.columns[self._vms[rack.key, pool]])
                for pool in self._totals
            }
            for rack in self._racks
        }
        used = sum(sum(pools.values()) for pools in counts.values())
        return Assignment(
            counts=counts,
            buffer=used - needed,
            lower_bound=bound,
            moves=self._count_moves(counts),
            releasable=sum(rack.size for rack in self._racks) - used,
        )

    def _count_moves(
        self,
        counts: Mapping[RackKey, Mapping[str, int]],
    ) -> int:
        moves = 0
        for rack in self._racks:
            after = collections.Counter(counts[rack.key])
            after[self._spare] += rack.size - after.total()
            moves += (after - collections.Counter(rack.pools)).total()
        return moves


def read_racks(fleet: Fleet, leaving: Collection[str] = ()) -> list[Rack]:
    """Return the racks with the VMs that are or will be in service.

    :param leaving: names of VMs that the platform takes away.
    """
    counts: dict[RackKey, collections.Counter[str]] = {}
    for vm in fleet:
        if vm.state is VmState.FAILED or vm.name in leaving:
            continue
        key = (vm.data_centre, vm.rack)
        pools = counts.setdefault(key, collections.Counter())
        pools[vm.next_pool or vm.pool] += 1
    return [Rack(*key, pools) for key, pools in sorted(counts.items())]


def read_demands(policy: FleetPolicy) -> list[Demand]:
    """Return the demand of each pool, the strictest of its services'.

    Explanation
    ===========

    Each pool has room for one planned outage on top of the loss that its
    budgets survive. Without that room a wave could never reach its VMs.
    """
    order = list(FailureDomain)
    demands: list[Demand] = []
    for pool, spec in sorted(policy.pools.items()):
        budgets = policy.find_budgets(pool).values()
        survive = max((budget.survive for budget in budgets), key=order.index)
        at_once = max(_find_at_once(budget) for budget in budgets)
        demands.append(Demand(pool, spec.vms, at_once, survive))
    return demands


def _find_at_once(budget: AvailabilityBudget) -> int:
    return budget.min_healthy + min(PLANNED_ROOM, budget.max_planned)


def _group_racks(racks: Iterable[Rack]) -> dict[str, list[RackKey]]:
    centres: dict[str, list[RackKey]] = {}
    for rack in racks:
        centres.setdefault(rack.data_centre, []).append(rack.key)
    return centres
