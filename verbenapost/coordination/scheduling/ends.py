"""Which ends of a worker's runs may be acknowledged."""

from collections.abc import Sequence

from verbenapost.protocol.orders import RunEnd


class EndBook:
    """Follows the ends in one worker's log until the store has them.

    Explanation
    ===========

    A worker forgets all ends up to the number that is acknowledged. Ends of
    two answers may be stored in either order, so the number stops before the
    first that is not stored.

    Examples
    ========

    >>> from verbenapost.protocol.orders import EndKind
    >>> from verbenapost.state.workloads import TaskKey
    >>> def make(number):
    ...     key = TaskKey('5c0e7a21d94b36f8', 0, 0, number)
    ...     return RunEnd(number, key, 1, EndKind.DONE, '')
    >>> book = EndBook()
    >>> first = book.take([make(1)])
    >>> second = book.take([make(1), make(2)])
    >>> [end.number for end in second]
    [2]
    >>> book.note_stored(second)
    >>> book.acknowledged
    0
    >>> book.note_stored(first)
    >>> book.acknowledged
    2
    """

    def __init__(self) -> None:
        self.acknowledged = 0
        self._taken = 0
        self._unstored: set[int] = set()

    def take(self, ends: Sequence[RunEnd]) -> list[RunEnd]:
        """Return those of the listed ends that were not taken before."""
        fresh = [end for end in ends if end.number > self._taken]
        numbers = [end.number for end in fresh]
        self._taken = max([self._taken, *numbers])
        self._unstored.update(numbers)
        return fresh

    def note_stored(self, ends: Sequence[RunEnd]) -> None:
        """Note that the store has all that some ends have changed."""
        self._unstored.difference_update(end.number for end in ends)
        first = min(self._unstored, default=self._taken + 1)
        self.acknowledged = max(self.acknowledged, first - 1)
