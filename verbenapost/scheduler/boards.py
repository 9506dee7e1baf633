"""The boards of all pools."""

from collections.abc import Iterator

from verbenapost.coordination.scheduling.board import Board


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
