"""Assignment of VMs to pools, solved as an integer program."""

import collections
import dataclasses
import math
from collections.abc import Collection, Iterable, Mapping
from typing import final

from result import Ok, Result

from verbenapost.coordination.pools.demands import Demand, Rack, RackKey
from verbenapost.coordination.pools.program import (
    TIME_LIMIT_SECONDS,
    Program,
    Solution,
)
from verbenapost.protocol.errors import Failure
from verbenapost.state.documents import FailureDomain

#: Objective weight of a buffer VM, in moves.
BUFFER_WEIGHT = 50.0

#: Objective weight of a buffer VM, in moves, while no VM can be given back.
#: The weight is below one move, so that only unmet demands cause moves.
FIXED_FLEET_BUFFER_WEIGHT = 0.1

#: Objective weight of a VM that a demand lacks, in moves.
SHORTAGE_WEIGHT = 5_000.0

#: Objective weight of a VM in the fullest data centre of a pool, in moves.
SPREAD_WEIGHT = 0.05


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Result of solving the assignment model.

    :param counts: number of VMs by rack and pool.
    :param buffer: VMs above the peak demand of all pools.
    :param lower_bound: buffer of the linear relaxation, a lower bound for
        every assignment; not meaningful if VMs are missing.
    :param moves: VMs that change pool.
    :param releasable: VMs of the spare pool that no demand requires.
    :param missing: VMs by which demands are unmet because the fleet is too
        small.
    """

    counts: Mapping[RackKey, Mapping[str, int]]
    buffer: int
    lower_bound: float
    moves: int
    releasable: int
    missing: int


@final
class AssignmentModel:
    """Integer program of the assignment.

    Explanation
    ===========

    The spare pool contains its own demand and the buffer that all pools
    share. After the loss of any failure domain, each pool keeps
    ``min_after_loss`` VMs, and the VMs of the spare pool outside that domain
    cover the rest of the pools' demands. VMs that no pool needs stay in the
    spare pool and are not counted. If there are too few VMs, the shortage is
    minimised.

    :param racks: VMs of the region.
    :param demands: demands of all pools, including the spare pool.
    :param spare: name of the spare pool.
    :param shared: whether the buffer of the spare pool may replace VMs of
        any pool; otherwise each pool has its own buffer.
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
        self._missing: list[int] = []
        self._short_at_once: dict[str, int] = {}
        self._short_after_loss = -1

    def solve(
        self,
        buffer_weight: float = BUFFER_WEIGHT,
        time_limit: float = TIME_LIMIT_SECONDS,
    ) -> Result[Assignment, Failure]:
        """Minimise the buffer, then the number of moves.

        The call blocks until the solver has finished.

        :param buffer_weight: objective weight of a buffer VM, in moves;
            ``FIXED_FLEET_BUFFER_WEIGHT`` while no VM can be given back.
        :param time_limit: seconds.
        """
        self._add_counts(buffer_weight)
        self._add_survival_rows()
        relaxed = self._solve(time_limit, relaxed=True)
        needed = sum(demand.vms for demand in self._demands)
        bound = relaxed.map(
            lambda found: found.objective / buffer_weight - needed,
        )
        self._add_moves()
        self._add_spread()
        solved = bound.and_then(lambda _: self._solve(time_limit))
        return solved.map(
            lambda found: self._make_assignment(found, bound.unwrap(), needed),
        )

    def _solve(
        self,
        time_limit: float,
        *,
        relaxed: bool = False,
    ) -> Result[Solution, Failure]:
        """Solve without shortage, or with the least shortage if infeasible."""
        for upper in (0, math.inf):
            for column in self._missing:
                self._program.limit_column(column, upper)
            solved = self._program.solve(
                relaxed=relaxed,
                time_limit=time_limit,
            )
            if isinstance(solved, Ok):
                break
        return solved

    def _add_counts(self, buffer_weight: float) -> None:
        program = self._program
        for demand in self._demands:
            total = program.add_column(cost=buffer_weight)
            self._totals[demand.pool] = total
            missing = self._add_missing()
            program.add_row({total: 1, missing: 1}, lower=demand.vms)
        for rack in self._racks:
            columns = [self._add_vms(rack, pool) for pool in self._totals]
            program.add_row(dict.fromkeys(columns, 1), upper=rack.size)
        for pool, total in self._totals.items():
            program.add_row(self._make_total_row(pool, total), lower=0, upper=0)

    def _make_total_row(self, pool: str, total: int) -> dict[int, float]:
        parts = {self._vms[rack.key, pool]: 1.0 for rack in self._racks}
        return {**parts, total: -1}

    def _add_vms(self, rack: Rack, pool: str) -> int:
        column = self._program.add_column(upper=rack.size, integer=True)
        self._vms[rack.key, pool] = column
        return column

    def _add_missing(self) -> int:
        column = self._program.add_column(cost=SHORTAGE_WEIGHT)
        self._missing.append(column)
        return column

    def _add_survival_rows(self) -> None:
        self._short_at_once = {
            demand.pool: self._add_missing() for demand in self._demands
        }
        self._short_after_loss = self._add_missing()
        survivors = [
            demand
            for demand in self._demands
            if demand.survive is FailureDomain.DATA_CENTRE
        ]
        centres = _group_by_data_centre(self._racks)
        if survivors:
            for keys in centres.values():
                self._add_loss_rows(keys, survivors)
        others = [
            demand
            for demand in self._demands
            if demand.survive is not FailureDomain.VM
        ]
        for rack in self._racks:
            self._add_loss_rows([rack.key], others)
        for demand in self._demands:
            self._add_vm_loss_row(demand)

    def _add_loss_rows(
        self,
        keys: Collection[RackKey],
        demands: Iterable[Demand],
    ) -> None:
        """Require that pools survive the loss of all VMs of some racks."""
        replaced: dict[int, float] = {}
        for demand in demands:
            remaining = self._sum_survivors(keys, demand.pool)
            missing = self._short_at_once[demand.pool]
            self._program.add_row(
                {**remaining, missing: 1}, lower=demand.min_after_loss
            )
            if self._shared and demand.pool != self._spare:
                short = self._program.add_column()
                replaced[short] = -1
                remaining[short] = 1
                self._program.add_row(remaining, lower=demand.vms)
            elif not self._shared:
                remaining[self._short_after_loss] = 1
                self._program.add_row(remaining, lower=demand.vms)
        if self._shared:
            spares = self._sum_survivors(keys, self._spare)
            spares.update(replaced)
            spares[self._short_after_loss] = 1
            self._program.add_row(spares, lower=self._find_spare_need())

    def _add_vm_loss_row(self, demand: Demand) -> None:
        """Require that a pool survives the loss of one VM."""
        columns = {
            self._totals[demand.pool]: 1.0,
            self._short_after_loss: 1.0,
        }
        lower = demand.vms + 1
        if self._shared and demand.pool != self._spare:
            columns[self._totals[self._spare]] = 1
            lower += self._find_spare_need()
        self._program.add_row(columns, lower=lower)

    def _sum_survivors(
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
        """Count the VMs that return to the spare pool as moves."""
        arrivals = self._program.add_column(cost=1)
        coefficients = {
            self._vms[rack.key, pool]: 1.0
            for pool in self._totals
            if pool != self._spare
        }
        coefficients[arrivals] = 1
        assigned_now = rack.size - rack.pools.get(self._spare, 0)
        self._program.add_row(coefficients, lower=assigned_now)

    def _add_spread(self) -> None:
        centres = _group_by_data_centre(self._racks)
        for pool in self._totals:
            fullest = self._program.add_column(cost=SPREAD_WEIGHT)
            for keys in centres.values():
                parts = {self._vms[key, pool]: -1.0 for key in keys}
                self._program.add_row({**parts, fullest: 1}, lower=0)

    def _find_spare_need(self) -> int:
        return sum(
            demand.vms for demand in self._demands if demand.pool == self._spare
        )

    def _make_assignment(
        self, found: Solution, bound: float, needed: int
    ) -> Assignment:
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
            missing=round(
                sum(found.columns[column] for column in self._missing),
            ),
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


def _group_by_data_centre(racks: Iterable[Rack]) -> dict[str, list[RackKey]]:
    centres: dict[str, list[RackKey]] = {}
    for rack in racks:
        centres.setdefault(rack.data_centre, []).append(rack.key)
    return centres
