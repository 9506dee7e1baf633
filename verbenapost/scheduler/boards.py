"""The scheduling boards of all pools."""

from collections.abc import Iterator
from typing import Final

from verbenapost.coordination.scheduling.board import Board

#: Multiple of the longest lease to wait for an unreachable worker after a
#: takeover. More than 1, since its clock may run slow and orders take time to
#: arrive.
PAUSE_FACTOR: Final = 1.05


def end_inherited_pause(
    board: Board, passed: float, longest_lease: float
) -> bool:
    """End the pause of jobs that a previous leader may have started.

    The pause ends once every worker has reported its runs, or once every lease
    that the previous leader may have granted has expired.

    :param board: board of the pool.
    :param passed: seconds since the takeover.
    :param longest_lease: longest lease of a run in seconds.
    :returns: whether this call ended the pause.
    """
    if not board.unsettled:
        return False
    asked = all(worker.adopted for worker in board.workers.values())
    if asked or passed > longest_lease * PAUSE_FACTOR:
        board.unsettled = False
    return not board.unsettled


class BoardSet:
    """Creates the board of each pool on first use.

    :param token: fencing token of the leader that owns the boards.
    """

    def __init__(self, token: int) -> None:
        self._token = token
        self._boards: dict[str, Board] = {}

    def __iter__(self) -> Iterator[Board]:
        """Yield the boards."""
        return iter(self._boards.values())

    def find(self, service: str) -> Board:
        """Return the board of a service's pool."""
        board = self._boards.get(service)
        if board is None:
            board = Board(service, self._token)
            # The first leader inherits no runs to wait for.
            board.unsettled = self._token > 1
            self._boards[service] = board
        return board

    def count_pending(self, route: str) -> int:
        """Return how many jobs of a route have not started."""
        return sum(
            board.count_pending(route) for board in self._boards.values()
        )
