"""The boards of all pools."""

from collections.abc import Iterator
from typing import Final

from verbenapost.coordination.scheduling.board import Board

#: How many times the longest lease a worker that doesn't answer is waited
#: for after a takeover: its clock may be slow, and orders take their time.
PAUSE_FACTOR: Final = 1.05


def end_inherited_pause(
    board: Board, passed: float, longest_lease: float
) -> bool:
    """End the pause for jobs that a former leader may have started.

    :param passed: seconds since the takeover.
    :param longest_lease: seconds of the longest lease of a run.
    :returns: whether the pause has ended just now.
    """
    if not board.unsettled:
        return False
    asked = all(worker.adopted for worker in board.workers.values())
    if asked or passed > longest_lease * PAUSE_FACTOR:
        board.unsettled = False
    return not board.unsettled


class BoardSet:
    """Makes the board of a pool when it is first asked for.

    :param token: fencing token of their owner.
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
            # Without a leader before there is nothing to be settled.
            board.unsettled = self._token > 1
            self._boards[service] = board
        return board

    def count_pending(self, route: str) -> int:
        """Return the jobs of a route of which nothing has started."""
        return sum(
            board.count_pending(route) for board in self._boards.values()
        )
