"""Mixed-integer linear program, solved by HiGHS."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import final

import highspy
from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure

#: Seconds after which the solver returns the best solution found so far.
TIME_LIMIT_SECONDS = 30.0

#: Relative gap between objective and bound at which the solver stops.
RELATIVE_GAP = 1e-5

_INFINITY = highspy.kHighsInf


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Solution:
    """Solution of a program.

    :param columns: value of each column.
    :param objective: objective value of the solution.
    :param bound: lower bound of the objective value.
    """

    columns: Sequence[float]
    objective: float
    bound: float


@final
class Program:
    """Builds a program of columns and rows and minimises the cost.

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
        self._row_starts: list[int] = [0]
        self._column_indices: list[int] = []
        self._coefficients: list[float] = []

    def add_column(
        self,
        cost: float = 0,
        upper: float = _INFINITY,
        *,
        integer: bool = False,
    ) -> int:
        """Add a column with lower bound 0 and return its number.

        :param cost: objective coefficient.
        :param upper: upper bound.
        :param integer: whether the column is integral.
        """
        self._costs.append(cost)
        self._uppers.append(upper)
        self._integer.append(integer)
        return len(self._costs) - 1

    def limit_column(self, column: int, upper: float = _INFINITY) -> None:
        """Set the upper bound of a column."""
        self._uppers[column] = upper

    def add_row(
        self,
        coefficients: Mapping[int, float],
        lower: float = -_INFINITY,
        upper: float = _INFINITY,
    ) -> None:
        """Add bounds on a linear combination of columns.

        :param coefficients: coefficient of each column.
        :param lower: lower bound of the sum.
        :param upper: upper bound of the sum.
        """
        self._column_indices.extend(coefficients)
        self._coefficients.extend(coefficients.values())
        self._row_starts.append(len(self._column_indices))
        self._row_lowers.append(lower)
        self._row_uppers.append(upper)

    def solve(
        self,
        *,
        relaxed: bool = False,
        time_limit: float = TIME_LIMIT_SECONDS,
    ) -> Result[Solution, Failure]:
        """Minimise the cost.

        The call blocks until the solver has finished; run it in a thread.

        :param relaxed: whether integer columns may have fractional values.
        :param time_limit: seconds.
        :returns: the solution, or ``INVALID`` if no solution was found.
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
        matrix.start_ = self._row_starts
        matrix.index_ = self._column_indices
        matrix.value_ = self._coefficients
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
) -> Result[Solution, Failure]:
    information = solver.getInfo()
    feasible = highspy.SolutionStatus.kSolutionStatusFeasible
    if information.primal_solution_status != feasible:
        status = solver.modelStatusToString(solver.getModelStatus())
        return Err(Failure(ErrorKind.INVALID, f'no solution: {status}'))
    objective = information.objective_function_value
    bound = objective if relaxed else information.mip_dual_bound
    columns = list(solver.getSolution().col_value)
    return Ok(Solution(columns, objective, bound))
