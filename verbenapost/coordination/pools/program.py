"""A linear programme with integer columns, solved by HiGHS."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import final

import highspy
from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure

#: Seconds after which a solve ends with the best solution so far.
TIME_LIMIT_SECONDS = 30.0

#: Relative gap to the bound at which a solve ends.
RELATIVE_GAP = 1e-5

_INFINITY = highspy.kHighsInf


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Solved:
    """The outcome of a solve.

    :param columns: value of each column.
    :param objective: objective of these values.
    :param bound: lower bound of the objective.
    """

    columns: Sequence[float]
    objective: float
    bound: float


@final
class Program:
    """Collects columns and rows, then minimises the cost.

    Examples
    ========

    >>> program = Program()
    >>> column = program.add_column(cost=1, upper=9, integer=True)
    >>> program.add_row({column: 2}, lower=5)
    >>> program.solve().unwrap().objective
    3.0
    >>> program.solve(relaxed=True).unwrap().objective
    2.5
    """

    def __init__(self) -> None:
        self._costs: list[float] = []
        self._uppers: list[float] = []
        self._integer: list[bool] = []
        self._row_lowers: list[float] = []
        self._row_uppers: list[float] = []
        self._starts: list[int] = [0]
        self._indices: list[int] = []
        self._factors: list[float] = []

    def add_column(
        self,
        cost: float = 0,
        upper: float = _INFINITY,
        *,
        integer: bool = False,
    ) -> int:
        """Add a column that is at least 0 and return its number."""
        self._costs.append(cost)
        self._uppers.append(upper)
        self._integer.append(integer)
        return len(self._costs) - 1

    def limit_column(self, column: int, upper: float = _INFINITY) -> None:
        """Set the upper bound of a column."""
        self._uppers[column] = upper

    def add_row(
        self,
        factors: Mapping[int, float],
        lower: float = -_INFINITY,
        upper: float = _INFINITY,
    ) -> None:
        """Bound a sum of columns, each times its factor."""
        self._indices.extend(factors)
        self._factors.extend(factors.values())
        self._starts.append(len(self._indices))
        self._row_lowers.append(lower)
        self._row_uppers.append(upper)

    def solve(
        self,
        *,
        relaxed: bool = False,
        time_limit: float = TIME_LIMIT_SECONDS,
    ) -> Result[Solved, Failure]:
        """Minimise the cost; blocks, so run it in a thread.

        :param relaxed: let integer columns take fractions.
        :param time_limit: seconds.
        """
        solver = highspy.Highs()
        solver.silent()
        solver.setOptionValue('threads', 1)
        solver.setOptionValue('time_limit', time_limit)
        solver.setOptionValue('mip_rel_gap', RELATIVE_GAP)
        solver.passModel(self._build(relaxed=relaxed))
        solver.run()
        return _read_solution(solver, relaxed=relaxed)

    def _build(self, *, relaxed: bool) -> highspy.HighsLp:
        model = highspy.HighsLp()
        model.num_col_ = len(self._costs)
        model.num_row_ = len(self._row_lowers)
        model.col_cost_ = self._costs
        model.col_lower_ = [float(0) for _ in self._costs]
        model.col_upper_ = self._uppers
        model.row_lower_ = self._row_lowers
        model.row_upper_ = self._row_uppers
        matrix = model.a_matrix_
        matrix.format_ = highspy.MatrixFormat.kRowwise
        matrix.start_ = self._starts
        matrix.index_ = self._indices
        matrix.value_ = self._factors
        if not relaxed:
            kinds = (
                highspy.HighsVarType.kContinuous,
                highspy.HighsVarType.kInteger,
            )
            model.integrality_ = [kinds[flag] for flag in self._integer]
        return model


def _read_solution(
    solver: highspy.Highs,
    *,
    relaxed: bool,
) -> Result[Solved, Failure]:
    information = solver.getInfo()
    feasible = highspy.SolutionStatus.kSolutionStatusFeasible
    if information.primal_solution_status != feasible:
        status = solver.modelStatusToString(solver.getModelStatus())
        return Err(Failure(ErrorKind.INVALID, f'no solution: {status}'))
    objective = information.objective_function_value
    bound = objective if relaxed else information.mip_dual_bound
    columns = list(solver.getSolution().col_value)
    return Ok(Solved(columns, objective, bound))
